// Package council is what a council of 3 or 5 members agrees on and how: duties
// with one owner each, their epochs, orders and facts. It does no I/O and reads no
// clock. State is the agreed state and a pure function of the agreed commands;
// Member puts it under a library's consensus (go.etcd.io/raft); Fence, Tenure and
// Leases are the rules of receivers, owners and leaders. docs/design/council.md
// has the reasons.
package council

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"otterspring/internal/fleet/configuration"
)

// StateVersion is the newest form of commands and state that this program knows.
// A member says in each vote for a duty what it can apply; a command of a newer
// form is not proposed before all can (State.Needs).
const StateVersion = 2

// Bounds of what a council holds. What goes beyond is refused, not cut.
const (
	MostDuties = 32
	MostHosts  = 512
	MostOrders = 64      // that are kept, ended ones included
	MostNote   = 8 << 10 // bytes of a duty's note
	MostFact   = 8 << 10 // bytes of a host's facts
	MostName   = 64      // bytes of a name
)

// Epoch numbers the owners of a duty. Its upper half is the epoch space, which a
// council that was brought back from a snapshot raises: all that was given out
// before is older. 0 is no epoch.
type Epoch uint64

// TokenSpace returns the epoch space.
func (e Epoch) Space() uint32 { return uint32(e >> 32) }

func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Space(), uint32(e)) }

// Duty is work that has one owner at a time.
type Duty struct {
	Name  string `json:"name"`
	Owner string `json:"owner,omitempty"` // empty: nobody's
	Epoch Epoch  `json:"epoch"`           // of the owner, or of the last one
	Since uint64 `json:"since"`           // count at which it began
	// Note is what the last owner said stands: the next begins there.
	Note      json.RawMessage `json:"note,omitempty"`
	NoteEpoch Epoch           `json:"note_epoch,omitempty"`
	// Changes are the counts of the latest changes of owner, against a duty that
	// flaps.
	Changes []uint64 `json:"changes,omitempty"`
}

// Order is what an operator wants done by a duty's owner.
type Order struct {
	ID    string          `json:"id"`
	Duty  string          `json:"duty"`
	Words json.RawMessage `json:"words"`
	Since uint64          `json:"since"`
	End   string          `json:"end,omitempty"` // how it ended; empty while it has not
}

// State is what the council has agreed on.
type State struct {
	Version int    `json:"version"`
	Council string `json:"council"` // its name and number
	// Count is the council's own time in ticks of its leaders: it never goes back and
	// stands still while there is no leader.
	Count  uint64                     `json:"count"`
	Space  uint32                     `json:"space"`
	Duties map[string]*Duty           `json:"duties"`
	Orders []*Order                   `json:"orders"`
	Facts  map[string]json.RawMessage `json:"facts"` // by host
	Able   map[uint64]int             `json:"able"`  // version that each member can apply
	// Members are the addresses of all, by number. A number is given once.
	Members map[uint64]string `json:"members"`
	// Configuration is there from the first change on (version 2).
	Configuration *configuration.Store `json:"configuration,omitempty"`
}

// NewState returns the state that a council begins with.
func NewState(name string) *State {
	return &State{Version: 1, Council: name, Space: 1, Duties: map[string]*Duty{}, Facts: map[string]json.RawMessage{}, Able: map[uint64]int{}, Members: map[uint64]string{}}
}

