#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of deploy/balancer.toml: the
# stand-ins, which need no module, and the operators' command, whose modules are those of go.mod.
# The build of the deploy file does not fetch all of these. Without a network and without them in the
# module cache the operators' command is left out, and case 9 alone can't run (exit 2).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review/second && GOTOOLCHAIN=local GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../bin/review-2 .)
rm -f bin/otterspring # of another build
if ! go build -buildvcs=false -o bin/ ./cmd/otterspring; then
	echo "bin/otterspring was not built: case 9 can't run" >&2
fi
