// Package virtual plays storms in virtual time: call servers, discovery,
// clients and a sidecar's carrier as a discrete-event emulation round the real
// decision module, on one thread. The same storm and seed give the same run, to
// the byte. Package rig plays the same files on sockets and processes.
package virtual

import "time"

// event is one call to come.
type event struct {
	at  time.Duration
	seq uint64 // events of one time keep the order in which they were made
	do  func()
}

// loop is the clock and what is to come, as a binary heap.
type loop struct {
	now   time.Duration
	seq   uint64
	heap  []event
	steps int
}

func (l *loop) less(i, j int) bool {
	a, b := &l.heap[i], &l.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// at arranges a call; one for a time that is over comes next.
func (l *loop) at(t time.Duration, do func()) {
	l.seq++
	l.heap = append(l.heap, event{max(t, l.now), l.seq, do})
	for i := len(l.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !l.less(i, up) {
			break
		}
		l.heap[i], l.heap[up] = l.heap[up], l.heap[i]
		i = up
	}
}

// in arranges a call after d.
func (l *loop) in(d time.Duration, do func()) { l.at(l.now+max(d, 0), do) }

// next takes the earliest call; false if there is none.
func (l *loop) next() (event, bool) {
	n := len(l.heap)
	if n == 0 {
		return event{}, false
	}
	e := l.heap[0]
	n--
	l.heap[0] = l.heap[n]
	l.heap[n] = event{}
	l.heap = l.heap[:n]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < n; c++ {
			if l.less(c, least) {
				least = c
			}
		}
		if least == i {
			break
		}
		l.heap[i], l.heap[least] = l.heap[least], l.heap[i]
		i = least
	}
	return e, true
}

// run plays until a time, or until stop says so, or until most calls were made;
// it returns false in the last case.
func (l *loop) run(until time.Duration, most int, stop func() bool) bool {
	for len(l.heap) > 0 && l.heap[0].at <= until {
		if l.steps >= most {
			return false
		}
		if l.steps&0xfff == 0 && stop != nil && stop() {
			return true
		}
		e, _ := l.next()
		l.now = e.at
		l.steps++
		e.do()
	}
	l.now = max(l.now, until)
	return true
}