// Command is one agreed step. Count is the leader's count at the proposal.
type Command struct {
	Version int             `json:"v"`
	Kind    string          `json:"kind"`
	Count   uint64          `json:"count"`
	Who     string          `json:"who,omitempty"`
	Duty    string          `json:"duty,omitempty"`
	Epoch   Epoch           `json:"epoch,omitempty"`
	ID      string          `json:"id,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Member  uint64          `json:"member,omitempty"`
	// Ticket finds the one who waits for the result, on the leader that proposed.
	// The term is part of it: a member counts its tickets anew after a restart, and an
	// entry of before must not answer a question of after.
	Ticket uint64 `json:"ticket,omitempty"`
	Term   uint64 `json:"term,omitempty"`
}

// The kinds of command.
const (
	Take   = "take"   // Who wants Duty; Epoch is that of the tenure that it saw ended
	Expire = "expire" // the leader's: the lease of Epoch has run out
	Give   = "give"   // Who gives Duty back, with a note
	Note   = "note"   // Who says what stands
	Raise  = "raise"  // a receiver has heard of Epoch: the next is newer
	Begin  = "order"  // an operator's order ID for Duty
	End    = "end"    // the owner says how order ID ended
	Facts  = "facts"  // what there is on host Who; no Data: it is gone
	Can    = "can"    // Member can apply commands up to the version in Epoch
	Move   = "space"  // by hand: a new epoch space
	// Configure changes a service's settings; Data is a configuration.Change. Made by
	// NewConfigure.
	Configure = "configure"
)

// Limits of a duty that flaps: so many changes of owner within a time, in ticks.
type Limits struct {
	Changes int
	Within  uint64
}

// Flaps are the limits that all members share: they are part of the agreement, so
// they are no setting.
var Flaps = Limits{Changes: 10, Within: 600}

// Result is what a command came to. Refused is empty where it took effect.
type Result struct {
	Refused string `json:"refused,omitempty"`
	Duty    *Duty  `json:"duty,omitempty"`
	// Version is what a change of the configuration has got; Conflict tells that it was
	// refused for the version that it was made for.
	Version  configuration.Version `json:"version,omitempty"`
	Conflict bool                  `json:"conflict,omitempty"`
}

func refuse(format string, args ...any) Result { return Result{Refused: fmt.Sprintf(format, args...)} }

// Needs tells whether all of the members can apply a version.
func (s *State) Needs(version int, members []uint64) bool {
	for _, m := range members {
		if max(1, s.Able[m]) < version {
			return false
		}
	}
	return true
}

// Apply carries out one agreed command. It is a pure function of state and
// command: all members come to the same.
func (s *State) Apply(c Command) Result {
	s.Count = max(s.Count, c.Count)
	if c.Version > StateVersion {
		// Not proposed before all can apply it; a member that is put back to an older
		// program after that must not go on with a state that differs.
		return refuse("a command of version %d, wanted %d at most", c.Version, StateVersion)
	}
	switch c.Kind {
	case Take, Expire, Give, Note, Raise:
		return s.applyDuty(c)
	case Begin, End:
		return s.applyOrder(c)
	case Facts:
		return s.applyFacts(c)
	case Can:
		s.Able[c.Member] = int(c.Epoch)
		return Result{}
	case Move:
		s.Space = max(s.Space+1, uint32(c.Epoch))
		for _, d := range s.Duties {
			d.Owner = ""
		}
		s.store().StartTokenSpace(s.Space)
		return Result{}
	case Configure:
		return s.applyConfigure(c)
	}
	return refuse("kind: found %q, wanted one that is known", c.Kind)
}

func goodName(name string) bool { return name != "" && len(name) <= MostName }

func (s *State) applyDuty(c Command) Result {
	if !goodName(c.Duty) {
		return refuse("duty: found %q, wanted 1 to %d bytes", c.Duty, MostName)
	}
	d := s.Duties[c.Duty]
	if d == nil {
		if len(s.Duties) >= MostDuties {
			return refuse("duty %s: found %d duties, wanted %d at most", c.Duty, len(s.Duties), MostDuties)
		}
		d = &Duty{Name: c.Duty}
		s.Duties[c.Duty] = d
	}
	switch c.Kind {
	case Take:
		return s.take(d, c)
	case Raise:
		if c.Epoch > d.Epoch {
			// Somebody has heard of an epoch that this council has not given out: its state
			// is older than the world. No owner of it may go on under an older number.
			d.Epoch, d.Owner = c.Epoch, ""
			s.raiseSpace(c.Epoch.Space())
		}
		return Result{Duty: d.Copy()}
	}
	if d.Owner == "" || c.Epoch != d.Epoch || c.Kind != Expire && c.Who != d.Owner {
		return Result{Refused: fmt.Sprintf("%s of %s: found epoch %v of %q, wanted %v of %q", c.Kind, d.Name, c.Epoch, c.Who, d.Epoch, d.Owner), Duty: d.Copy()}
	}
	if len(c.Data) > MostNote {
		return refuse("note of %s: found %d bytes, wanted %d at most", d.Name, len(c.Data), MostNote)
	}
	if c.Data != nil {
		d.Note, d.NoteEpoch = c.Data, c.Epoch
	}
	if c.Kind != Note {
		d.Owner = ""
	}
	return Result{Duty: d.Copy()}
}

// take gives a duty that is nobody's to who asks.
func (s *State) take(d *Duty, c Command) Result {
	if !goodName(c.Who) {
		return refuse("owner: found %q, wanted 1 to %d bytes", c.Who, MostName)
	}
	if d.Owner != "" {
		return Result{Refused: fmt.Sprintf("%s is %s's", d.Name, d.Owner), Duty: d.Copy()}
	}
	d.Changes = slices.DeleteFunc(d.Changes, func(at uint64) bool { return at+Flaps.Within <= s.Count })
	if len(d.Changes) >= Flaps.Changes {
		return Result{Refused: fmt.Sprintf("%s: found %d changes of owner within %d ticks, wanted fewer: it waits", d.Name, len(d.Changes), Flaps.Within), Duty: d.Copy()}
	}
	d.Changes = append(d.Changes, s.Count)
	d.Owner, d.Since = c.Who, s.Count
	d.Epoch = max(d.Epoch+1, Epoch(s.Space)<<32+1)
	return Result{Duty: d.Copy()}
}

func (s *State) applyOrder(c Command) Result {
	if !goodName(c.ID) || !goodName(c.Duty) || len(c.Data) > MostNote {
		return refuse("order: found id %q, duty %q and %d bytes, wanted names and %d bytes at most", c.ID, c.Duty, len(c.Data), MostNote)
	}
	at := slices.IndexFunc(s.Orders, func(o *Order) bool { return o.ID == c.ID })
	if c.Kind == End {
		d := s.Duties[c.Duty]
		switch {
		case at < 0:
			return refuse("order %s: found none, wanted one that was given", c.ID)
		case d == nil || d.Owner != c.Who || d.Epoch != c.Epoch:
			return refuse("end of order %s: found epoch %v of %q, which has not %s", c.ID, c.Epoch, c.Who, c.Duty)
		case s.Orders[at].End == "":
			json.Unmarshal(c.Data, &s.Orders[at].End)
			if s.Orders[at].End == "" {
				s.Orders[at].End = "done"
			}
		}
		return Result{}
	}
	if at >= 0 {
		return Result{} // asked again: it was taken
	}
	for _, o := range s.Orders {
		if o.Duty == c.Duty && o.End == "" {
			return refuse("order %s: found order %s of %s under way, wanted its end first", c.ID, o.ID, c.Duty)
		}
	}
	s.Orders = append(s.Orders, &Order{ID: c.ID, Duty: c.Duty, Words: c.Data, Since: s.Count})
	if n := len(s.Orders) - MostOrders; n > 0 {
		s.Orders = slices.Delete(s.Orders, 0, n) // ended: only the last of a duty is not
	}
	return Result{}
}

func (s *State) applyFacts(c Command) Result {
	switch {
	case !goodName(c.Who) || len(c.Data) > MostFact:
		return refuse("facts: found host %q and %d bytes, wanted a name and %d bytes at most", c.Who, len(c.Data), MostFact)
	case c.Data == nil:
		delete(s.Facts, c.Who)
	case s.Facts[c.Who] == nil && len(s.Facts) >= MostHosts:
		return refuse("facts of %s: found %d hosts, wanted %d at most", c.Who, len(s.Facts), MostHosts)
	default:
		s.Facts[c.Who] = c.Data
	}
	return Result{}
}

// Clone returns a duty of its own.
func (d *Duty) Copy() *Duty {
	c := *d
	c.Changes = slices.Clone(d.Changes)
	return &c
}

// WithoutConfiguration returns a copy that shares nothing with the state and lacks
// the configuration: that is large, and has questions of its own.
func (s *State) WithoutConfiguration() *State {
	c := *s
	c.Configuration = nil
	c.Duties = map[string]*Duty{}
	for name, d := range s.Duties {
		c.Duties[name] = d.Copy()
	}
	c.Orders = nil
	for _, o := range s.Orders {
		p := *o
		c.Orders = append(c.Orders, &p)
	}
	c.Facts, c.Able, c.Members = maps.Clone(s.Facts), maps.Clone(s.Able), maps.Clone(s.Members)
	return &c
}

// Open returns the order of a duty that has not ended; nil if there is none.
func (s *State) Open(duty string) *Order {
	for _, o := range s.Orders {
		if o.Duty == duty && o.End == "" {
			return o
		}
	}
	return nil
}
