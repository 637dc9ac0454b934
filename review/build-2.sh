#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build line of deploy/system.toml. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o ../../target/review-2/cases .
