package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"review/lab"
)

func init() { cases["watch-ends"] = watchEnds }

const (
	// drainGrace is what the pages grant from the time of the change to the first byte of a
	// request: 500 ms, and 50 ms more on sockets.
	drainGrace = 550 * time.Millisecond
)

// fleet starts call servers and returns them with their list.
func fleet(e *env, n int, work time.Duration) (servers []*lab.CallServer, entries []lab.Endpoint, err error) {
	for i := range n {
		s, err := lab.NewCallServer(e.record, fmt.Sprintf("s-%d", i), work)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		entries = append(entries, lab.Endpoint{Name: s.Name, Address: s.Address(), Zone: "delft-dc", Type: "fast-2c", Group: i / 6, Status: "active", Weight: 1})
	}
	return servers, entries, nil
}

// watchEnds: lists are pushed. Three call servers begin to drain, one after another. With
// trouble, the watch that is open ends in that moment instead of telling.
func watchEnds(e *env) (v verdict, err error) {
	servers, entries, err := fleet(e, 6, 20*time.Millisecond)
	if err != nil {
		return v, err
	}
	for _, s := range servers {
		s.Serve()
	}
	agent, err := lab.NewDiscovery(e.record, entries)
	if err != nil {
		return v, err
	}
	classes := lab.CallClasses()
	sidecar, err := lab.NewSidecar(e.record, e.dir, "n1", agent.Address(), agent.Snapshot(), lab.Settings("automatic", classes))
	if err != nil {
		return v, err
	}
	defer sidecar.Kill()
	if err := sidecar.Start(); err != nil {
		return v, err
	}
	clients, stop := lab.NewClients(e.record, sidecar.Listen), make(chan struct{})
	var n atomic.Int64
	clients.Load(60, stop, func() lab.Class { return classes[n.Add(1)%int64(len(classes))] })
	time.Sleep(5 * time.Second)
	told := map[string]time.Time{}
	for i := range 3 {
		name := servers[i].Name
		told[name] = agent.SetStatus(name, "leaving", e.trouble)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	clients.Wait()
	if !sidecar.Alive() {
		return v, fmt.Errorf("the sidecar ended")
	}
	latest := time.Duration(0)
	for _, s := range servers {
		at, drains := told[s.Name]
		for _, a := range s.Arrivals() {
			v.checked++
			if late := a.First.Sub(at); drains && late > drainGrace {
				v.broken++
				latest = max(latest, late)
				e.record.AddAt(a.First, "BREAK %s got id %s %v after it was told to drain", s.Name, a.ID, late.Round(time.Millisecond))
			}
		}
	}
	v.text = fmt.Sprintf("requests that reached a draining call server more than %v after the change was told; the latest after %v", drainGrace, latest.Round(time.Millisecond))
	return v, nil
}
