#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of deploy/balancer.toml: the
# stand-ins, which need no module, and the operators' command, whose modules are those of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review/second && GOTOOLCHAIN=local GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../bin/review-2 .)
go build -buildvcs=false -o bin/ ./cmd/otterspring
