// Package virtual runs experiments in virtual time. It is a single-threaded
// discrete-event simulation of call servers, discovery, clients and the
// sidecar's I/O around the real decision module. The same experiment and seed
// give a byte-identical result. Package rig runs the same files with sockets
// and processes.
package virtual

import "time"

// event is a function that is scheduled for a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // orders events of the same time by the order in which they were scheduled
	run func()
}

// loop holds the virtual clock and the scheduled events in a binary heap.
type loop struct {
	now       time.Duration
	lastSeq   uint64
	heap      []event
	processed int
}

func (l *loop) less(i, j int) bool {
	a, b := &l.heap[i], &l.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// scheduleAt schedules run for time t. A time in the past counts as the present.
func (l *loop) scheduleAt(t time.Duration, run func()) {
	l.lastSeq++
	l.heap = append(l.heap, event{max(t, l.now), l.lastSeq, run})
	for i := len(l.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !l.less(i, parent) {
			break
		}
		l.heap[i], l.heap[parent] = l.heap[parent], l.heap[i]
		i = parent
	}
}

// scheduleAfter schedules run after d. A negative d counts as 0.
func (l *loop) scheduleAfter(d time.Duration, run func()) { l.scheduleAt(l.now+max(d, 0), run) }

// pop removes and returns the earliest event. It returns false if there is none.
func (l *loop) pop() (event, bool) {
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
		for child := 2*i + 1; child <= 2*i+2 && child < n; child++ {
			if l.less(child, least) {
				least = child
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

// run processes events until the given time. It ends early when stop returns true or when maxEvents
// events have been processed. It returns false only if it ends because of maxEvents. It calls stop
// once every 4096 events.
func (l *loop) run(until time.Duration, maxEvents int, stop func() bool) bool {
	for len(l.heap) > 0 && l.heap[0].at <= until {
		if l.processed >= maxEvents {
			return false
		}
		if l.processed&0xfff == 0 && stop != nil && stop() {
			return true
		}
		e, _ := l.pop()
		l.now = e.at
		l.processed++
		e.run()
	}
	l.now = max(l.now, until)
	return true
}
