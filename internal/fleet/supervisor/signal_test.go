package supervisor

import (
	"os/signal"
	"syscall"
)

// ignore makes a test's program ignore SIGTERM.
func ignore() { signal.Ignore(syscall.SIGTERM) }
