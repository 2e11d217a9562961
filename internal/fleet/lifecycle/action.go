package lifecycle

import (
	"log/slog"
	"strings"
)

// ActionKind says what the caller is to do.
type ActionKind int

// The actions.
const (
	StartProcess     ActionKind = iota // start Process of Instance, of the new release if FromRelease
	TerminateProcess                   // send SIGTERM to Process
	ReloadProcess                      // send SIGHUP to Process, with the new configuration if FromRelease
	KillProcess                        // send SIGKILL to Process
	EmitEvent                          // log Event and show it to operators
	CommitRelease                      // the release of the rolling update applies to all starts from now on
)

// WholeFleet is the Instance of an event that is about no single instance.
const WholeFleet = -1

// Action is one thing for the caller to do.
type Action struct {
	Kind        ActionKind
	Instance    int // its index, or WholeFleet
	Process     int // its ID, which the controller assigns
	FromRelease bool
	Event       Event
}

// Event is what the controller decided, for logs and operators.
type Event struct {
	Message string // constant for each kind of event
	Attrs   []slog.Attr
	text    string // in place of message and attributes in Text, where other programs read it
}

// Text words the event in one line, for outputs without key-value attributes.
func (e Event) Text() string {
	if e.text != "" {
		return e.text
	}
	attrs := make([]string, 0, len(e.Attrs))
	for _, attr := range e.Attrs {
		attrs = append(attrs, attr.String())
	}
	if len(attrs) == 0 {
		return e.Message
	}
	return e.Message + ": " + strings.Join(attrs, ", ")
}
