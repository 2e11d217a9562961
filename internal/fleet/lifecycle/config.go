package lifecycle

import (
	"errors"
	"fmt"
	"time"
)

// Config are the rules of a fleet. All of its fields but Handover are mandatory.
type Config struct {
	// StartInterval is the least time between two starts, so that the endpoint lists
	// that starting instances request stay within discovery's capacity.
	StartInterval time.Duration
	// ReadyTimeout is how long a process may take until it is ready.
	ReadyTimeout time.Duration
	// ShutdownTimeout is how long a process may take to exit after SIGTERM, or an old
	// one to drain after a handover, before it is killed.
	ShutdownTimeout time.Duration
	// MaxConcurrent is how many instances are updated at a time.
	MaxConcurrent int
	// Handover restarts by a new process that receives the listener of the old one.
	Handover bool
	// PauseAfterFailures is after how many consecutive failures a rolling update
	// pauses, or rolls back where there is a release to go back from.
	PauseAfterFailures int
	// A crashed instance starts again after InitialBackoff, doubled with each further
	// crash up to MaxBackoff. CrashLoopCount crashes within CrashLoopWindow are a crash
	// loop: the instance is not started again until an operator restarts it.
	InitialBackoff, MaxBackoff time.Duration
	CrashLoopCount             int
	CrashLoopWindow            time.Duration
}

// ErrInvalidConfig is returned by New for a Config or number of instances that is out
// of bounds.
var ErrInvalidConfig = errors.New("invalid lifecycle configuration")

func (c Config) validate() error {
	for _, field := range []struct {
		name         string
		found, least int64
	}{
		{"MaxConcurrent", int64(c.MaxConcurrent), 1},
		{"ReadyTimeout", int64(c.ReadyTimeout), 1},
		{"ShutdownTimeout", int64(c.ShutdownTimeout), 1},
		{"InitialBackoff", int64(c.InitialBackoff), 1},
		{"MaxBackoff", int64(c.MaxBackoff), int64(c.InitialBackoff)},
		{"CrashLoopCount", int64(c.CrashLoopCount), 2},
		{"CrashLoopWindow", int64(c.CrashLoopWindow), 1},
		{"PauseAfterFailures", int64(c.PauseAfterFailures), 1},
	} {
		if field.found < field.least {
			return fmt.Errorf("%w: %s: found %d, wanted at least %d", ErrInvalidConfig, field.name, field.found, field.least)
		}
	}
	return nil
}
