// Package logging creates the loggers of all programs: log/slog with key=value or JSON
// output and a rate limit per key. It depends only on the standard library, because the
// sidecar links it.
package logging

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"otterspring/internal/wallclock"
)

// Options configure the format, the level and the rate limit of a logger.
type Options struct {
	JSON  bool
	Level slog.Level
	// Burst is the number of lines with one rate-limit key that are written per Interval.
	// Further lines are suppressed. The next line written with the same key reports their
	// number. Zero values select 5 lines per 10 s.
	Burst    int
	Interval time.Duration
}

// Defaults of Options.
const (
	defaultBurst    = 5
	defaultInterval = 10 * time.Second
)

// maxKeys is the number of rate-limit keys that are tracked separately, which bounds the
// memory of a limiter. Further keys share the limit of overflowKey.
const maxKeys = 256

// overflowKey is the rate-limit key that stands for all keys beyond maxKeys.
const overflowKey = ""

// suppressedAttrKey is the key of the attribute that reports suppressed lines. Its value is
// the number of lines with the same rate-limit key that were suppressed since the previous
// line written with that key.
const suppressedAttrKey = "suppressed"

// New returns a logger that writes to w, one complete line at a time.
func New(w io.Writer, options Options) *slog.Logger {
	if options.Burst == 0 {
		options.Burst = defaultBurst
	}
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	handlerOptions := &slog.HandlerOptions{Level: options.Level}
	var next slog.Handler = slog.NewTextHandler(w, handlerOptions)
	if options.JSON {
		next = slog.NewJSONHandler(w, handlerOptions)
	}
	return slog.New(&handler{next: next, limiter: &limiter{options: options, windows: map[string]*window{}}})
}

// RateLimitAttrKey is the key of the attribute that sets the rate-limit key of a line. Without
// this attribute, the message is the rate-limit key. The attribute gives lines with the same
// message separate limits, or lines with different messages a shared limit. It is not written.
const RateLimitAttrKey = "cause\x00"

// RateLimitKey returns the attribute that sets the rate-limit key of a line.
func RateLimitKey(key string) slog.Attr { return slog.String(RateLimitAttrKey, key) }

// AddFlags defines the flags -log-format and -log-level, which set the options when they are
// parsed.
func (o *Options) AddFlags(flags *flag.FlagSet) {
	flags.Func("log-format", "log format: text (key=value) or json", func(s string) error {
		if s != "text" && s != "json" {
			return fmt.Errorf("wanted text or json")
		}
		o.JSON = s == "json"
		return nil
	})
	flags.Func("log-level", "minimum log level: debug, info, warn or error", func(s string) error {
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, s) {
			return fmt.Errorf("wanted debug, info, warn or error")
		}
		return o.Level.UnmarshalText([]byte(s))
	})
}

// limiter limits the rate of lines per key. A logger and the loggers derived from it share
// one limiter. A limiter is safe for concurrent use; mu guards windows and their contents.
type limiter struct {
	options Options
	mu      sync.Mutex
	windows map[string]*window // by rate-limit key
}

// window is the state of one rate-limit key.
type window struct {
	start      time.Time // start of the current interval
	written    int       // number of lines written in the current interval
	suppressed int       // number of lines suppressed since the last line written
}

// admit reports whether a line may be written now. If so, it also returns the number of lines
// with the same key that were suppressed since the last line written.
func (l *limiter) admit(key string, now time.Time) (write bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[key]
	if w == nil {
		w = l.add(key, now)
	}
	// Lines of concurrent goroutines can arrive out of order, so a line older than the
	// window does not reset it unless the clock was set back by an interval or more.
	if now.Sub(w.start) >= l.options.Interval || w.start.Sub(now) >= l.options.Interval {
		w.start, w.written = now, 0
	}
	if w.written >= l.options.Burst {
		w.suppressed++
		return false, 0
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return true, suppressed
}

// add returns a window for a new key. If there are maxKeys windows, it first removes the
// expired windows that have no suppressed lines to report. If maxKeys windows remain, the key
// shares the window of overflowKey.
func (l *limiter) add(key string, now time.Time) *window {
	if len(l.windows) >= maxKeys {
		for other, w := range l.windows {
			if w.suppressed == 0 && now.Sub(w.start) >= l.options.Interval {
				delete(l.windows, other)
			}
		}
	}
	if len(l.windows) >= maxKeys {
		key = overflowKey
	}
	if w := l.windows[key]; w != nil {
		return w
	}
	w := &window{start: now}
	l.windows[key] = w
	return w
}

// handler is a slog.Handler that limits the rate of lines passed to the next handler.
type handler struct {
	next    slog.Handler
	limiter *limiter
}

func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.next.WithAttrs(attrs), h.limiter}
}

func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.next.WithGroup(name), h.limiter}
}

// Handle passes a line to the next handler unless its key has reached the rate limit.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	key := record.Message
	out := slog.NewRecord(wallclock.Now(), record.Level, record.Message, record.PC)
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key == RateLimitAttrKey {
			key = attr.Value.String()
		} else {
			out.AddAttrs(attr)
		}
		return true
	})
	write, suppressed := h.limiter.admit(key, record.Time)
	if !write {
		return nil
	}
	if suppressed > 0 {
		out.AddAttrs(slog.Int(suppressedAttrKey, suppressed))
	}
	return h.next.Handle(ctx, out)
}
