// Package membership decides what the list of servers is, from what sources say
// of it. It does no I/O and has no clock.
package membership

import "time"

// State is what a source says of a server.
type State int

// The states.
const (
	Active State = iota
	Leaving
	Left
)

// Entry is what a source says of one server.
type Entry struct {
	Name  string
	Since int64 // start of the process in Unix milliseconds, 0 for long ago
	State State
}

// Keep is for how long after a move the new address of discovery may lag behind
// the old one: a drain that the old one told holds against it so long. What
// discovery knows is up to 11 s old on the site; this is some five times that.
const Keep = time.Minute

// drain is a server that was told to drain, or to be gone.
type drain struct {
	since int64
	index int64
	epoch int
	state State
	ends  time.Duration // forgotten after this; 0 for while it is listed
}

// Drains remembers which servers drain, so that a list which lags behind can't
// take it back. A list is of an epoch, which grows with each move of discovery
// to another address, and of an index within it; those of two epochs can't be
// compared.
//
// It guards against a new address of discovery that still lists a draining
// server as active, a replica that is behind, and an answer that crossed a
// newer one. It might do harm where a drain is called off just while discovery
// moves: the server is used again only after Keep, or once the new address has
// itself told a change of it.
type Drains struct {
	held  map[string]drain
	epoch int
	first int64 // index of the epoch's first list
	heard bool  // that list has come
}

// Moved takes the news that lists come from another address from now on.
func (d *Drains) Moved(now time.Duration) {
	d.epoch++
	d.heard = false
	for name, h := range d.held {
		h.ends = now + Keep
		d.held[name] = h
	}
}

// Take takes a list of the present epoch, or changes, and sets the state of
// those entries right that lag behind what was told before. full tells whether
// the list is whole.
func (d *Drains) Take(now time.Duration, index int64, full bool, entries []Entry) {
	if d.held == nil {
		d.held = map[string]drain{}
	}
	if !d.heard {
		d.heard, d.first = true, index
	}
	for name, h := range d.held {
		if h.ends > 0 && h.ends <= now {
			delete(d.held, name)
		}
	}
	named := make(map[string]bool, len(entries))
	for i := range entries {
		d.take(now, index, full, &entries[i])
		named[entries[i].Name] = true
	}
	if !full {
		return
	}
	// What a whole list leaves out is gone: its drain is kept a while, for a
	// list that lags behind.
	for name, h := range d.held {
		if !named[name] && h.ends == 0 {
			h.ends = now + Keep
			d.held[name] = h
		}
	}
}

// take takes one entry.
func (d *Drains) take(now time.Duration, index int64, full bool, n *Entry) {
	h, held := d.held[n.Name]
	if n.State != Active {
		if held && h.since > n.Since {
			return // of an earlier life than the one that is known to drain
		}
		// Gone does not turn into leaving again.
		next := drain{since: n.Since, index: index, epoch: d.epoch, state: n.State}
		if held && h.since == n.Since && h.state == Left {
			n.State, next.state = Left, Left
		}
		if next.state == Left {
			next.ends = now + Keep
		}
		d.held[n.Name] = next
		return
	}
	switch {
	case !held:
	case n.Since > h.since:
		delete(d.held, n.Name) // a new process
	case n.Since < h.since:
		n.State = h.state // an earlier life is not coming back
	case d.takesBack(&h, index, full):
		delete(d.held, n.Name)
	default:
		n.State = h.state
	}
}

// takesBack tells whether a list that names a server as active is newer than
// the word that it drains.
func (d *Drains) takesBack(h *drain, index int64, full bool) bool {
	if h.epoch == d.epoch {
		return index > h.index
	}
	return !full && index > d.first
}

// Held returns how many drains are remembered.
func (d *Drains) Held() int { return len(d.held) }
