package main

import (
	"testing"

	"otterspring/internal/keytest"
)

// Scripts read what config prints with -json: its keys are fixed.
func TestKeysOfConfigOutput(t *testing.T) {
	t.Parallel()
	keytest.Compare(t, "testdata/config-keys.txt", []keytest.Marshaled{
		{Role: "config put -json", Encoding: "json", Value: putResult{}},
		{Role: "config get -json", Encoding: "json", Value: getResult{}},
		{Role: "config list -json", Encoding: "json", Value: listResult{}},
		{Role: "config status -json", Encoding: "json", Value: statusResult{}},
	})
}

// Scripts read the states of subscribers and the exit codes, too.
func TestOutsideNamesOfConfig(t *testing.T) {
	t.Parallel()
	if stateInForce != "in_force" || stateRejected != "rejected" || stateBehind != "behind" {
		t.Errorf("found the states %q, %q and %q", stateInForce, stateRejected, stateBehind)
	}
	if exitDone != 0 || exitFailed != 1 || exitUsage != 2 || exitConflict != 3 {
		t.Errorf("found the exit codes %d, %d, %d and %d", exitDone, exitFailed, exitUsage, exitConflict)
	}
}
