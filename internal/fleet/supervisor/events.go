package supervisor

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"otterspring/internal/logs"
	"otterspring/internal/wallclock"
)

const (
	maxRecentEvents    = 50
	statusRecentEvents = 5 // shown by the command status
)

// Log keys that the recent events treat specially.
const (
	instanceKey = "instance"
	decisionKey = "decision" // text of a decision of the lifecycle
)

// recentEvents are the latest events, one line each. They belong to the goroutine
// of Run.
type recentEvents struct {
	lines []string
}

func (e *recentEvents) add(line string) {
	e.lines = append(e.lines, line)
	if excess := len(e.lines) - maxRecentEvents; excess > 0 {
		e.lines = e.lines[excess:]
	}
}

// latest returns the last n lines, oldest first.
func (e *recentEvents) latest(n int) []string { return e.lines[max(0, len(e.lines)-n):] }

// eventHandler passes records to another handler. How often that writes a line is
// bounded for each message and value of the first attribute, so that one instance
// that crashes in a loop does not fill the log.
//
// With recent it also keeps records of any level there; such a handler belongs to
// the goroutine of Run.
type eventHandler struct {
	next   slog.Handler
	recent *recentEvents
}

// Enabled implements slog.Handler.
func (h *eventHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.recent != nil || h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *eventHandler) Handle(ctx context.Context, record slog.Record) error {
	if h.recent != nil {
		h.recent.add(wallclock.Now().Format("15:04:05 ") + eventText(record))
	}
	if !h.next.Enabled(ctx, record.Level) {
		return nil
	}
	subject := record.Message
	record.Attrs(func(a slog.Attr) bool {
		subject += " " + a.Value.String()
		return false
	})
	bounded := record.Clone()
	bounded.AddAttrs(logs.Cause(subject))
	return h.next.Handle(ctx, bounded)
}

// WithAttrs implements slog.Handler.
func (h *eventHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &eventHandler{next: h.next.WithAttrs(attrs), recent: h.recent}
}

// WithGroup implements slog.Handler.
func (h *eventHandler) WithGroup(name string) slog.Handler {
	return &eventHandler{next: h.next.WithGroup(name), recent: h.recent}
}

// eventText is an event as the command status shows it: the instance, the message
// or the decision in its place, and the other attributes.
func eventText(record slog.Record) string {
	prefix, message := "", record.Message
	var attributes strings.Builder
	record.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case instanceKey:
			prefix = a.Value.String() + ": "
		case decisionKey:
			message = a.Value.String()
		default:
			fmt.Fprintf(&attributes, " %s=%v", a.Key, a.Value)
		}
		return true
	})
	return prefix + message + attributes.String()
}
