package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"review/lab"
)

func init() {
	cases["late-answer"] = func(e *env) (verdict, error) { return lateAnswer(e, 0) }
	cases["late-refusal"] = func(e *env) (verdict, error) { return lateAnswer(e, 10) }
}

const (
	// oneWay is the delay of the network between the sidecar and the call servers: the site
	// page has same_ms = [0.19, 0.35].
	oneWay = 300 * time.Microsecond
	// A second answer comes some milliseconds after the first.
	secondFrom, secondTo = 2 * time.Millisecond, 9 * time.Millisecond
	secondShare          = 20 // one answer in so many has a second copy
)

// lateAnswer: some good answers are followed by a second copy some milliseconds later, if
// nothing else waits on the connection by then.
// With refusedShare above 0, one request in so many is turned away, with X-Not-Run; such an
// answer may have a second copy as well, and what is checked is that no start-rec runs twice.
func lateAnswer(e *env, refusedShare int) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 0)
	if err != nil {
		return v, err
	}
	var copies atomic.Int64
	ran := runs{ids: map[string]int{}}
	for i, s := range servers {
		s.Handle = func(a *lab.Arrival) bool {
			time.Sleep(3*time.Millisecond + rand.N(7*time.Millisecond))
			answer := func() bool { return a.Reply(lab.Answer(a.ID)) }
			if refusedShare > 0 && rand.IntN(refusedShare) == 0 {
				answer = a.TurnAway
			} else {
				ran.add(a)
			}
			if !answer() {
				return false
			}
			if e.trouble && rand.IntN(secondShare) == 0 {
				time.AfterFunc(secondFrom+rand.N(secondTo-secondFrom), func() {
					if !a.Waiting() && answer() {
						copies.Add(1)
						e.record.Add("%s: second answer for id %s to %s", s.Name, a.ID, a.Conn.RemoteAddr())
					}
				})
			}
			return true
		}
		s.Serve()
		proxy, err := lab.NewDelayProxy(s.Address(), oneWay)
		if err != nil {
			return v, err
		}
		entries[i].Address = proxy.Address()
	}
	discovery, err := lab.NewDiscovery(e.record, entries)
	if err != nil {
		return v, err
	}
	classes := lab.CallClasses()
	sidecar, err := lab.NewSidecar(e.record, e.dir, "n1", discovery.Address(), discovery.Snapshot(), lab.Settings("subscribe", classes))
	if err != nil {
		return v, err
	}
	defer sidecar.Kill()
	if err := sidecar.Start(); err != nil {
		return v, err
	}
	clients, stop := lab.NewClients(e.record, sidecar.Listen), make(chan struct{})
	var n atomic.Int64
	clients.Load(250, stop, func() lab.Class { return classes[n.Add(1)%int64(len(classes))] })
	time.Sleep(60 * time.Second)
	close(stop)
	outcomes := clients.Wait()
	if !sidecar.Alive() {
		return v, fmt.Errorf("the sidecar ended")
	}
	status := map[int]int{}
	for _, o := range outcomes {
		status[o.Status]++
		if refusedShare > 0 {
			v.checked++
			if n := ran.ids[o.ID]; n > 1 && o.Class == "start-rec" {
				v.broken++
				e.record.AddAt(o.End, "BREAK start-rec id %s ran %d times", o.ID, n)
			}
			continue
		}
		if o.Status != 200 {
			continue
		}
		v.checked++
		if o.Body != lab.Answer(o.ID) {
			v.broken++
			e.record.AddAt(o.End, "BREAK client: id %s of class %s was served with %q", o.ID, o.Class, o.Body)
		}
	}
	if refusedShare > 0 {
		v.text = fmt.Sprintf("start-rec that ran more than once; %d second answers were sent; requests by status: %v", copies.Load(), status)
		return v, nil
	}
	v.text = fmt.Sprintf("answers 200 that were made for another request; %d second answers were sent; requests by status: %v", copies.Load(), status)
	return v, nil
}

// runs counts how often each request ran.
type runs struct {
	mu  sync.Mutex
	ids map[string]int
}

func (r *runs) add(a *lab.Arrival) {
	r.mu.Lock()
	r.ids[a.ID]++
	r.mu.Unlock()
	a.Record.Add("%s: id %s runs", a.Server, a.ID)
}
