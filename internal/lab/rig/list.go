package rig

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/lab/audit"
	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/history"
)

// listed is what is seen of the duty list: one supervisor a zone asks discovery,
// the others hand on what it is told.
type listed struct {
	owner  string            // role of the one that owns it last, in any zone
	epochs map[string]uint64 // newest that each supervisor owns or has heard of
	res    experiment.Listed
	calls  int        // of sidecars at discovery before the first fault; -1 for not counted yet
	told   chan int64 // versions that a zone was told, for the watch over sidecars
	quiet  time.Duration
}

// quietAfter is how long after a fault on the list's way a change counts as told to
// all at once again. Until then it counts as told 6 s after it was made, as anything
// that discovery has to tell.
const quietAfter = 8 * time.Second

// newList opens discovery's doors for the supervisors, and takes addresses for
// theirs.
func (h *hosts) newList(take func(string) error) error {
	l := &listed{epochs: map[string]uint64{}, told: make(chan int64, 64), calls: -1}
	h.owned.list = l
	for n := range h.plan.Storm.World.Hosts {
		role := fmt.Sprintf("f%d", n+1)
		if err := take("door" + role); err != nil {
			return err
		}
		reg := h.w.Registry
		if h.w.lag != nil && n%2 == 1 {
			reg = h.w.lag
		}
		door, err := reg.Open(role)
		if err != nil {
			return err
		}
		zone := h.zone(n)
		door.Along(func() []string {
			select {
			case l.told <- reg.Index():
			default:
			}
			return h.along(zone)
		})
		h.owned.address["d1"+role] = door.Addr()
	}
	return nil
}

func (h *hosts) zone(host int) string { return fmt.Sprintf("z%d", host%h.plan.Storm.World.Zones) }

func (h *hosts) zoneOf(one *host) string {
	n, _ := strconv.Atoi(one.role[1:])
	return h.zone(n - 1)
}

func (h *hosts) listDuty(role string) string { return "list:" + h.zoneOf(h.host(role)) }

// dutyOf is the duty of an effect that was refused at a role.
func (h *hosts) dutyOf(role, op string) string {
	if op == "list" {
		return h.listDuty(role)
	}
	return "roll-of-all"
}

// listOf is what a host's fleet file says of the list, nearOf what its sidecars'
// operator's files do.
func (h *hosts) listOf(one *host) string {
	if h.owned.list == nil {
		return ""
	}
	return fmt.Sprintf("[list]\ndiscovery = %q\nlisten = %q\n", h.owned.address["d1"+one.role], h.owned.address["door"+one.role])
}

func (h *hosts) nearOf(one *host) string {
	if h.owned == nil || h.owned.list == nil {
		return ""
	}
	return fmt.Sprintf("[list]\nnear = %q\n", h.owned.address["door"+one.role])
}

func (l *listed) heard(role string, epoch uint64) {
	if l != nil {
		l.epochs[role] = max(l.epochs[role], epoch)
	}
}

func (l *listed) owns(role string, epoch uint64) {
	if l != nil {
		l.owner = role
		l.res.Handovers++
		l.heard(role, epoch)
	}
}

// lags tells whether an instance may be told by the discovery that lags: each second
// one by itself, and where lists are handed on any.
func (h *hosts) lags(instance int) bool {
	return instance%2 == 1 || h.owned != nil && h.owned.list != nil
}

// unquiet notes a fault on the list's way: from then on until some time after it a
// change does not count as told to all of a zone at once.
func (h *hosts) unquiet(proc string, f *experiment.Fault) {
	if h.owned == nil || h.owned.list == nil || proc != "" && strings.IndexByte("fhm", proc[0]) < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owned.list.calls < 0 {
		h.owned.list.calls = h.selfCalls()
	}
	h.owned.list.quiet = max(h.owned.list.quiet, h.w.Log.Now()+f.For.On(h.plan.Storm.For)+quietAfter)
}

// selfCalls is how often sidecars have called discovery themselves.
func (h *hosts) selfCalls() (n int) {
	for _, in := range h.w.Instances {
		in.mu.Lock()
		n += in.door.Calls()
		in.mu.Unlock()
	}
	return n
}

// along are the instances of a zone that count as told with one of its supervisors.
func (h *hosts) along(zone string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.w.Log.Now() < h.owned.list.quiet {
		return nil
	}
	var all []string
	for _, one := range h.all {
		if h.zoneOf(one) != zone {
			continue
		}
		for _, in := range one.mine {
			all = append(all, in.Name)
		}
	}
	return all
}

const (
	listLook  = 250 * time.Millisecond
	listBurst = 2 * time.Second
	mostKnown = 100_000
)

// watchLists looks which version of the list each instance holds: now and then, and
// without a pause while a change is on its way, to tell how long that takes.
func (h *hosts) watchLists() {
	tick := time.NewTicker(listLook)
	defer tick.Stop()
	for {
		select {
		case <-h.end:
			return
		case <-tick.C:
			h.seeLists()
		case index := <-h.owned.list.told:
			h.follow(index)
		}
	}
}

// follow looks until all instances hold a version, or for a while.
func (h *hosts) follow(index int64) {
	began := h.w.Log.Now()
	known := map[string]bool{}
	for h.w.Log.Now() < began+listBurst {
		select {
		case <-h.end:
			return
		default:
		}
		time.Sleep(2 * time.Millisecond)
		for name, at := range h.seeLists() {
			if at < index || known[name] {
				continue
			}
			known[name] = true
			h.mu.Lock()
			if l := &h.owned.list.res; len(l.Known) < mostKnown {
				l.Known = append(l.Known, h.w.Log.Now()-began)
				if len(known) == len(h.w.Instances) {
					l.Last = append(l.Last, h.w.Log.Now()-began)
				}
			}
			h.mu.Unlock()
		}
		if len(known) == len(h.w.Instances) {
			return
		}
	}
}

// seeLists takes down which version each instance holds.
func (h *hosts) seeLists() map[string]int64 {
	all := map[string]int64{}
	for _, in := range h.w.Instances {
		r, err := quickClient.Get("http://" + in.Addr + "/up")
		if err != nil {
			continue
		}
		r.Body.Close()
		index, err := strconv.ParseInt(r.Header.Get("X-List"), 10, 64)
		if err != nil || r.StatusCode != 200 {
			continue
		}
		all[in.Name] = index
		h.mu.Lock()
		h.note(history.Entry{Event: audit.Event{Do: history.Saw}, Who: in.Name + "#" + r.Header.Get("X-Pid"), Key: "list", Number: uint64(index)})
		h.mu.Unlock()
	}
	return all
}

// listResult is what was seen of the list. The caller holds the mutex.
func (h *hosts) listResult() *experiment.Listed {
	if h.owned.list == nil {
		return nil
	}
	res := h.owned.list.res
	if h.owned.list.calls >= 0 {
		res.Self = h.selfCalls() - h.owned.list.calls
	}
	res.Known, res.Last = slices.Clone(res.Known), slices.Clone(res.Last)
	return &res
}
