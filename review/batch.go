package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"review/lab"
)

func init() { cases["batch-late"] = batchLate; cases["no-length"] = noLength }

// batchLate: a client sends 24 commands at once on one connection. Each call takes as long as
// the site page says. Without trouble it sends them one at a time.
func batchLate(e *env) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 0)
	if err != nil {
		return v, err
	}
	for _, s := range servers {
		s.Handle = func(a *lab.Arrival) bool {
			if a.Path == "/roster" {
				time.Sleep(14*time.Millisecond + rand.N(12*time.Millisecond))
			} else {
				time.Sleep(39*time.Millisecond + rand.N(31*time.Millisecond))
			}
			return a.Reply(lab.Answer(a.ID))
		}
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
	if err := sidecar.Start(); err != nil {
		return v, err
	}
	const size = 24
	first, last := time.Duration(0), time.Duration(0)
	for range 10 {
		var commands []lab.Command
		for i := range size {
			c := classes[i%len(classes)]
			commands = append(commands, lab.Command{Class: c, Deadline: time.Duration(c.DeadlineUS) * time.Microsecond * 42 / 100})
		}
		at := size
		if !e.trouble {
			at = 1
		}
		for ; len(commands) > 0; commands = commands[at:] {
			client := lab.NewBatchClient(e.record, sidecar.Listen)
			out, _ := client.Send(commands[:at], 5*time.Second)
			client.Close()
			for i, o := range out {
				v.checked++
				took := o.End.Sub(o.Sent)
				if i == 0 {
					first = max(first, took)
				}
				last = max(last, took)
				if o.Status == 0 || took > commands[i].Deadline+550*time.Millisecond {
					v.broken++
					e.record.AddAt(o.End, "BREAK client: id %s of class %s got its answer after %v, its deadline was %v", o.ID, o.Class, took, commands[i].Deadline)
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	v.text = fmt.Sprintf("requests with no answer half a second after their time; the answer to the first command of a batch took up to %v, to any up to %v", first.Round(time.Millisecond), last.Round(time.Millisecond))
	return v, nil
}

// noLength: the answers come whole and have no length; the call server closes the connection
// behind them. Without trouble they have a length, and the connection is closed as well.
func noLength(e *env) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 0)
	if err != nil {
		return v, err
	}
	for _, s := range servers {
		s.Handle = func(a *lab.Arrival) bool {
			time.Sleep(10 * time.Millisecond)
			length, body := "", lab.Answer(a.ID)
			if !e.trouble {
				length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
			}
			fmt.Fprintf(a.Conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", length, body)
			return false
		}
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
	if err := sidecar.Start(); err != nil {
		return v, err
	}
	clients, stop := lab.NewClients(e.record, sidecar.Listen), make(chan struct{})
	clients.Load(20, stop, func() lab.Class { return classes[2] })
	time.Sleep(10 * time.Second)
	close(stop)
	status := map[int]int{}
	for _, o := range clients.Wait() {
		v.checked++
		status[o.Status]++
	}
	ran := 0
	for _, s := range servers {
		ran += len(s.Arrivals())
	}
	if status[200]*2 < ran {
		v.broken = ran - status[200]
	}
	v.text = fmt.Sprintf("start-rec that ran and whose whole answer was not forwarded; %d ran; requests by status: %v", ran, status)
	return v, nil
}
