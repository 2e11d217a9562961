package virtual

import (
	"time"

	"otterspring/balance"
)

const (
	watchFor      = 20 * time.Second // a watch that brings nothing ends after this, as the sidecar asks
	listPatience  = 2 * time.Second  // a call that would wait longer fails
	callSilent    = 6 * time.Second  // a call that is not answered fails after this
	rewatchWithin = time.Millisecond
)

// entry is a server as discovery has it.
type entry struct {
	srv     *server
	life    int
	place   int
	started time.Duration
	state   balance.ServerState
	changed int
}

// registry is discovery: one service that works through calls in turn.
type registry struct {
	w        *world
	index    int
	entries  []*entry // in the order in which they came
	by       map[*server]*entry
	watchers []*watch
	free     time.Duration
	down     bool
	silent   bool
	late     time.Duration
}

// watch is a call that waits for news.
type watch struct {
	p     *process
	since int
	over  bool
}

// now puts an entry in at once.
func (r *registry) now(s *server, state balance.ServerState) {
	r.put(entry{srv: s, life: s.life, place: s.place, started: s.started, state: state})
}

// set puts an entry in, late.
func (r *registry) set(s *server, state balance.ServerState) {
	e := entry{srv: s, life: s.life, place: s.place, started: s.started, state: state}
	r.w.loop.in(r.late, func() {
		if state != balance.Ready {
			// From here on discovery has it to tell.
			r.w.log.Changed(s.name, e.life, true, r.w.loop.now)
		}
		r.put(e)
	})
}

func (r *registry) put(n entry) {
	e := r.by[n.srv]
	if e == nil {
		e = &entry{}
		r.by[n.srv] = e
		r.entries = append(r.entries, e)
	} else if n.life < e.life {
		return // an older life's news, overtaken
	}
	r.index++
	n.changed = r.index
	*e = n
	if r.down {
		return
	}
	waiting := r.watchers
	r.watchers = nil
	// Who is served first is chance, as on sockets.
	r.w.rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, x := range waiting {
		if !x.over {
			x.over = true
			r.serve(x.p, x.since)
		}
	}
}

// call takes a call of a process: the whole list for since 0, else what is
// newer, waiting for it.
func (r *registry) call(p *process, since int) {
	switch {
	case r.down && r.silent:
		r.w.loop.in(callSilent, func() { p.listFailed() })
	case r.down:
		r.w.loop.in(r.w.delay(), func() { p.listFailed() })
	case since > 0 && r.index <= since:
		x := &watch{p: p, since: since}
		r.watchers = append(r.watchers, x)
		r.w.loop.in(watchFor, func() {
			if !x.over && !r.down {
				x.over = true
				r.drop()
				r.serve(p, since)
			}
		})
	default:
		r.serve(p, since)
	}
}

// drop forgets the watches that are over, now and then.
func (r *registry) drop() {
	kept := r.watchers[:0]
	for _, x := range r.watchers {
		if !x.over {
			kept = append(kept, x)
		}
	}
	r.watchers = kept
}

// serve books a call's work and answers when its turn has come.
func (r *registry) serve(p *process, since int) {
	var told []entry
	for _, e := range r.entries {
		if since == 0 || e.changed > since {
			told = append(told, *e)
		}
	}
	index, now := r.index, r.w.loop.now
	pause := time.Duration(0)
	if d := r.w.storm.World.Discovery; d.Lines > 0 {
		r.free = max(r.free, now)
		if r.free-now > listPatience {
			r.w.loop.in(r.w.delay(), func() { p.listFailed() })
			return
		}
		r.free += time.Duration((d.CallLines + float64(len(told))) / d.Lines * float64(time.Second))
		pause = r.free - now
	}
	r.w.loop.in(pause+r.w.delay(), func() {
		if p.ended {
			return
		}
		if r.down {
			p.listFailed()
			return
		}
		for i := range told {
			e := &told[i]
			r.w.log.Told(p.inst.name, p.epoch, e.srv.name, e.life, e.state != balance.Ready, r.w.loop.now)
		}
		kind := balance.ListChange
		if since == 0 {
			kind = balance.ListFull
		}
		p.members(kind, told, index)
		r.w.loop.in(rewatchWithin, func() {
			if !p.ended {
				r.call(p, p.index)
			}
		})
	})
}

// bad takes discovery down, silent or not, or makes it late.
func (r *registry) bad(kind string, late time.Duration) {
	switch kind {
	case "list-late":
		r.late = late
		return
	case "list-silent":
		r.silent = true
	default:
		r.silent = false
	}
	r.down = true
	r.w.log.Silent(true, r.w.loop.now)
	waiting := r.watchers
	r.watchers = nil
	for _, x := range waiting {
		if x.over {
			continue
		}
		x.over = true
		// A watch that is cut off in silence is noticed at its end.
		wait := r.w.delay()
		if r.silent {
			wait = watchFor + callSilent
		}
		r.w.loop.in(wait, func() { x.p.listFailed() })
	}
}

// good takes back what bad did.
func (r *registry) good() {
	r.w.log.Silent(false, r.w.loop.now)
	r.down, r.late = false, r.w.storm.World.Discovery.Late
}
