package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"otterspring/balance"
	"otterspring/internal/pace"
)

// A host's supervisor may hand discovery's list on to its sidecars, at a door of its
// own and in discovery's form (docs/operate/list.md). A sidecar takes it from there
// as long as the door answers, and asks discovery itself when it does not: after a
// time of its own, so that a host's sidecars do not all come at once.

const (
	// nearWatch is short: it costs nobody but the host, and a supervisor that stands
	// still is noticed at the end of it.
	nearWatch  = 2 * time.Second
	nearWithin = time.Second
	nearAgain  = 250 * time.Millisecond
	// sourceHeader names the discovery whose versions a door's list bears.
	sourceHeader = "X-List-Source"
)

// Near has the list taken from a door of this host that hands on the one of source,
// and from discovery itself only from turn after the door has failed. It is called
// before Run. Once discovery has moved the door is left alone for good: what it
// hands on is not known to be of the new one.
func (d *Follower) Near(addr, source string, turn time.Duration) {
	d.near, d.source, d.turnAt = addr, source, turn
}

// nearby follows the door, and discovery while the door fails, until ctx ends.
func (d *Follower) nearby(ctx context.Context) {
	var failed time.Time // zero for not
	for ctx.Err() == nil {
		heard, moved, err := d.watchNear(ctx)
		d.hangUp()
		switch {
		case ctx.Err() != nil:
			return
		case moved:
			slog.Warn("list: discovery has moved: it is asked from now on, and the door of this host is not", "door", d.near)
			d.far(ctx, pace.Tries)
			return
		case heard || failed.IsZero():
			failed = time.Now()
			slog.Info("list: the door of this host fails", "door", d.near, "why", err)
		}
		if time.Since(failed) < d.turnAt {
			pause(ctx, nearAgain)
			continue
		}
		slog.Warn("list: asking discovery, for the door of this host is silent", "door", d.near, "for", time.Since(failed).Round(time.Millisecond))
		d.alone(ctx)
		if _, moves := d.where(); moves > 0 {
			d.far(ctx, 1)
			return
		}
		failed = time.Time{}
	}
}

// alone follows discovery until the door answers again.
func (d *Follower) alone(ctx context.Context) {
	ctx, back := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer back()
		for ctx.Err() == nil {
			pause(ctx, 4*nearAgain)
			if _, moves := d.where(); moves > 0 || d.probe(ctx) {
				return
			}
		}
	}()
	d.far(ctx, 1)
	<-ended
	d.hangUp()
}

// probe tells whether the door has a list to hand on, of the discovery that is asked
// and no older than what is held.
func (d *Follower) probe(ctx context.Context) bool {
	p := &Follower{schemes: d.schemes, index: none}
	defer p.hangUp()
	l, source, err := p.call(ctx, d.near, nearWatch, nearWithin)
	index, _ := d.eng.Version()
	return err == nil && source == d.source && l.Index >= index
}

// where is discovery's address, and how often it has moved.
func (d *Follower) where() (addr string, moves int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr, d.moves
}

// watchNear hands the engine what the door tells, until it fails or discovery moves.
// It tells whether the door had answered before.
func (d *Follower) watchNear(ctx context.Context) (heard, moved bool, err error) {
	for {
		began := time.Now()
		_, moves, until, done := d.turn(ctx)
		if moves > 0 {
			done()
			return heard, true, nil
		}
		l, source, err := d.call(until, d.near, nearWatch, nearWithin)
		if err == nil {
			err = until.Err()
		}
		moved := until.Err() != nil
		done()
		if moved {
			return heard, true, err
		}
		if err == nil && source != d.source {
			err = fmt.Errorf("found a list of %q, wanted %q's", source, d.source)
		}
		if err == nil && l.Index < d.index {
			// Whoever hands an older list on, whole or not, has slept.
			err = fmt.Errorf("found version %d after version %d", l.Index, d.index)
		}
		if err != nil {
			return heard, false, err
		}
		kind := balance.ListChange
		if l.Full {
			kind = balance.ListFull
		}
		heard = true
		d.index = l.Index
		d.eng.Members(kind, l, 0)
		if len(l.Entries) == 0 && time.Since(began) < rest {
			pause(ctx, rest)
		}
	}
}
