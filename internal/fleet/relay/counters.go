package relay

import (
	"sync"

	"otterspring/internal/fleet/configuration"
)

// Counts are the counters of a relay since it started.
type Counts struct {
	Polls               int64 `json:"polls"`
	Empty               int64 `json:"empty"`     // updates without resources
	Deltas              int64 `json:"deltas"`    // updates with the changed resources only
	Snapshots           int64 `json:"snapshots"` // updates with all resources
	Resources           int64 `json:"resources"` // resources sent in deltas
	NotReady            int64 `json:"not_ready"`
	Behind              int64 `json:"behind"`
	Busy                int64 `json:"busy"`
	Full                int64 `json:"full"`
	Drained             int64 `json:"drained"`
	WrongRegion         int64 `json:"foreign"`
	Invalid             int64 `json:"invalid"`
	Disconnected        int64 `json:"gone"`                // polls whose subscriber disconnected during the wait
	WriteTimeouts       int64 `json:"cut"`                 // responses that could not be written completely
	ConnectionsRejected int64 `json:"connections_refused"` // connections beyond MaxConnections
}

// counters holds the Counts of a running relay. It is safe for concurrent use.
type counters struct {
	mu     sync.Mutex
	counts Counts
}

// update locks the counts and passes them to change.
func (c *counters) update(change func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

// read returns a copy of the counts.
func (c *counters) read() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// countUpdate counts an update that is not a snapshot.
func (c *counters) countUpdate(update configuration.Update) {
	c.update(func(counts *Counts) {
		if len(update.Resources) == 0 {
			counts.Empty++
			return
		}
		counts.Deltas++
		counts.Resources += int64(len(update.Resources))
	})
}

// countError counts a response by its error code.
func (c *counters) countError(code configuration.ErrorCode) {
	c.update(func(counts *Counts) {
		switch code {
		case configuration.CodeNotReady:
			counts.NotReady++
		case configuration.CodeBehind:
			counts.Behind++
		case configuration.CodeBusy:
			counts.Busy++
		case configuration.CodeFull:
			counts.Full++
		case configuration.CodeDraining:
			counts.Drained++
		case configuration.CodeWrongRegion:
			counts.WrongRegion++
		case configuration.CodeInvalid:
			counts.Invalid++
		case configuration.CodeUnknownServices: // not counted: the subscriber repeats the poll
		}
	})
}
