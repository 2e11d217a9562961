package entrypoint_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The flags, the variable that names the configuration and the exit codes are those of
// the operators' pages.
func TestFlagsAndExitCodes(t *testing.T) {
	t.Parallel()
	bad := filepath.Join(t.TempDir(), "bad")
	if err := os.WriteFile(bad, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		args   []string
		config string
		code   int
	}{
		{"help", []string{"-help"}, "", 0},
		{"all flags and help", []string{"-operator", bad, "-log-format", "json", "-log-level", "debug", "-help"}, "", 0},
		{"an unknown flag", []string{"-no-such-flag"}, bad, 2},
		{"an argument", []string{"start"}, bad, 2},
		{"an unknown format of the log", []string{"-log-format", "xml"}, bad, 2},
		{"no configuration", nil, "", 1},
		{"a bad configuration", nil, bad, 1},
	} {
		cmd := exec.CommandContext(t.Context(), os.Args[0], c.args...)
		cmd.Env = append(os.Environ(), "TEST_RUNS_PROGRAM=sidecar", "RELAY_CONFIG="+c.config)
		var stderr strings.Builder
		cmd.Stderr = &stderr
		err := cmd.Run()
		var ended *exec.ExitError
		if err != nil && !errors.As(err, &ended) {
			t.Fatal(err)
		}
		if got := cmd.ProcessState.ExitCode(); got != c.code {
			t.Errorf("%s: found exit code %d, wanted %d", c.name, got, c.code)
		}
		if c.code == 1 && c.config != "" && !strings.Contains(stderr.String(), c.config) {
			t.Errorf("%s: the configuration at RELAY_CONFIG, %s, is not named: %s", c.name, c.config, stderr.String())
		}
	}
}
