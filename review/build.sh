#!/bin/sh
# Builds the stand-ins of the cases. They need the Go tool chain only, and no module.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off GOWORK=off CGO_ENABLED=0 go build -o bin/review .
