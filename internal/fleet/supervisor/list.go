package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/internal/fleet/council/ask"
	"otterspring/internal/fleet/duty/list"
	"otterspring/internal/inject"
	"otterspring/internal/logs"
)

// What a supervisor does with discovery's list: one of a zone asks for all
// neighbours, the others hear from it, and each has a door for its sidecars at which
// it is as if they asked discovery. What is decided, package list decides.

const (
	// listWatch is how long an asking host's watch waits. It is short, since what a
	// watch that has fallen silent misses counts as told 6 s later; few hosts ask.
	listWatch  = 2 * time.Second
	listFirst  = time.Millisecond
	listWithin = time.Second // and how much longer than that an answer may take
	wholeList  = 4 * time.Second
	mostList   = 1 << 20
	listWord   = 500 * time.Millisecond // the owner tells each host at least so often
	listWords  = 32                     // at a time
	listLooks  = 20 * time.Millisecond
	// ownFails is for how long an owner's calls may fail until it gives the duty to
	// somebody whose calls may not, and ownRests how long it does not ask for it then.
	ownFails = 3 * time.Second
	ownRests = 10 * time.Second
	doorWait = 10 * time.Second // of a sidecar's watch
	doorLook = 200 * time.Millisecond
	mostDoor = 2 * MostInstances // connections of sidecars
)

// ListSource is the header of a door's answers that names the discovery whose
// versions they bear.
const ListSource = "X-List-Source"

// handed is an update as an owner posts it.
type handed struct {
	Source string          `json:"source"`
	From   int64           `json:"from"`
	Text   json.RawMessage `json:"text"`
	Fresh  bool            `json:"fresh"` // the owner was told of late
}

// neighbours is a host's part of the duty list.
type neighbours struct {
	s    *Supervisor
	duty string
	set  ListFile

	owning atomic.Bool

	mu      sync.Mutex
	held    *list.Held
	follow  *list.Follow
	news    chan struct{} // closed and made anew with each newer list
	failing time.Duration // since when own calls fail; 0 for not
	rests   time.Duration // until when the duty is not asked for
}

// joinList begins a host's part.
func (s *Supervisor) joinList(ctx context.Context) error {
	f := s.file.List
	if f.Discovery == "" {
		return nil
	}
	ln, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("list.listen: %w", err)
	}
	set := list.Settings{Silent: f.Silent, Spread: f.Spread, Stale: f.Stale}
	n := &neighbours{s: s, duty: "list:" + s.file.Council.Zone, set: f, held: list.NewHeld(f.Source), news: make(chan struct{})}
	n.follow = list.NewFollow(set, s.file.Council.Host, bootTime())
	s.near = n
	server := &http.Server{Handler: http.HandlerFunc(n.door), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 4 << 10}
	s.wg.Go(func() { server.Serve(ask.Bounded(ln, mostDoor)) })
	s.wg.Go(func() { <-ctx.Done(); server.Close() })
	s.wg.Go(func() { n.ask(ctx) })
	return nil
}

// ask asks discovery while this host is to.
func (n *neighbours) ask(ctx context.Context) {
	// The first call does not wait: what it tells is that nothing is new, and until that
	// is known a host that begins to ask has nobody's word to go by.
	tries, wait := 0, listFirst
	for ctx.Err() == nil {
		n.mu.Lock()
		asks, since, alone := n.follow.Asks(bootTime()), n.held.Index, n.follow.Alone()
		n.mu.Unlock()
		if !asks {
			tries, wait = 0, listFirst
			pause(ctx, listLooks)
			continue
		}
		if alone {
			n.s.log.Info("list: no owner is heard of, asking discovery for this host", logs.Cause("list alone"))
		}
		err := n.call(ctx, since, wait)
		now := bootTime()
		n.mu.Lock()
		if err == nil {
			n.follow.Told(now)
			n.failing = 0
		} else if n.failing == 0 {
			n.failing = now
		}
		n.mu.Unlock()
		if err == nil {
			tries, wait = 0, listWatch
			continue
		}
		n.s.log.Warn(fmt.Sprintf("list: discovery at %s: %v", n.set.Discovery, err), logs.Cause("discovery"))
		tries = min(tries+1, 4)
		mean := 100 * time.Millisecond << tries
		pause(ctx, mean/2+time.Duration(rand.Int64N(int64(mean))))
	}
}

