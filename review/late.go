package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"review/lab"
)

func init() { cases["late-answer"] = lateAnswer }

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
func lateAnswer(e *env) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 0)
	if err != nil {
		return v, err
	}
	var copies atomic.Int64
	for i, s := range servers {
		s.Handle = func(a *lab.Arrival) bool {
			time.Sleep(3*time.Millisecond + rand.N(7*time.Millisecond))
			body := lab.Answer(a.ID)
			if !a.Reply(body) {
				return false
			}
			if e.trouble && rand.IntN(secondShare) == 0 {
				time.AfterFunc(secondFrom+rand.N(secondTo-secondFrom), func() {
					if !a.Waiting() && a.Reply(body) {
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
		if o.Status != 200 {
			continue
		}
		v.checked++
		if o.Body != lab.Answer(o.ID) {
			v.broken++
			e.record.AddAt(o.End, "BREAK client: id %s of class %s was served with %q", o.ID, o.Class, o.Body)
		}
	}
	v.text = fmt.Sprintf("answers 200 that were made for another request; %d second answers were sent; requests by status: %v", copies.Load(), status)
	return v, nil
}
