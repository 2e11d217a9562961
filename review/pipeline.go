package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/lab"
)

func init() { cases["restart"] = restart }

const (
	batchClients = 16
	batchSize    = 4 // commands that a client sends at once
	restarts     = 3
)

// restart: clients send several commands at once on a connection that they keep, with the one
// that is not idempotent at the end, as HTTP asks. The sidecar is told to end, as at a planned restart, and is started again; clients send nothing from
// SIGTERM until it is back.
func restart(e *env) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 30*time.Millisecond)
	if err != nil {
		return v, err
	}
	for _, s := range servers {
		s.Serve()
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
	var all []lab.Outcome
	for range restarts {
		if err := sidecar.Start(); err != nil {
			return v, err
		}
		var stop atomic.Bool
		var wait sync.WaitGroup
		var mu sync.Mutex
		for range batchClients {
			wait.Go(func() {
				client := lab.NewBatchClient(e.record, sidecar.Listen)
				defer client.Close()
				for !stop.Load() {
					var commands []lab.Command
					for i := range batchSize {
						c := classes[0] // roster, a GET
						if i == batchSize-1 {
							c = classes[1+rand.IntN(2)] // join or start-rec, a POST
						}
						commands = append(commands, lab.Command{Class: c, Deadline: time.Duration(c.DeadlineUS) * time.Microsecond * 8 / 10})
					}
					// Not taken: the close of a resting connection crossed the batch.
					if out, taken := client.Send(commands, 550*time.Millisecond); taken {
						mu.Lock()
						all = append(all, out...)
						mu.Unlock()
					}
					time.Sleep(rand.N(400 * time.Millisecond))
				}
			})
		}
		time.Sleep(3 * time.Second)
		// A batch whose writing has begun by now was written whole before the signal.
		stop.Store(true)
		time.Sleep(10 * time.Millisecond)
		if e.trouble {
			sidecar.Signal(syscall.SIGTERM)
		}
		wait.Wait()
		if !e.trouble {
			sidecar.Signal(syscall.SIGTERM)
		}
		select {
		case <-sidecar.Exited():
		case <-time.After(20 * time.Second):
			return v, fmt.Errorf("the sidecar did not end within 20 s")
		}
	}
	ran := map[string]bool{}
	for _, s := range servers {
		for _, a := range s.Arrivals() {
			ran[a.ID] = true
		}
	}
	status, lost, lostRan := map[int]int{}, map[string]int{}, 0
	for _, o := range all {
		v.checked++
		status[o.Status]++
		if o.Status == 0 {
			v.broken++
			lost[o.Class]++
			if ran[o.ID] {
				lostRan++
			}
			e.record.AddAt(o.End, "BREAK client: id %s of class %s, whose bytes were written %v before, got no answer: %v", o.ID, o.Class, o.End.Sub(o.Sent).Round(time.Millisecond), o.Err)
		}
	}
	v.text = fmt.Sprintf("requests of batches that were read before SIGTERM and got no answer: %v; %d of them had run; requests by status: %v", lost, lostRan, status)
	return v, nil
}
