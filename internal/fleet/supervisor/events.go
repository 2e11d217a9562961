package supervisor

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"otterspring/internal/fleet/lifecycle"
	"otterspring/internal/logging"
	"otterspring/internal/wallclock"
)

const (
	maxRecentEvents    = 50
	statusRecentEvents = 5 // number of events shown by the command "status"
)

// instanceKey is the log key of an instance's name. The text of a recent event begins with
// that name.
const instanceKey = "instance"

// recentEvents holds the latest events, one line each. It is owned by the goroutine of
// Run.
type recentEvents struct {
	lines []string
}

// add adds an event with the current time.
func (e *recentEvents) add(text string) {
	e.lines = append(e.lines, wallclock.Now().Format("15:04:05 ")+text)
	if excess := len(e.lines) - maxRecentEvents; excess > 0 {
		e.lines = e.lines[excess:]
	}
}

// latest returns the last n lines, oldest first.
func (e *recentEvents) latest(n int) []string { return e.lines[max(0, len(e.lines)-n):] }

// eventHandler passes records to another handler and adds a key for that handler's rate
// limit. The key consists of the message and the value of the first attribute, so that an
// instance that crashes in a loop does not fill the log.
//
// If recent is set, records of all levels are also added to it; the handler is then owned
// by the goroutine of Run.
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
		h.recent.add(eventText(record))
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
	bounded.AddAttrs(logging.RateLimitKey(subject))
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

// logDecision logs an event of the lifecycle. It also adds the event to the recent events,
// with the text that other programs parse. All decisions about one instance share a rate
// limit. The goroutine of Run calls logDecision.
func (s *Supervisor) logDecision(ctx context.Context, instance string, event lifecycle.Event) {
	s.recent.add(instance + ": " + event.Text())
	if !s.logHandler.Enabled(ctx, slog.LevelInfo) {
		return
	}
	record := slog.NewRecord(time.Now(), slog.LevelInfo, event.Message, 0)
	record.AddAttrs(slog.String(instanceKey, instance))
	record.AddAttrs(event.Attrs...)
	record.AddAttrs(logging.RateLimitKey("decision " + instance))
	if err := s.logHandler.Handle(ctx, record); err != nil {
		s.recent.add("log not written: " + err.Error())
	}
}

// eventText formats an event for the command "status": the instance, the message and the
// other attributes.
func eventText(record slog.Record) string {
	prefix := ""
	var attributes strings.Builder
	record.Attrs(func(a slog.Attr) bool {
		if a.Key == instanceKey {
			prefix = a.Value.String() + ": "
		} else {
			fmt.Fprintf(&attributes, " %s=%v", a.Key, a.Value)
		}
		return true
	})
	return prefix + record.Message + attributes.String()
}
