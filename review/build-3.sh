#!/usr/bin/env bash
# Builds the stand-ins of cases 12 to 15 into target/review-3/, after the build line of deploy/system.toml. They need the standard
# library only. Each run.sh does it by itself if they are missing.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o ../../target/review-3/standins .
