package gate

import (
	"net/netip"
	"strconv"
	"time"

	"otterspring/internal/coap/message"
)

func itoa(n int) string { return strconv.Itoa(n) }

// observer is a client that wants to hear of changes (RFC 7641). What it
// observes is asked for anew every ObserveEvery; it is told when that differs
// from what it was told last.
type observer struct {
	id      observerID
	req     message.Message // as it came
	request Request
	class   Class
	accept  int
	tag     string // of what it was told last
	seq     uint32 // of the notifications
	due     time.Duration
	asking  bool
	note    uint64 // exchange of the notification that is out, 0 for none
	older   *observer
	newer   *observer
}

// observerID names an observation: the endpoint and its token (section 3.1).
type observerID struct {
	peer  netip.AddrPort
	token string
}

// observers are all observations, the one that is due first in front: each goes
// to the end when it is asked for, always for the same time.
type observers struct {
	by          map[observerID]*observer
	byNote      map[uint64]*observer
	first, last *observer
}

func newObservers() observers {
	return observers{by: map[observerID]*observer{}, byNote: map[uint64]*observer{}}
}

func (w *observers) unlink(o *observer) {
	if o.older != nil {
		o.older.newer = o.newer
	} else {
		w.first = o.newer
	}
	if o.newer != nil {
		o.newer.older = o.older
	} else {
		w.last = o.older
	}
	o.older, o.newer = nil, nil
}

// push puts an observation last, due at that time.
func (w *observers) push(o *observer, due time.Duration) {
	o.due, o.older = due, w.last
	if w.last != nil {
		w.last.newer = o
	} else {
		w.first = o
	}
	w.last = o
}

func (w *observers) remove(o *observer) {
	if w.by[o.id] != o {
		return
	}
	delete(w.by, o.id)
	delete(w.byNote, o.note)
	w.unlink(o)
}

// next is when the first is due.
func (w *observers) next() (time.Duration, bool) {
	if w.first == nil {
		return 0, false
	}
	return w.first.due, true
}

// observe begins or ends an observation (section 2: 0 to register, 1 to
// deregister). Without room, or with another value, the request is answered
// without the option: the client knows by that that it will hear no more.
func (g *Gate) observe(now time.Duration, x *open, value uint32, r Request) {
	id := observerID{x.peer, string(x.req.Token)}
	old := g.watch.by[id]
	if old != nil {
		g.watch.remove(old)
	}
	if value != 0 || g.draining {
		return
	}
	// A forged source would have others flooded for as long as it likes.
	if !x.echoed && !g.trusted(x.peer) || len(g.watch.by) >= g.set.Observers {
		if g.set.Observers > 0 {
			g.counts.Full++
		}
		return
	}
	o := &observer{id: id, req: x.req, request: r, class: x.class, accept: x.accept}
	if old != nil {
		o.seq = old.seq
	}
	g.watch.by[id] = o
	g.watch.push(o, now+g.set.ObserveEvery)
	x.obs = o
}

// observed marks the answer to a registration.
func (g *Gate) observed(now time.Duration, x *open, a Answer, m *message.Message) {
	o := x.obs
	if g.watch.by[o.id] != o {
		return
	}
	if m.Code != message.Content && m.Code != message.Valid {
		g.watch.remove(o) // section 4.2: an error ends it
		return
	}
	o.tag = string(tag(a.Body))
	o.seq++
	m.AddUint(message.Observe, o.seq&0xffffff)
}

// poll asks anew for what is due.
func (g *Gate) poll(now time.Duration) {
	for o := g.watch.first; o != nil && o.due <= now; o = g.watch.first {
		g.watch.unlink(o)
		g.watch.push(o, now+g.set.ObserveEvery)
		if o.asking || g.draining {
			continue
		}
		o.asking = true
		r := o.request
		r.ID = "" // each asking is a request of its own
		g.ask(&open{peer: o.id.peer, req: o.req, class: o.class, obs: o, accept: o.accept}, r)
	}
}

// polled tells an observer of what it observes, if that has changed. A failure
// ends nothing: the next asking may go well.
func (g *Gate) polled(now time.Duration, x *open, a Answer) {
	o := x.obs
	o.asking = false
	if g.watch.by[o.id] != o || a.Outcome != Served || string(tag(a.Body)) == o.tag {
		return
	}
	// While a notification waits for its acknowledgement no other goes out: the
	// next asking has what is newest (section 4.5.2).
	if o.note != 0 && g.ex.NotificationPending(o.note) {
		return
	}
	m := g.worded(x, a)
	if m.Code != message.Content {
		return
	}
	o.tag = string(tag(a.Body))
	o.seq++
	m.AddUint(message.Observe, o.seq&0xffffff)
	size := g.set.Blocks.MaxBlockSize
	if len(m.Payload) > size {
		// Section 2.6 of RFC 7959: the first block; the client fetches the rest by
		// plain requests.
		m.AddBlock(message.Block2, message.Block{More: true, Size: size})
		m.AddUint(message.Size2, uint32(len(m.Payload)))
		m.Payload = m.Payload[:size]
	}
	delete(g.watch.byNote, o.note)
	acts, handle, err := g.ex.Notify(now, o.id.peer, []byte(o.id.token), m, nil)
	if err != nil {
		g.watch.remove(o)
		return
	}
	o.note = handle
	g.watch.byNote[handle] = o
	g.counts.Notified++
	g.carry(now, acts, 0)
}
