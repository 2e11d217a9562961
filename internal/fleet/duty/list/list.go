// Package list decides what a host does with discovery's list where one process a
// zone asks for all its neighbours: what is newer, what a watch is told, when a
// host asks by itself, and whom the owner of the duty has to tell. It does no I/O
// and reads no clock.
//
// The versions of a list are discovery's own. A list that was handed on is as if
// discovery had told it, and whoever holds one takes only what is newer: an owner
// that wakes up late can't take a drain back, bring a dead server back, or make a
// cold one warm, whether or not a fence stands in its way.
package list

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds. What goes beyond is refused.
const (
	MostEntries = 4096
	MostLeft    = 512 // servers that are gone and that a change may still have to name
)

// Entry is one server as discovery wrote it.
type Entry struct {
	Name   string
	Status string // active, leaving or left
	Text   json.RawMessage
	at     int64 // version of its latest change
}

// Update is a list, or what changed of one, as it goes from one process to the
// next.
type Update struct {
	Source  string  // name of the discovery that its versions are of
	From    int64   // the version that it changes; 0 for a whole list
	Index   int64   // its version
	Entries []Entry // a whole list names none that is gone
}

// wire is discovery's form.
type wire struct {
	Index     int64             `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"`
}

var statuses = []string{"active", "leaving", "left"}

// Decode reads discovery's answer to a call that had since, or to one for the whole
// list, strictly: what is not understood is no list.
func Decode(text []byte, source string, since int64) (Update, error) {
	var w struct {
		Index     *int64            `json:"index"`
		Snapshot  *bool             `json:"snapshot"`
		Endpoints []json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return Update{}, fmt.Errorf("list: %w", err)
	}
	if w.Index == nil || *w.Index < 0 || w.Snapshot == nil || w.Endpoints == nil || len(w.Endpoints) > MostEntries {
		return Update{}, fmt.Errorf("list: found %.60q, wanted index, snapshot and up to %d endpoints", text, MostEntries)
	}
	u := Update{Source: source, From: since, Index: *w.Index}
	if *w.Snapshot {
		u.From = 0
	} else if since == 0 {
		return Update{}, errors.New("list: found changes, wanted the whole list")
	}
	for i, t := range w.Endpoints {
		var e struct{ Name, Status string }
		if err := json.Unmarshal(t, &e); err != nil || e.Name == "" || !slices.Contains(statuses, e.Status) {
			return Update{}, fmt.Errorf("list: endpoint %d: found %.60q, wanted a name and a status", i, t)
		}
		u.Entries = append(u.Entries, Entry{Name: e.Name, Status: e.Status, Text: t})
	}
	return u, nil
}

// Text is an update in discovery's form.
func (u *Update) Text() []byte {
	w := wire{Index: u.Index, Snapshot: u.From == 0, Endpoints: make([]json.RawMessage, 0, len(u.Entries))}
	for _, e := range u.Entries {
		w.Endpoints = append(w.Endpoints, e.Text)
	}
	text, err := json.Marshal(w)
	if err != nil {
		return nil // entries are what was read as JSON
	}
	return text
}

// Held is the list as one process holds it.
type Held struct {
	Source string
	Index  int64 // 0: none yet
	// floor is the least version whose changes since are known one by one.
	floor   int64
	entries map[string]*Entry
	order   []string
	left    int
	Older   int // updates that were no newer, and changed nothing
}

// NewHeld returns one that holds nothing yet of the discovery of that name.
func NewHeld(source string) *Held {
	return &Held{Source: source, entries: map[string]*Entry{}}
}

// ErrGap is an update that begins behind what is held: a whole list is wanted.
var ErrGap = errors.New("list: found changes that begin behind what is held, wanted the whole list")

// Take takes an update where it is newer, and tells whether it was.
func (h *Held) Take(u Update) (bool, error) {
	switch {
	case u.Source != h.Source:
		return false, fmt.Errorf("list: found one of %s, wanted %s's: versions of two can't be compared", u.Source, h.Source)
	case len(u.Entries) > MostEntries:
		return false, fmt.Errorf("list: found %d servers, wanted %d at most", len(u.Entries), MostEntries)
	case u.Index <= h.Index && h.Index > 0:
		h.Older++
		return false, nil
	case u.From > h.Index || u.From > 0 && h.Index == 0:
		return false, ErrGap
	}
	named := map[string]bool{}
	for _, e := range u.Entries {
		named[e.Name] = true
		h.put(e, u.Index)
	}
	if u.From == 0 {
		for _, name := range h.order {
			if e := h.entries[name]; !named[name] && e.Status != "left" {
				h.put(Entry{Name: name, Status: "left", Text: gone(e.Text)}, u.Index)
			}
		}
		// What came and went since the version before is not in a whole list: who holds
		// one from between must get the whole list, too, or would keep what has left.
		h.floor = u.Index
	}
	h.Index = u.Index
	h.trim()
	return true, nil
}

// gone is the text of a server that a whole list leaves out.
func gone(text json.RawMessage) json.RawMessage {
	var all map[string]json.RawMessage
	if json.Unmarshal(text, &all) != nil {
		return text
	}
	all["status"] = json.RawMessage(`"left"`)
	out, err := json.Marshal(all)
	if err != nil {
		return text
	}
	return out
}

func (h *Held) put(e Entry, at int64) {
	old := h.entries[e.Name]
	if old == nil {
		h.order = append(h.order, e.Name)
	} else if old.Status == e.Status && bytes.Equal(old.Text, e.Text) {
		return
	} else if old.Status == "left" {
		h.left--
	}
	if e.Status == "left" {
		h.left++
	}
	e.at = at
	h.entries[e.Name] = &e
}

