package clients

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// Ending is how the last attempt of an arrival ended, in terms of its connection. Outcome is the
// coarser classification that verdicts use.
type Ending uint8

// Endings.
const (
	Served       Ending = iota
	Shed                // 429 or 503
	FailedStatus        // any other status
	Closed              // connection closed before any byte of the answer
	Reset               // connection reset before any byte of the answer
	Truncated           // connection ended within the answer
	Unanswered          // no complete answer by the deadline
	Unconnected         // no connection by the deadline, or connection limit reached
	NeverSent           // the client's goroutine started after the deadline
	endings             // number of endings
)

var endingNames = [endings]string{
	"served", "shed", "other status", "closed unanswered", "reset unanswered", "truncated", "no answer by the deadline", "no connection", "never asked",
}

// String returns the description of the ending.
func (e Ending) String() string {
	if e >= endings {
		return fmt.Sprintf("ending %d", uint8(e))
	}
	return endingNames[e]
}

// Endings counts arrivals by their ending.
type Endings [endings]int

// String returns the nonzero counts of arrivals that were not served.
func (e Endings) String() string {
	var text []string
	for kind, n := range e {
		if n > 0 && Ending(kind) != Served {
			text = append(text, fmt.Sprintf("%s %d", Ending(kind), n))
		}
	}
	return strings.Join(text, ", ")
}

// ending returns the Ending of an attempt with this result.
func (r result) ending() Ending {
	switch r {
	case served:
		return Served
	case refused:
		return Shed
	case failed:
		return FailedStatus
	case closedUnanswered:
		return Closed
	case resetUnanswered:
		return Reset
	case truncated:
		return Truncated
	case timedOut:
		return Unanswered
	default:
		return Unconnected
	}
}

// broken reports whether the connection ended without a complete answer.
func (r result) broken() bool {
	return r == closedUnanswered || r == resetUnanswered || r == truncated
}

// brokenBeforeAnswer returns the result for an error that ended a connection before any byte
// of the answer.
func brokenBeforeAnswer(err error) result {
	if errors.Is(err, io.EOF) {
		return closedUnanswered
	}
	return resetUnanswered
}
