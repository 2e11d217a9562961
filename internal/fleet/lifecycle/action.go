package lifecycle

import (
	"log/slog"
	"strings"
)

// ActionKind is what the caller must do.
type ActionKind int

// Kinds of actions.
const (
	StartProcess     ActionKind = iota // start Process of Instance, from the new release if FromRelease
	TerminateProcess                   // send SIGTERM to Process
	ReloadProcess                      // send SIGHUP to Process, with the new configuration if FromRelease
	KillProcess                        // send SIGKILL to Process
	EmitEvent                          // log Event and make it available to operators
	CommitRelease                      // use the release of the rolling update for all further starts
)

// WholeFleet is the Instance of an event that concerns the whole fleet.
const WholeFleet = -1

// Action is an action for the caller to execute.
type Action struct {
	Kind        ActionKind
	Instance    int // index of the instance, or WholeFleet
	Process     int // process ID assigned by the controller
	FromRelease bool
	Event       Event
}

// Event describes a decision of the controller, for logs and operators.
type Event struct {
	Message      string // constant for each kind of event
	Attrs        []slog.Attr
	textOverride string // if not empty, the result of Text; set for lines that other programs parse
}

// Text formats the event as one line, for outputs without key-value attributes.
func (e Event) Text() string {
	if e.textOverride != "" {
		return e.textOverride
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
