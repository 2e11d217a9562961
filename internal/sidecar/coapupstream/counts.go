package coapupstream

import (
	"sync/atomic"

	"otterspring/internal/coap/client"
)

// Counts are the totals of a Pool since its creation.
type Counts struct {
	Outcomes        [client.OutcomeCount]int64 // attempts that have ended, by client.Outcome; without canceled ones
	Refusals        int64                      // datagrams that upstreams' hosts have refused
	UnknownRefusals int64                      // those of them that could not be attributed to a request
	SendFailures    int64                      // datagrams that did not leave this machine
}

// counters holds the current values of Counts.
type counters struct {
	outcomes                                [client.OutcomeCount]atomic.Int64
	refusals, unknownRefusals, sendFailures atomic.Int64
}

func (c *counters) load() Counts {
	counts := Counts{Refusals: c.refusals.Load(), UnknownRefusals: c.unknownRefusals.Load(), SendFailures: c.sendFailures.Load()}
	for outcome := range counts.Outcomes {
		counts.Outcomes[outcome] = c.outcomes[outcome].Load()
	}
	return counts
}
