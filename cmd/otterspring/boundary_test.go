package main

import (
	"testing"

	"otterspring/internal/keytest"
)

// The keys of what the verbs print with -json.
func TestKeysOfOutput(t *testing.T) {
	keytest.Compare(t, "testdata/keys.txt", []keytest.Marshaled{
		{Role: "config put", Encoding: "json", Value: putResult{}},
		{Role: "config get", Encoding: "json", Value: getResult{}},
		{Role: "config list", Encoding: "json", Value: listResult{}},
		{Role: "config status", Encoding: "json", Value: statusResult{}},
	})
}

// The verbs and flags that scripts use.
func TestVerbsAndFlags(t *testing.T) {
	compareVerbs(t, "testdata/verbs.txt")
}
