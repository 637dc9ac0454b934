#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases ./review/standins-2
