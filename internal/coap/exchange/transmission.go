package exchange

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// transmission is the retransmission state of a message.
type transmission struct {
	datagram []byte
	count    int           // transmissions so far
	timeout  time.Duration // doubled with each retransmission
	deadline time.Duration // time of the next retransmission
}

// newTransmission returns the state of a message whose first transmission is at now.
func (p *Params) newTransmission(rng *rand.Rand, datagram []byte, now time.Duration) transmission {
	timeout := time.Duration(float64(p.AckTimeout) * (1 + (p.RandomFactor-1)*rng.Float64()))
	return transmission{datagram: datagram, count: 1, timeout: timeout, deadline: now + timeout}
}

// advance counts a retransmission and sets the deadline of the next one. It returns false
// if MaxRetransmit is reached.
func (t *transmission) advance(params *Params) bool {
	if t.count > params.MaxRetransmit {
		return false
	}
	t.count++
	t.timeout *= 2
	t.deadline += t.timeout
	return true
}

// timer is an entry of timers: a value and its deadline.
type timer[V any] struct {
	deadline time.Duration
	value    V
	index    int // position in the heap
}

// timers is a min-heap of timers by deadline.
type timers[V any] []*timer[V]

// Len implements heap.Interface.
func (t timers[V]) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers[V]) Less(a, b int) bool { return t[a].deadline < t[b].deadline }

// Swap implements heap.Interface.
func (t timers[V]) Swap(a, b int) { t[a], t[b] = t[b], t[a]; t[a].index, t[b].index = a, b }

// Push implements heap.Interface.
func (t *timers[V]) Push(element any) {
	added := element.(*timer[V])
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop implements heap.Interface.
func (t *timers[V]) Pop() any {
	old := *t
	removed := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return removed
}

// set sets the deadline of a value. *slot is the value's timer, or nil if it has none.
func (t *timers[V]) set(slot **timer[V], value V, deadline time.Duration) {
	if *slot == nil {
		*slot = &timer[V]{deadline: deadline, value: value}
		heap.Push(t, *slot)
		return
	}
	(*slot).deadline = deadline
	heap.Fix(t, (*slot).index)
}

// cancel removes the timer in *slot, if any.
func (t *timers[V]) cancel(slot **timer[V]) {
	if *slot != nil {
		heap.Remove(t, (*slot).index)
		*slot = nil
	}
}

// earliest returns the earliest deadline. It returns false if there is no timer.
func (t timers[V]) earliest() (time.Duration, bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[0].deadline, true
}
