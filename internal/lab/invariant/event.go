package invariant

import (
	"errors"
	"fmt"
	"time"
)

// ErrUnknownEvent is the error for an event of a kind that no method of Checker records.
var ErrUnknownEvent = errors.New("unknown kind of event")

// EventKind says which method of Checker recorded an Event. Its values are stored in histories.
type EventKind string

// The kinds of events.
const (
	KindRequestSent          EventKind = "asked"
	KindAnswered             EventKind = "answered"
	KindConnectionBroke      EventKind = "broke"
	KindAbandoned            EventKind = "gone"
	KindAttemptArrived       EventKind = "arrived"
	KindEffectExecuted       EventKind = "ran"
	KindNotified             EventKind = "told"
	KindEndpointChanged      EventKind = "changed"
	KindDiscoveryUnavailable EventKind = "silent"
	KindRestarted            EventKind = "restarted"
	KindKillAnnounced        EventKind = "dying"
	KindKilled               EventKind = "killed"
	KindSuspended            EventKind = "stalled"
	KindPartitioned          EventKind = "cut off"
	KindKillExcused          EventKind = "excused"
)

// Event is one recorded event. Kind determines which fields are used: they are the parameters
// of the method that records events of that kind. Histories store events, so the JSON keys and
// their order must not change.
type Event struct {
	Kind         EventKind     `json:"do"`
	At           time.Duration `json:"at"` // on the Checker's clock, in nanoseconds
	RequestID    string        `json:"id,omitempty"`
	Instance     string        `json:"name,omitempty"`
	Server       string        `json:"server,omitempty"`
	Pod          string        `json:"pod,omitempty"`
	Effect       Effect        `json:"effect,omitempty"`
	Outcome      Outcome       `json:"outcome,omitempty"`
	Incarnation  int           `json:"life,omitempty"`  // incarnation of the server
	Restarts     int           `json:"epoch,omitempty"` // number of restarts of the instance
	Flag         bool          `json:"yes,omitempty"`   // bool parameter "genuine", "resend", "removed" or "on"
	Start        time.Duration `json:"first,omitempty"` // start of a suspension, or arrival of an attempt's first byte
	Timeout      time.Duration `json:"for,omitempty"`
	Work         float64       `json:"work,omitempty"` // in seconds
	Capacity     float64       `json:"can,omitempty"`  // in seconds of work a second
	WarmCapacity float64       `json:"full,omitempty"` // in seconds of work a second
}

// Observe calls observer with every later event, in the order in which the Checker checks the
// events. A nil observer ends the observation. observer must not call the Checker and must not
// block.
func (c *Checker) Observe(observer func(Event)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observer = observer
}

// emit passes an event to the observer.
func (c *Checker) emit(event Event) {
	if c.observer != nil {
		c.observer(event)
	}
}

// replays holds, for each kind of event, a call of the method that records such events.
var replays = map[EventKind]func(*Checker, Event){
	KindRequestSent: func(c *Checker, e Event) { c.RequestSent(e.RequestID, e.Instance, e.Effect, e.At, e.Timeout) },
	KindAnswered:    func(c *Checker, e Event) { c.Answered(e.RequestID, e.Outcome, e.Flag, e.At) },
	KindConnectionBroke: func(c *Checker, e Event) {
		c.ConnectionBroke(e.RequestID, e.Flag, e.At)
	},
	KindAbandoned: func(c *Checker, e Event) { c.Abandoned(e.RequestID, e.At) },
	KindAttemptArrived: func(c *Checker, e Event) {
		c.AttemptArrived(Attempt{
			Server: e.Server, Incarnation: e.Incarnation, RequestID: e.RequestID, FirstByteAt: e.Start, CompletedAt: e.At,
			Work: e.Work, Capacity: e.Capacity, WarmCapacity: e.WarmCapacity,
		})
	},
	KindEffectExecuted: func(c *Checker, e Event) { c.EffectExecuted(e.Server, e.Pod, e.RequestID, e.At) },
	KindNotified: func(c *Checker, e Event) {
		c.Notified(e.Instance, e.Restarts, e.Server, e.Incarnation, e.Flag, e.At)
	},
	KindEndpointChanged:      func(c *Checker, e Event) { c.EndpointChanged(e.Server, e.Incarnation, e.Flag, e.At) },
	KindDiscoveryUnavailable: func(c *Checker, e Event) { c.DiscoveryUnavailable(e.Flag, e.At) },
	KindRestarted:            func(c *Checker, e Event) { c.Restarted(e.Instance, e.At) },
	KindKillAnnounced:        func(c *Checker, e Event) { c.KillAnnounced(e.Instance) },
	KindKilled:               func(c *Checker, e Event) { c.Killed(e.Instance, e.At) },
	KindSuspended:            func(c *Checker, e Event) { c.Suspended(e.Start, e.At) },
	KindPartitioned:          func(c *Checker, e Event) { c.Partitioned(e.Instance, e.Flag, e.At) },
	KindKillExcused:          func(c *Checker, e Event) { c.ExcuseKill(e.Instance, e.At) },
}

// Apply replays an event by calling the method that recorded it. If the kind of the event is
// unknown, the returned error wraps ErrUnknownEvent.
func (c *Checker) Apply(event Event) error {
	replay, found := replays[event.Kind]
	if !found {
		return fmt.Errorf("replay of an event of kind %q: %w", event.Kind, ErrUnknownEvent)
	}
	replay(c, event)
	return nil
}
