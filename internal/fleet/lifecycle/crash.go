package lifecycle

import (
	"log/slog"
	"time"
)

// exitCause classifies an exit that was not requested.
type exitCause string

const (
	exitCrashed     exitCause = "crashed"
	exitClean       exitCause = "exited with code 0"
	exitBeforeReady exitCause = "exited before it was ready"
)

// recordCrash records an exit that was not requested. The instance starts again after
// its backoff unless it is in a crash loop.
func (c *Controller) recordCrash(now time.Duration, i int, clean bool) {
	in := &c.instances[i]
	cause := exitCrashed
	if clean {
		cause = exitClean
	} else if in.phase == Starting {
		cause = exitBeforeReady
	}
	in.phase = Down
	if c.stopping {
		in.phase = Stopped
		return
	}
	in.crashes = append(in.crashes, now)
	for len(in.crashes) > 0 && now-in.crashes[0] > c.config.CrashLoopWindow {
		in.crashes = in.crashes[1:]
	}
	if len(in.crashes) == 1 {
		in.backoff = 0
	}
	in.backoff = min(c.config.MaxBackoff, max(c.config.InitialBackoff, 2*in.backoff))
	in.startAfter = now + in.backoff
	if len(in.crashes) >= c.config.CrashLoopCount {
		in.phase = CrashLooping
		c.emit(i, "crash loop; not restarted until an operator asks for it", slog.String("cause", string(cause)),
			slog.Int("crashes", len(in.crashes)), slog.Duration("window", c.config.CrashLoopWindow))
	} else {
		c.emit(i, "process exited; restart scheduled", slog.String("cause", string(cause)), slog.Duration("backoff", in.backoff))
	}
	c.finishInstanceUpdate(i, false)
}

// resetCrashes clears the crash history of an instance and schedules its start for now.
func (in *instance) resetCrashes(now time.Duration) {
	in.phase, in.startAfter, in.crashes, in.backoff = Down, now, nil, 0
}
