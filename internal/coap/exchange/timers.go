package exchange

import (
	"container/heap"
	"time"
)

// timer is a time at which x has something to do.
type timer[X any] struct {
	at time.Duration
	x  X
	i  int // place in the heap
}

// timers are the times to come, the earliest first.
type timers[X any] []*timer[X]

func (t timers[X]) Len() int           { return len(t) }
func (t timers[X]) Less(a, b int) bool { return t[a].at < t[b].at }
func (t timers[X]) Swap(a, b int)      { t[a], t[b] = t[b], t[a]; t[a].i, t[b].i = a, b }

// Push and Pop are for package heap.
func (t *timers[X]) Push(x any) {
	v := x.(*timer[X])
	v.i = len(*t)
	*t = append(*t, v)
}

func (t *timers[X]) Pop() any {
	old := *t
	v := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return v
}

// plan sets the time of x, which *at holds.
func (t *timers[X]) plan(at **timer[X], x X, when time.Duration) {
	if *at == nil {
		*at = &timer[X]{at: when, x: x}
		heap.Push(t, *at)
		return
	}
	(*at).at = when
	heap.Fix(t, (*at).i)
}

// cancel takes it back.
func (t *timers[X]) cancel(at **timer[X]) {
	if *at != nil {
		heap.Remove(t, (*at).i)
		*at = nil
	}
}

// next returns the earliest; false if there is none.
func (t timers[X]) next() (time.Duration, bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[0].at, true
}