var listClient = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}

// call asks discovery once, for what is newer than since, waiting for it, or for the
// whole list, and takes what it tells.
func (n *neighbours) call(ctx context.Context, since int64, wait time.Duration) error {
	url, within := "http://"+n.set.Discovery+"/discovery/hosts", wholeList
	if since > 0 {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds())
		within = wait + listWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := inject.Way(ctx, n.set.Discovery); err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return err
	}
	r, err := listClient.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, mostList+1))
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK || len(text) > mostList {
		return fmt.Errorf("found status %d and %d bytes, wanted 200 and %d at most", r.StatusCode, len(text), mostList)
	}
	u, err := list.Decode(text, n.set.Source, since)
	if err != nil {
		return err
	}
	if u.Index < since {
		return fmt.Errorf("found version %d after version %d: it counts anew, and this is not handed on", u.Index, since)
	}
	return n.take(u, "discovery")
}

// take takes an update, and wakes who waits for a newer one.
func (n *neighbours) take(u list.Update, of string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	newer, err := n.held.Take(u)
	if newer {
		close(n.news)
		n.news = make(chan struct{})
		n.s.log.Debug(fmt.Sprintf("list: version %d of %s", n.held.Index, of), logs.Cause("list"))
	}
	return err
}

// taken is what an owner's word came to, which the fence has let through: the
// version that is held now. Run's goroutine.
func (n *neighbours) taken(e effect) (int64, error) {
	if n == nil || e.List == nil || e.Duty != n.duty {
		return 0, errors.New("found a list, wanted none here")
	}
	u, err := list.Decode(e.List.Text, e.List.Source, e.List.From)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	before := n.held.Index
	n.mu.Unlock()
	if err = n.take(u, e.Owner); err != nil && !errors.Is(err, list.ErrGap) {
		return 0, err // another discovery's: this host goes on by itself
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.List.Fresh && err == nil {
		n.follow.Heard(bootTime())
	}
	if n.held.Index != before {
		n.s.say("takes list %d of %s, epoch %v", n.held.Index, e.Owner, e.Epoch)
		inject.At("list-taken")
	}
	return n.held.Index, nil
}

// vacant is called where nobody owns the duty.
func (n *neighbours) vacant(ctx context.Context, me string) {
	n.mu.Lock()
	rests := bootTime() < n.rests
	n.mu.Unlock()
	if rests || !n.owning.CompareAndSwap(false, true) {
		return
	}
	n.s.wg.Go(func() {
		defer n.owning.Store(false)
		if r := n.s.reign(ctx, n.duty, me); r != nil {
			r.during(ctx, func(ctx context.Context) string { return n.tell(ctx, r) })
		}
	})
}

// tell asks discovery for the zone and tells all its hosts, until the tenure ends.
func (n *neighbours) tell(ctx context.Context, r *reign) string {
	n.own(true)
	defer n.own(false)
	var addresses sync.Map // by host
	hosts := make(chan []string, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	// It may end before the tenure does: who asks for the hosts ends with it.
	ctx, end := context.WithCancel(ctx)
	defer end()
	wg.Go(func() { n.who(ctx, &addresses, hosts) })
	tell := list.NewTelling(listWord, listWords)
	type done struct {
		host  string
		index int64
	}
	dones := make(chan done, listWords)
	for {
		n.mu.Lock()
		news, index, failing := n.news, n.held.Index, n.failing
		n.mu.Unlock()
		now := bootTime()
		switch {
		case ctx.Err() != nil || !r.held():
			return "the tenure is over"
		case failing > 0 && now > failing+ownFails:
			n.mu.Lock()
			n.rests = now + ownRests
			n.mu.Unlock()
			return "discovery does not answer here"
		}
		if index > 0 {
			for host, since := range tell.Next(now, index) {
				address, _ := addresses.Load(host)
				wg.Go(func() { dones <- done{host, n.post(r, address.(string), since)} })
			}
		}
		select {
		case d := <-dones:
			tell.Done(d.host, d.index, bootTime())
		case names := <-hosts:
			tell.Hosts(names)
		case <-news:
		case <-time.After(listLooks):
		case <-ctx.Done():
		}
	}
}

// post tells one host what it lacks; it returns the version that the host holds
// then, -1 where that is not known.
func (n *neighbours) post(r *reign, address string, since int64) int64 {
	n.mu.Lock()
	u := n.held.Since(min(since, n.held.Index)) // a host may hold a newer one: a word without news
	h := &handed{Source: u.Source, From: u.From, Text: u.Text(), Fresh: n.follow.Fresh(bootTime())}
	n.mu.Unlock()
	inject.At("list-tells") // a stop here is longer than any lease: fence and version are there for it
	t, err := r.effect(address, effect{Do: "list", List: h})
	switch {
	case err != nil:
		n.s.log.Debug(fmt.Sprintf("list: %s: %v", address, err), logs.Cause("list"+address))
		return -1
	case t.Refused != "":
		n.s.log.Warn(fmt.Sprintf("list: %s: refused: %s", address, t.Refused), logs.Cause("refused"+address))
		return -1
	}
	return t.Index
}

// who asks the council which hosts the zone has, as long as the tenure lasts.
func (n *neighbours) who(ctx context.Context, addresses *sync.Map, hosts chan<- []string) {
	for ctx.Err() == nil {
		a, err := n.s.asks(ctx, ask.Question{Kind: ask.State}, effectFor)
		if err == nil && a.State != nil {
			var names []string
			for name, text := range a.State.Facts {
				var f fact
				if json.Unmarshal(text, &f) == nil && "list:"+f.Zone == n.duty && f.Address != "" {
					names = append(names, name)
					addresses.Store(name, f.Address)
				}
			}
			select {
			case hosts <- names:
			case <-ctx.Done():
			}
		}
		pause(ctx, time.Second)
	}
}

func (n *neighbours) own(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.follow.Own(on, bootTime())
}

// door answers this host's sidecars as discovery would. Where nobody should go by
// what is held it says so at once, and they ask by themselves.
func (n *neighbours) door(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(min(doorWait, max(0, time.Duration(wait)*time.Millisecond)))
	for over := since <= 0; ; {
		n.mu.Lock()
		fresh, index, news, knows := n.follow.Fresh(bootTime()), n.held.Index, n.news, n.follow.Knows()
		var u list.Update
		if fresh && (index > since || over && index == since) {
			u = n.held.Since(max(0, since))
		}
		n.mu.Unlock()
		switch {
		case !knows && !over:
			// This host has just started: what it is about to be told is worth the wait.
		case !fresh || index == 0:
			http.Error(w, "found no word of owner or discovery of late", http.StatusServiceUnavailable)
			return
		case u.Source != "":
			text := u.Text()
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.Header().Set(ListSource, u.Source)
			w.Write(text)
			return
		case over:
			http.Error(w, fmt.Sprintf("found version %d held, wanted %d", index, since), http.StatusServiceUnavailable)
			return
		}
		select {
		case <-news:
		case <-end:
			over = true
		case <-time.After(doorLook):
		case <-r.Context().Done():
			return
		}
	}
}

// ListFile is what a fleet file says of the list.
type ListFile struct {
	// Discovery is asked for the whole zone; Listen is this host's door for its
	// sidecars. Empty: off.
	Discovery string `toml:"discovery"`
	Listen    string `toml:"listen"`
	// Source names the discovery whose versions these are, the same for all hosts and
	// sidecars: versions of two can't be compared.
	Source string `toml:"source"`
	// Silent is after how long without a word of the zone's owner this host asks by
	// itself, at a moment of its own within Spread more; Stale is after how long
	// without any word its sidecars are sent to discovery themselves.
	Silent time.Duration `toml:"silent" min:"1s" max:"1m"`
	Spread time.Duration `toml:"spread" min:"0s" max:"5m"`
	Stale  time.Duration `toml:"stale" min:"2s" max:"5m"`
}
