#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/. It needs the standard library only. The program under
# test is built by the build line of the deploy file, into target/.
set -euo pipefail
cd "$(dirname "$0")/standins"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -buildvcs=false -o ../bin/standins .
