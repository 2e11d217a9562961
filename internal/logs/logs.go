// Package logs makes the programs' loggers: lines of key=value or JSON by
// log/slog, with a bound on how often one cause is said. It links nothing but
// the standard library, since the sidecar has it, too.
package logs

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

// Options say what lines look like and which are written.
type Options struct {
	JSON  bool
	Level slog.Level
	// Burst lines of one cause are written within Every; further ones are counted
	// and told with the next that is. 0 takes 5 within 10 s.
	Burst int
	Every time.Duration
}

// mostCauses bounds the causes that are told apart. What comes beyond them
// counts as one cause of its own, so that nothing that callers do makes the
// table grow.
const mostCauses = 256

// New returns a logger that writes to w, one whole line at a time.
func New(w io.Writer, o Options) *slog.Logger {
	if o.Burst == 0 {
		o.Burst = 5
	}
	if o.Every == 0 {
		o.Every = 10 * time.Second
	}
	opt := &slog.HandlerOptions{Level: o.Level}
	var under slog.Handler = slog.NewTextHandler(w, opt)
	if o.JSON {
		under = slog.NewJSONHandler(w, opt)
	}
	return slog.New(&handler{under: under, table: &table{opt: o, causes: map[string]*cause{}}})
}

const causeKey = "cause\x00"

// Cause names what a line is said for, where its message differs from line to
// line. It is not written. Without one the message is the cause.
func Cause(name string) slog.Attr { return slog.String(causeKey, name) }

// Flags adds -log-format and -log-level to a program's flags. They hold once the
// flags have been parsed.
func (o *Options) Flags(f *flag.FlagSet) {
	f.Func("log-format", "lines of the log: text (key=value) or json", func(s string) error {
		if s != "text" && s != "json" {
			return fmt.Errorf("wanted text or json")
		}
		o.JSON = s == "json"
		return nil
	})
	f.Func("log-level", "least level of the log: debug, info, warn or error", func(s string) error {
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, s) {
			return fmt.Errorf("wanted debug, info, warn or error")
		}
		return o.Level.UnmarshalText([]byte(s))
	})
}

// table counts the lines by cause, for a logger and those made from it.
type table struct {
	opt    Options
	mu     sync.Mutex
	causes map[string]*cause
}

type cause struct {
	since time.Time // start of its present stretch
	said  int       // lines written in it
	left  int       // lines left out since the last that was written
}

// take tells whether a line of a cause may be written now, and how many were
// left out before it.
func (t *table) take(name string, now time.Time) (write bool, left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.causes[name]
	if c == nil {
		c = t.enter(name, now)
	}
	// Lines of several goroutines come out of order: only a clock that was set back
	// by more than a stretch begins another.
	if now.Sub(c.since) >= t.opt.Every || c.since.Sub(now) >= t.opt.Every {
		c.since, c.said = now, 0
	}
	if c.said >= t.opt.Burst {
		c.left++
		return false, 0
	}
	c.said++
	left, c.left = c.left, 0
	return true, left
}

// enter makes an entry for a cause: in place of one that has nothing left to
// tell, or in the one for all others where there is none.
func (t *table) enter(name string, now time.Time) *cause {
	if len(t.causes) >= mostCauses {
		for n, c := range t.causes {
			if c.left == 0 && now.Sub(c.since) >= t.opt.Every {
				delete(t.causes, n)
			}
		}
	}
	if len(t.causes) >= mostCauses {
		name = ""
	}
	if c := t.causes[name]; c != nil {
		return c
	}
	c := &cause{since: now}
	t.causes[name] = c
	return c
}

// handler bounds what passes to the one under it.
type handler struct {
	under slog.Handler
	table *table
}

func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.under.Enabled(ctx, l) }

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.under.WithAttrs(attrs), h.table}
}

func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.under.WithGroup(name), h.table}
}

// Handle writes a line or leaves it out.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	name := r.Message
	out := slog.NewRecord(wallclock.Now(), r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == causeKey {
			name = a.Value.String()
		} else {
			out.AddAttrs(a)
		}
		return true
	})
	write, left := h.table.take(name, r.Time)
	if !write {
		return nil
	}
	if left > 0 {
		out.AddAttrs(slog.Int("left_out", left))
	}
	return h.under.Handle(ctx, out)
}
