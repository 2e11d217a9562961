// Package everywhere decides how the owner of the duty roll goes through the
// hosts of a fleet. It does no I/O, has no clock and remembers nothing: what was
// done stands at the processes themselves, each of which bears the order that it
// was started for. An owner that follows another sees what that one left.
package everywhere

import (
	"cmp"
	"fmt"
	"slices"
)

// Order is what an operator wants, as the council keeps it.
type Order struct {
	Program   string `json:"program,omitempty"` // empty: the one that runs
	AtOnce    int    `json:"at_once"`           // in the fleet
	ZoneOnce  int    `json:"zone_at_once"`      // in a zone; 0 for no bound of its own
	Reload    bool   `json:"reload,omitempty"`  // its configuration anew, with the process that runs
	Operators string `json:"by,omitempty"`
}

// Note is what stands, for the next owner and for who waits.
type Note struct {
	Order string `json:"order"`
	Done  int    `json:"done"`
	Of    int    `json:"of"`
	Wait  string `json:"wait,omitempty"`
	// Back is set when the new program failed: those that have it go back to Before,
	// the program of each host at the beginning.
	Back   bool              `json:"back,omitempty"`
	Before map[string]string `json:"before,omitempty"`
}

// Host is a host as its supervisor told it under the owner's epoch.
type Host struct {
	Name      string     `json:"host"`
	Zone      string     `json:"zone"`
	Program   string     `json:"program"`
	Rolling   string     `json:"rolling,omitempty"` // a roll of its own that goes on
	Instances []Instance `json:"instances"`
	Reached   bool       `json:"-"` // false: it was not reached under this epoch
}

// Instance is one instance.
type Instance struct {
	Name   string `json:"name"`
	Up     bool   `json:"up"` // one process, ready
	Order  string `json:"order,omitempty"`
	Failed string `json:"failed,omitempty"` // order of which its new process did not become ready
}

// Step is one effect: restart an instance for an order, or reload it.
type Step struct {
	Host, Zone, Instance string
	Order, Program       string
	Reload               bool
}

// Decision is what an owner does next.
type Decision struct {
	Steps []Step
	End   string // not empty: the order is over
	Wait  string // why nothing more is done now
	Back  bool   // from now on it goes back
	Done  int
	Of    int
}

// BackID is the order's number on its way back.
func BackID(id string) string { return id + "-back" }

// Next decides. Every instance that is not up counts as under way, whoever took it
// down, and while a host is not reached nothing is begun anywhere: an owner of
// before may still act there, for it has not heard of this epoch.
func Next(id string, o Order, n Note, hosts []Host) Decision {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	d := Decision{Back: n.Back}
	want := id
	if n.Back {
		want = BackID(id)
	}
	away, inZone := 0, map[string]int{}
	failed := ""
	var left []Step
	for _, h := range hosts {
		if !h.Reached {
			d.Wait = fmt.Sprintf("host %s is not reached", h.Name)
			return d
		}
		for _, in := range h.Instances {
			if !in.Up {
				away++
				inZone[h.Zone]++
			}
			if in.Failed == id && failed == "" {
				failed = h.Name + "/" + in.Name
			}
			if n.Back && in.Order != id && in.Order != want {
				continue // the new program never came here
			}
			d.Of++
			if in.Order == want {
				if in.Up {
					d.Done++
				}
				continue
			}
			program := o.Program
			if n.Back {
				program = n.Before[h.Name]
			}
			if in.Up && h.Rolling == "" {
				left = append(left, Step{h.Name, h.Zone, in.Name, want, program, o.Reload})
			}
		}
	}
	switch {
	case failed != "" && !n.Back && o.Program != "":
		d.Back, d.Wait = true, failed+" did not become ready: all go back"
		return d
	case failed != "" && !n.Back && away == 0:
		d.End = "stopped: " + failed + " did not become ready"
		return d
	case failed != "" && !n.Back:
		d.Wait = failed + " did not become ready"
		return d
	case d.Done == d.Of && n.Back:
		d.End = "went back: the new program did not become ready"
		return d
	case d.Done == d.Of:
		d.End = "done"
		return d
	}
	for _, s := range left {
		if away >= max(1, o.AtOnce) {
			break
		}
		if o.ZoneOnce > 0 && inZone[s.Zone] >= o.ZoneOnce {
			continue
		}
		away++
		inZone[s.Zone]++
		d.Steps = append(d.Steps, s)
	}
	if len(d.Steps) == 0 {
		d.Wait = fmt.Sprintf("%d instances are not up, wanted fewer than %d", away, max(1, o.AtOnce))
	}
	return d
}
