#!/bin/sh
# Builds the stand-ins of the cases 11 and later into target/review-3/. They use the standard library only.
set -e
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
go build -o ../../target/review-3/standins .
