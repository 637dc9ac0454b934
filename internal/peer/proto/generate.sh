#!/usr/bin/env bash
# Regenerates internal/peer/peerpb from peer.proto. Needs protoc, protoc-gen-go and
# protoc-gen-go-grpc on the PATH; a build needs none of them.
set -euo pipefail
cd "$(dirname "$0")"
protoc -I . --go_out=../peerpb --go_opt=paths=source_relative \
  --go-grpc_out=../peerpb --go-grpc_opt=paths=source_relative peer.proto
