package relay

import (
	"sync/atomic"

	"otterspring/internal/fleet/configuration"
)

// Counts are what a relay has done since its start.
type Counts struct {
	Polls              int64 `json:"polls"`
	Empty              int64 `json:"empty"`     // answers without news
	Deltas             int64 `json:"deltas"`    // answers with resources that changed
	Snapshots          int64 `json:"snapshots"` // answers with all resources
	Resources          int64 `json:"resources"` // in deltas
	NotReady           int64 `json:"not_ready"`
	Behind             int64 `json:"behind"`
	Busy               int64 `json:"busy"`
	Full               int64 `json:"full"`
	Drained            int64 `json:"drained"`
	Foreign            int64 `json:"foreign"` // polls for another region
	Invalid            int64 `json:"invalid"`
	Gone               int64 `json:"gone"`                // subscribers that left while their poll waited
	Cut                int64 `json:"cut"`                 // answers that were not read in time
	ConnectionsRefused int64 `json:"connections_refused"` // beyond the bound
}

// counts counts for Counts.
type counts struct {
	polls, empty, deltas, snapshots, resources              atomic.Int64
	notReady, behind, busy, full, drained, foreign, invalid atomic.Int64
	gone, cut                                               atomic.Int64
}

// count counts an update that is no snapshot.
func (c *counts) count(update configuration.Update) {
	if len(update.Resources) == 0 {
		c.empty.Add(1)
		return
	}
	c.deltas.Add(1)
	c.resources.Add(int64(len(update.Resources)))
}

// refused counts a refusal.
func (c *counts) refused(refusal configuration.ErrorCode) {
	switch refusal {
	case configuration.CodeNotReady:
		c.notReady.Add(1)
	case configuration.CodeBehind:
		c.behind.Add(1)
	case configuration.CodeBusy:
		c.busy.Add(1)
	case configuration.CodeFull:
		c.full.Add(1)
	case configuration.CodeDraining:
		c.drained.Add(1)
	case configuration.CodeWrongRegion:
		c.foreign.Add(1)
	case configuration.CodeInvalid:
		c.invalid.Add(1)
	}
}

func (c *counts) read() Counts {
	return Counts{
		Polls: c.polls.Load(), Empty: c.empty.Load(), Deltas: c.deltas.Load(), Snapshots: c.snapshots.Load(), Resources: c.resources.Load(),
		NotReady: c.notReady.Load(), Behind: c.behind.Load(), Busy: c.busy.Load(), Full: c.full.Load(), Drained: c.drained.Load(),
		Foreign: c.foreign.Load(), Invalid: c.invalid.Load(), Gone: c.gone.Load(), Cut: c.cut.Load(),
	}
}
