#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of deploy/balancer.toml: the
# operators' command and the stand-ins. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/otterspring
cd review/second
go build -o ../../bin/review-2 .
