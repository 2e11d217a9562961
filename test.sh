#!/usr/bin/env bash
# Checks the format, vets, looks for faults with staticcheck, tests with the race
# detector, builds, and starts all programs.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l balance cmd internal)
if [ -n "$unformatted" ]; then
	echo "not gofmt'd: $unformatted" >&2
	exit 1
fi
go vet ./...

# The rig's tests start processes and wait for them most of the time: they run
# beside the others from the beginning, and those leave them a core. So does
# staticcheck, whose findings are read at the end of the tests.
mkdir -p bin
go test -race -count=1 ./internal/lab/rig >bin/rig-tests.log 2>&1 &
rig=$!
go tool staticcheck ./... >bin/staticcheck.log 2>&1 &
lint=$!
trap 'kill "$rig" "$lint" 2>/dev/null || true' EXIT
others=0
cores=$(nproc)
go test -race -count=1 -p "$((cores > 2 ? cores - 1 : 1))" $(go list ./... | grep -v '/internal/lab/rig$') || others=$?
if ! wait "$lint"; then
	cat bin/staticcheck.log
	exit 1
fi
if ! wait "$rig"; then
	cat bin/rig-tests.log
	exit 1
fi
cat bin/rig-tests.log
[ "$others" = 0 ] || exit "$others"
go test -race -count=1 -tags faults ./internal/inject ./internal/disk
mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/sandhinge ./cmd/wirehost
go build -o bin/ ./cmd/otterspring ./cmd/rig

# The adapter answers an empty batch and ends with its input.
reply=$(printf '{"op":"begin-batch","ts-us":1}\n{"op":"over-to-you"}\n' | bin/wirehost)
[ "$reply" = '{"op":"ok"}' ] || { echo "wirehost answered: $reply" >&2; exit 1; }

# The sidecar says in one line what is wrong with its configuration. That it
# starts, serves and ends on SIGTERM is a test of cmd/sandhinge.
if said=$(RELAY_CONFIG=/nonexistent bin/sandhinge 2>&1); then
	echo "sandhinge started without a configuration" >&2
	exit 1
fi
[ "$(wc -l <<<"$said")" = 1 ] || { echo "sandhinge said: $said" >&2; exit 1; }

# The operators' command and the rig: what is shipped is good, and a short try
# with the sidecar as it was built keeps the rules.
bin/otterspring check deploy/operator.toml
bin/rig try -for 2s -rate 20 >bin/try.log || { cat bin/try.log >&2; exit 1; }
tail -n 1 bin/try.log
echo "all passed"
