package lifecycle

import (
	"errors"
	"fmt"
	"time"
)

// Config configures the lifecycle of a fleet. All fields but Handover and StartInterval
// are required.
type Config struct {
	// StartInterval is the minimum time between two starts. It keeps the rate at which
	// starting instances request the endpoint list within discovery's capacity.
	StartInterval time.Duration
	// ReadyTimeout is how long a process may take to become ready.
	ReadyTimeout time.Duration
	// ShutdownTimeout is how long a process may take to exit after SIGTERM before it is
	// killed. It is also how long the old process may drain after a handover before it is
	// killed.
	ShutdownTimeout time.Duration
	// MaxConcurrent is the maximum number of instances that a rolling update restarts or
	// reloads at the same time.
	MaxConcurrent int
	// Handover states that a restart of a ready instance is a handover: the new process
	// starts first and receives the listener of the old process, which then drains.
	Handover bool
	// PauseAfterFailures is the number of consecutive failures after which a rolling
	// update pauses. A rolling update that brings a release rolls back instead.
	PauseAfterFailures int
	// InitialBackoff is the delay before a crashed instance starts again. The delay doubles
	// with each further crash, up to MaxBackoff. CrashLoopCount crashes within
	// CrashLoopWindow are a crash loop. An instance in a crash loop stays down until an
	// operator restarts it.
	InitialBackoff, MaxBackoff time.Duration
	CrashLoopCount             int
	CrashLoopWindow            time.Duration
}

// ErrInvalidConfig is returned by New if a field of Config or the number of instances is
// out of range.
var ErrInvalidConfig = errors.New("invalid lifecycle configuration")

func (c Config) validate() error {
	for _, field := range []struct {
		name           string
		found, minimum int64
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
		if field.found < field.minimum {
			return fmt.Errorf("%w: %s: found %d, wanted at least %d", ErrInvalidConfig, field.name, field.found, field.minimum)
		}
	}
	return nil
}
