package supervisor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/fleet/lifecycle"
)

// An instance that is stopped, or hangs, holds its listener: connections come up
// and nobody answers, for as long as that lasts. Nothing that ends tells of it.

const (
	// mostAsking bounds the instances that are asked at a time.
	mostAsking = 16
	// asksWithin is how often an instance is asked in the time after which it
	// counts as silent: one answer that is lost is not enough.
	asksWithin = 4
)

// one is a process that is up, as far as the plan knows.
type one struct {
	i, id int
	addr  string
}

// listen asks all instances that are up again and again, and tells the plan of
// those that have not answered for alive.within. It ends with the supervisor.
func (s *Supervisor) listen() {
	within := s.file.HealthCheck.Timeout
	every := within / asksWithin
	heard := map[one]time.Time{}
	tick := time.NewTicker(every)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > within {
			clear(heard) // it was this process that stood still
		}
		last = now
		up := s.up()
		answered := s.askAll(up, every)
		now = time.Now()
		next := map[one]time.Time{}
		for k, o := range up {
			at, known := heard[o]
			switch {
			case answered[k] || !known:
				at = now
			case now.Sub(at) >= within:
				s.enqueue(s.ctx, func(t time.Duration) []lifecycle.Action { return s.plan.Unresponsive(t, o.i, o.id, within) })
				at = now // killed or not, it has its time anew
			}
			next[o] = at
		}
		heard = next // no more than there are instances
	}
}

// up are the processes that are up by themselves.
func (s *Supervisor) up() []one {
	got := make(chan []one, 1)
	s.enqueue(s.ctx, func(time.Duration) []lifecycle.Action {
		var all []one
		for i := range s.specs {
			if phase, n := s.plan.Phase(i); phase != lifecycle.Ready || n != 1 {
				continue
			}
			for id := range s.procs[i] {
				all = append(all, one{i, id, s.specs[i].Listen})
			}
		}
		got <- all
		return nil
	})
	select {
	case all := <-got:
		return all
	case <-s.ctx.Done():
		return nil
	}
}

// askAll tells which of them answer within a time.
func (s *Supervisor) askAll(all []one, within time.Duration) []bool {
	answered := make([]bool, len(all))
	slots := make(chan bool, mostAsking)
	var wg sync.WaitGroup
	for k, o := range all {
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(s.ctx, within)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, "GET", "http://"+o.addr+"/up", nil)
			if err != nil {
				return
			}
			if r, err := aliveClient.Do(req); err == nil {
				r.Body.Close()
				answered[k] = true // whatever it says: it is there
			}
		})
	}
	wg.Wait()
	return answered
}

var aliveClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