// trim forgets the servers that have been gone longest, and with them the changes
// up to then one by one.
func (h *Held) trim() {
	for h.left > MostLeft {
		var first *Entry
		for _, name := range h.order {
			if e := h.entries[name]; e.Status == "left" && (first == nil || e.at < first.at) {
				first = e
			}
		}
		h.floor = max(h.floor, first.at)
		delete(h.entries, first.Name)
		h.order = slices.DeleteFunc(h.order, func(n string) bool { return n == first.Name })
		h.left--
	}
}

// Since is what to tell who has the version since: what changed, or the whole list
// where since is 0 or the changes since are not known.
func (h *Held) Since(since int64) Update {
	u := Update{Source: h.Source, From: since, Index: h.Index}
	if since < h.floor || since > h.Index {
		u.From = 0
	}
	for _, name := range h.order {
		e := h.entries[name]
		if u.From == 0 && e.Status != "left" || u.From > 0 && e.at > u.From {
			u.Entries = append(u.Entries, *e)
		}
	}
	return u
}

// Settings are how long a host goes by what it heard last.
type Settings struct {
	// Silent is after how long without a word of the owner a host asks by itself,
	// spread over Spread more by its name.
	Silent, Spread time.Duration
	// Stale is after how long without a word of the owner or of discovery nobody
	// should go by what this host holds.
	Stale time.Duration
}

// Follow decides whether a host asks discovery by itself.
type Follow struct {
	set    Settings
	offset time.Duration
	heard  time.Duration // of the owner
	told   time.Duration // by discovery
	known  bool          // told or heard at all
	alone  bool
	own    bool
}

// NewFollow returns the decisions of a host, which has heard nobody yet.
func NewFollow(set Settings, host string, now time.Duration) *Follow {
	f := &Follow{set: set, heard: now, told: now - set.Stale}
	if set.Spread > 0 {
		f.offset = time.Duration(xxhash.Sum64String(host) % uint64(set.Spread))
	}
	return f
}

// Heard takes a word of the owner that was not refused, and that says that what it
// knows is of late.
func (f *Follow) Heard(now time.Duration) { f.heard, f.alone, f.known = now, false, true }

// Told takes an answer of discovery.
func (f *Follow) Told(now time.Duration) { f.told, f.known = now, true }

// Own says whether this host has the duty. One that had it counts as having heard
// of its owner until then; one that gets it goes by that owner's last word at first.
func (f *Follow) Own(on bool, now time.Duration) {
	if f.own && !on {
		f.heard = now
	}
	if !f.own && on && f.known {
		f.told = max(f.told, f.heard) // what the owner before knew stands until it is old
	}
	f.own = on
}

// Knows tells whether it has heard anybody yet.
func (f *Follow) Knows() bool { return f.known }

// Asks tells whether this host asks discovery now: it owns the duty, the owner was
// silent for too long, or it has just started and knows nothing: its sidecars would
// ask in its place, one by one.
func (f *Follow) Asks(now time.Duration) bool {
	if now > f.heard+f.set.Silent+f.offset {
		f.alone = true
	}
	return f.own || f.alone || !f.known
}

// Alone tells whether it asks though another has the duty, or nobody.
func (f *Follow) Alone() bool { return f.alone && !f.own }

// Fresh tells whether others may go by what this host holds.
func (f *Follow) Fresh(now time.Duration) bool {
	last := f.told
	if !f.own {
		last = max(f.told, f.heard)
	}
	return f.known && now <= last+f.set.Stale
}

// Receiver is a host that the owner tells.
type Receiver struct {
	index int64 // that it said it holds; -1 for not known
	last  time.Duration
	out   bool
}

// Telling decides whom an owner has to tell what.
type Telling struct {
	Every time.Duration // a word at least, also where nothing is new
	Most  int           // words under way at a time
	by    map[string]*Receiver
	out   int
}

// NewTelling returns one that has told nobody yet.
func NewTelling(every time.Duration, most int) *Telling {
	return &Telling{Every: every, Most: most, by: map[string]*Receiver{}}
}

// Hosts says who there is. What is known of the others is forgotten.
func (t *Telling) Hosts(names []string) {
	for name, r := range t.by {
		if !slices.Contains(names, name) && !r.out {
			delete(t.by, name)
		}
	}
	for _, name := range names {
		if t.by[name] == nil {
			t.by[name] = &Receiver{index: -1, last: -time.Hour}
		}
	}
}

// Next names the hosts to tell now, of a list at index, and for each the version
// that it holds (0 for the whole list). They count as under way until Done.
func (t *Telling) Next(now time.Duration, index int64) map[string]int64 {
	due := map[string]int64{}
	names := make([]string, 0, len(t.by))
	for name := range t.by {
		names = append(names, name)
	}
	// Whoever was told longest ago first: with more hosts than words at a time all
	// have their turn.
	slices.SortFunc(names, func(a, b string) int { return int(t.by[a].last - t.by[b].last) })
	for _, name := range names {
		r := t.by[name]
		if r.out || t.out >= t.Most || r.index >= index && now < r.last+t.Every {
			continue
		}
		r.out = true
		t.out++
		due[name] = max(0, r.index)
	}
	return due
}

// Done takes the answer of a host: the version that it holds now, -1 where it is
// not known.
func (t *Telling) Done(host string, index int64, now time.Duration) {
	r := t.by[host]
	if r == nil || !r.out {
		return
	}
	r.out, r.index, r.last = false, index, now
	t.out--
}
