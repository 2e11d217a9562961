package audit

import (
	"fmt"
	"time"
)

// Did says what an Event tells of: the method of Log that took it down.
type Did string

// What passes.
const (
	DidAsk        Did = "asked"
	DidAnswer     Did = "answered"
	DidBreak      Did = "broke"
	DidGo         Did = "gone"
	DidArrive     Did = "arrived"
	DidRun        Did = "ran"
	DidTell       Did = "told"
	DidChange     Did = "changed"
	DidFallSilent Did = "silent"
	DidRestart    Did = "restarted"
	IsDying       Did = "dying"
	DidKill       Did = "killed"
	DidStall      Did = "stalled"
	DidCutOff     Did = "cut off"
	IsExcused     Did = "excused"
)

// Event is one thing that was taken down. Which fields it uses follows from Do;
// they are the parameters of the method of that name.
type Event struct {
	Do      Did           `json:"do"`
	At      time.Duration `json:"at"` // on the log's clock, in nanoseconds
	ID      string        `json:"id,omitempty"`
	Name    string        `json:"name,omitempty"` // of an instance
	Server  string        `json:"server,omitempty"`
	Pod     string        `json:"pod,omitempty"`
	Effect  Effect        `json:"effect,omitempty"`
	Outcome Outcome       `json:"outcome,omitempty"`
	Life    int           `json:"life,omitempty"`
	Epoch   int           `json:"epoch,omitempty"`
	Yes     bool          `json:"yes,omitempty"`
	First   time.Duration `json:"first,omitempty"`
	For     time.Duration `json:"for,omitempty"`
	Work    float64       `json:"work,omitempty"`
	Can     float64       `json:"can,omitempty"`
	Full    float64       `json:"full,omitempty"`
}

// Tap has f called with all that is taken down from now on, in the order in
// which it is judged. f must not call the Log and must not block.
func (l *Log) Tap(f func(Event)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tap = f
}

func (l *Log) heard(e Event) {
	if l.tap != nil {
		l.tap(e)
	}
}

// Take takes an event down as the method that it tells of did.
func (l *Log) Take(e Event) error {
	switch e.Do {
	case DidAsk:
		l.Asked(e.ID, e.Name, e.Effect, e.At, e.For)
	case DidAnswer:
		l.Answered(e.ID, e.Outcome, e.Yes, e.At)
	case DidBreak:
		l.Broke(e.ID, e.Yes, e.At)
	case DidGo:
		l.Gone(e.ID, e.At)
	case DidArrive:
		l.Arrived(e.Server, e.Life, e.ID, e.First, e.At, e.Work, e.Can, e.Full)
	case DidRun:
		l.Ran(e.Server, e.Pod, e.ID, e.At)
	case DidTell:
		l.Told(e.Name, e.Epoch, e.Server, e.Life, e.Yes, e.At)
	case DidChange:
		l.Changed(e.Server, e.Life, e.Yes, e.At)
	case DidFallSilent:
		l.Silent(e.Yes, e.At)
	case DidRestart:
		l.Restarted(e.Name, e.At)
	case IsDying:
		l.Dying(e.Name)
	case IsExcused:
		l.Excuse(e.Name, e.At)
	case DidStall:
		l.Stalled(e.First, e.At)
	case DidCutOff:
		l.Deaf(e.Name, e.Yes, e.At)
	case DidKill:
		l.Killed(e.Name, e.At)
	default:
		return fmt.Errorf("found an event %q, wanted one that an audit takes", e.Do)
	}
	return nil
}
