package balance

import (
	"container/heap"
	"fmt"
	"math"
	"testing"
	"time"
)

// callChain is calls several hops deep, a balancer at each, in virtual time. The
// service behind the last hop fails all calls from a moment on. What a hop could not
// do fails at the hop above it.
type callChain struct {
	hops   []*Balancer
	now    time.Duration
	events eventQueue
	fails  time.Duration // from when the deepest service fails
	calls  map[string]*chainCall
	serial int
	way    chainWay
	load   int // calls that came to the deepest service while counted
	counts bool
}

// chainWay is what hops tell each other.
type chainWay struct {
	name string
	// passesDeadline: a service tells its own sidecar the time that it was given, less
	// what it has used; otherwise each hop begins with a whole deadline.
	passesDeadline bool
	// marks: an attempt that is made again says so, and so do the calls below that are
	// made for it; none of these is asked again. No sidecar does this today.
	marks bool
}

// chainCall is a call at one hop: the attempt of the hop above that it is.
type chainCall struct {
	hop    int
	parent string // call at the hop above; empty for the first
	number int    // of the attempt there
	begun  time.Duration
	marked bool
}

type chainEvent struct {
	at     time.Duration
	serial int
	do     func()
}

type eventQueue []chainEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(chainEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

const (
	chainServes   = time.Millisecond // of the deepest service, whether it fails or not
	chainDeadline = 2 * time.Second
	chainServers  = 36 // of each service
	chainRate     = 60 // calls a second
)

func newCallChain(tb testing.TB, depth int, fails time.Duration, way chainWay) *callChain {
	tb.Helper()
	c := &callChain{fails: fails, way: way, calls: map[string]*chainCall{}}
	settings := testSettings()
	settings.CanHedge = false
	settings.Classes = []Class{{Name: "read", LatencyObjective: chainDeadline, Deadline: chainDeadline, PriorityWeight: 1, Idempotency: Idempotent}}
	for hop := range depth {
		b, err := New(settings, uint64(hop+1))
		if err != nil {
			tb.Fatal(err)
		}
		c.hops = append(c.hops, b)
		c.take(hop, b.Endpoints(0, ListFull, testServers(chainServers), nil))
	}
	return c
}

func (c *callChain) at(at time.Duration, do func()) {
	c.serial++
	heap.Push(&c.events, chainEvent{at, c.serial, do})
}

// failures plays until a time.
func (c *callChain) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		event := heap.Pop(&c.events).(chainEvent)
		c.now = event.at
		event.do()
	}
	c.now = until
}

// call brings a call to a hop, or to the service behind the last one.
func (c *callChain) call(hop int, parent string, number int, deadline time.Duration) {
	if hop == len(c.hops) {
		c.serve(parent, number)
		return
	}
	if !c.way.passesDeadline {
		deadline = c.now + chainDeadline
	}
	above := c.calls[parent]
	marked := c.way.marks && above != nil && (above.marked || number > 0)
	c.serial++
	id := fmt.Sprint(c.serial)
	c.calls[id] = &chainCall{hop, parent, number, c.now, marked}
	c.take(hop, c.hops[hop].Request(c.now, Request{ID: id, Class: "read", Deadline: deadline}, nil))
}

// serve is the deepest service.
func (c *callChain) serve(parent string, number int) {
	if c.counts {
		c.load++
	}
	status := OK
	if c.now >= c.fails {
		status = Error
	}
	c.at(c.now+chainServes, func() { c.outcome(parent, number, status) })
}

// outcome brings the end of an attempt to the hop that made it.
func (c *callChain) outcome(id string, number int, status Status) {
	call := c.calls[id]
	if call == nil {
		return // it was answered
	}
	final := status == OK || call.marked
	c.take(call.hop, c.hops[call.hop].Outcome(c.now, Outcome{Request: id, Number: number, Status: status, Took: c.now - call.begun, Final: final}, nil))
	if final {
		c.end(id, status)
	}
}

// answer answers a call, for the hop above.
func (c *callChain) end(id string, status Status) {
	call := c.calls[id]
	if call == nil {
		return
	}
	delete(c.calls, id)
	if call.parent != "" {
		c.outcome(call.parent, call.number, status)
	}
}

// take carries out what a hop's balancer wants.
func (c *callChain) take(hop int, acts []Action) {
	for _, act := range acts {
		switch act.Kind {
		case Timer:
			c.at(c.now+act.Wait, func() { c.take(hop, c.hops[hop].Timer(c.now, act.Token, nil)) })
		case Send:
			c.call(hop+1, act.Request, act.Number, c.now+act.Wait)
		case Reject, Fail:
			// In turn, not at once: the balancer is still giving its actions.
			c.at(c.now, func() { c.end(act.Request, Error) })
		}
	}
}

// multiplied is how many times its usual load the deepest service gets in the first
// second in which it fails, and in the first ten.
func multiplied(tb testing.TB, depth int, way chainWay) (second, window float64) {
	tb.Helper()
	const fails = 20 * time.Second
	c := newCallChain(tb, depth, fails, way)
	for i := range 30 * chainRate {
		c.at(time.Duration(i)*time.Second/chainRate, func() { c.call(0, "", 0, c.now+chainDeadline) })
	}
	c.run(fails)
	c.counts = true
	c.run(fails + time.Second)
	second = float64(c.load) / chainRate
	c.run(fails + budgetWindow)
	return second, float64(c.load) / (chainRate * budgetWindow.Seconds())
}

var chainWays = []chainWay{{name: "today"}, {name: "deadline", passesDeadline: true}, {name: "mark", marks: true}}

// While the deepest service fails each hop adds the share of its budget and no more:
// over a window the load there is the power of the depth, whatever hops tell each
// other, and a mark on what is made again brings it down.
func TestRetriesMultiplyWithDepth(t *testing.T) {
	for _, depth := range []int{1, 2, 3, 5} {
		bound := math.Pow(1+budgetPercent/100, float64(depth))
		windows := map[string]float64{}
		for _, way := range chainWays {
			_, window := multiplied(t, depth, way)
			if window > bound*1.02 {
				t.Errorf("%s, %d hops: %.2f times the load over a window, wanted %.2f at most", way.name, depth, window, bound)
			}
			windows[way.name] = window
		}
		if windows["today"] < bound*0.98 {
			t.Errorf("%d hops: %.2f times the load over a window, wanted all that the budgets allow, %.2f", depth, windows["today"], bound)
		}
		if depth >= 3 && windows["mark"] >= windows["today"] {
			t.Errorf("%d hops: %.2f times the load with marks, wanted less than %.2f", depth, windows["mark"], windows["today"])
		}
	}
}

// BenchmarkRetriesAtDepth reports by how much the load of the deepest service is
// multiplied, in the first second in which it fails and over the first ten
// (docs/CAPACITY.md, Depth).
func BenchmarkRetriesAtDepth(b *testing.B) {
	for _, way := range chainWays {
		for _, depth := range []int{1, 2, 3, 5, 8, 12, 16, 23} {
			b.Run(fmt.Sprintf("%s/hops=%d", way.name, depth), func(b *testing.B) {
				second, window := 0.0, 0.0
				for b.Loop() {
					second, window = multiplied(b, depth, way)
				}
				b.ReportMetric(second, "first-s")
				b.ReportMetric(window, "window")
			})
		}
	}
}
