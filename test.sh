#!/usr/bin/env bash
# Checks the format, vets, lints, tests with the race detector, builds, and starts all
# programs. Tests that KNOWN-RED.txt names are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l balance cmd internal)
if [ -n "$unformatted" ]; then
	echo "not gofmt'd: $unformatted" >&2
	exit 1
fi

mkdir -p bin
cores=$(nproc)
# known_red prints the names of KNOWN-RED.txt's entries of a kind, an extended regular
# expression.
known_red() {
	sed -nE "s/^($1): *//p" KNOWN-RED.txt
}

skipped=$(known_red test | paste -sd '|')
for name in $(known_red '(rare )?test'); do
	if [ "$(grep -rlE --include='*_test.go' "^func $name\(" . | wc -l)" != 1 ]; then
		echo "KNOWN-RED.txt: found no test or several of the name $name" >&2
		exit 1
	fi
done
for name in $(known_red '(rare )?storm'); do
	if [ ! -f "experiments/$name.toml" ]; then
		echo "KNOWN-RED.txt: found no experiments/$name.toml" >&2
		exit 1
	fi
done
for seed in $(known_red '(rare )?soak'); do
	if ! [[ $seed =~ ^[0-9]+$ ]]; then
		echo "KNOWN-RED.txt: found soak $seed, wanted a seed" >&2
		exit 1
	fi
done
declare -A jobs # process IDs by name, of what runs in the background
trap 'kill "${jobs[@]}" 2>/dev/null || true' EXIT

# start runs a command in the background; its output goes to a log in bin/.
start() {
	local name=$1
	shift
	"$@" >"bin/$name.log" 2>&1 &
	jobs[$name]=$!
}

# finish waits for a command, prints its output, and ends all where it failed.
finish() {
	local status=0
	wait "${jobs[$1]}" || status=$?
	unset "jobs[$1]"
	cat "bin/$1.log"
	[ "$status" = 0 ] || { echo "$1 failed" >&2; exit "$status"; }
}

compile_for_tests() {
	go build -race ./balance/... ./internal/...
	go build -race -tags faults ./internal/...
}

# The linters, then once more for the files behind the build tag.
lint() {
	go tool -modfile=tools/go.mod golangci-lint run ./...
	go tool -modfile=tools/go.mod golangci-lint run --build-tags faults ./internal/faultinjection ./internal/disk
}

build_programs() {
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/sandhinge ./cmd/wirehost
	go build -o bin/ ./cmd/otterspring ./cmd/rig
}

# What takes cores and measures no time comes first, so that no test meets a
# compiler: what the tests are linked from, with faults compiled in and without, and
# the programs.
start compile compile_for_tests
go vet ./...
start lint lint
build_programs
finish lint
finish compile

# The rig's tests start processes and wait for them most of the time: they run many
# at a time, and the others leave them a quarter of the cores. TestFleetRestarts counts
# its own process's goroutines and descriptors, and has a process to itself. The
# packages with the longest tests come first.
start rig go test -race -count=1 -parallel 16 -skip "^(TestFleetRestarts|$skipped)\$" ./internal/lab/rig
start fleet go test -race -count=1 -run '^TestFleetRestarts$' ./internal/lab/rig
others=0
longest="./balance ./internal/lab/virtual ./internal/fleet/coordination ./internal/sidecar"
go test -race -count=1 -skip "^($skipped)\$" -p "$((cores > 2 ? cores * 3 / 4 : 1))" $longest $(go list ./... | grep -v '/internal/lab/rig$') || others=$?
go test -race -count=1 -tags faults ./internal/faultinjection ./internal/disk
finish fleet
finish rig
[ "$others" = 0 ] || exit "$others"

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
if [ -n "$(known_red '(rare )?(test|storm|soak|day)')" ]; then
	echo "known to fail, skipped where not rare:"
	cat KNOWN-RED.txt
fi
echo "all passed"
