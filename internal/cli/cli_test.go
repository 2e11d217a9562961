package cli

import (
	"strings"
	"testing"
)

func TestNormalizeFlags(t *testing.T) {
	for args, want := range map[string]string{
		"-seeds 1..2 x": "--seeds 1..2 x", "--seeds 1 -o f": "--seeds 1 -o f", "-set a.b=-1 -jobs -1": "--set a.b=-1 --jobs -1", "-set=a=b": "--set=a=b", "- -- -1": "- -- -1",
	} {
		if got := strings.Join(NormalizeFlags(strings.Fields(args)), " "); got != want {
			t.Errorf("%q: %q, want %q", args, got, want)
		}
	}
}
