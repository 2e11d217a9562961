package block

import (
	"time"

	"otterspring/internal/coap/intrusive"
	"otterspring/internal/coap/message"
)

// transfer is a block-wise transfer in flight at a server.
type transfer struct {
	key       string
	body      []byte
	lastBlock time.Duration    // time of the latest block
	code      message.Code     // code of the response; set by a Sender only
	options   []message.Option // options of the response; set by a Sender only
	links     intrusive.Links[transfer]
}

// table holds the transfers in flight.
type table struct {
	limits Limits
	byKey  map[string]*transfer
	byAge  intrusive.List[transfer] // in the order of their latest blocks
	size   int                      // bytes of all bodies

	Rejected  int // total of transfers rejected at a limit
	Abandoned int // total of transfers removed when idle or to free capacity for others
}

func newTable(limits Limits) (*table, error) {
	if err := limits.validate(); err != nil {
		return nil, err
	}
	byAge := intrusive.New(func(entry *transfer) *intrusive.Links[transfer] { return &entry.links })
	return &table{limits: limits, byKey: map[string]*transfer{}, byAge: byAge}, nil
}

// InFlight returns the number of transfers in flight and their total size.
func (t *table) InFlight() (transfers, bytes int) { return len(t.byKey), t.size }

// contains reports whether the transfer is in the table.
func (t *table) contains(entry *transfer) bool { return t.byKey[entry.key] == entry }

// touch adds a transfer or makes it the newest one.
func (t *table) touch(now time.Duration, entry *transfer) {
	if t.contains(entry) {
		t.byAge.Remove(entry)
	}
	t.byKey[entry.key] = entry
	entry.lastBlock = now
	t.byAge.Push(entry)
}

// remove removes a transfer, if it is in the table.
func (t *table) remove(entry *transfer) {
	if !t.contains(entry) {
		return
	}
	t.byAge.Remove(entry)
	delete(t.byKey, entry.key)
	t.size -= len(entry.body)
}

// expire abandons the transfers whose idle timeout has expired.
func (t *table) expire(now time.Duration) {
	for oldest := t.byAge.Oldest(); oldest != nil && now-oldest.lastBlock >= t.limits.IdleTimeout; oldest = t.byAge.Oldest() {
		t.Abandoned++
		t.remove(oldest)
	}
}

// reserve frees capacity for more bytes of a transfer. It abandons other transfers, the least
// recently used transfer first. It returns false if the limits do not permit the bytes.
func (t *table) reserve(entry *transfer, bytes int) bool {
	if len(entry.body)+bytes > t.limits.MaxBodySize {
		return false
	}
	for t.size+bytes > t.limits.MaxTotalSize || !t.contains(entry) && len(t.byKey) >= t.limits.MaxTransfers {
		victim := t.byAge.Oldest()
		if victim == entry {
			victim = t.byAge.Newer(entry)
		}
		if victim == nil {
			return false
		}
		t.Abandoned++
		t.remove(victim)
	}
	return true
}
