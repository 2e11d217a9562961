// Package everywhere decides how the owner of the duty roll goes through the
// hosts of a fleet. It does no I/O, has no clock and remembers nothing: what was
// done stands at the processes themselves, each of which bears the order that it
// was started for. An owner that follows another sees what that one left.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
)

// RolloutID is what an operator wants, as the council keeps it.
type Request struct {
	Program              string `json:"program,omitempty"` // empty: the one that runs
	MaxConcurrent        int    `json:"at_once"`           // in the fleet
	MaxConcurrentPerZone int    `json:"zone_at_once"`      // in a zone; 0 for no bound of its own
	Reload               bool   `json:"reload,omitempty"`  // its configuration anew, with the process that runs
	RequestedBy          string `json:"by,omitempty"`
}

// Checkpoint is what stands, for the next owner and for who waits.
type Checkpoint struct {
	RolloutID string `json:"order"`
	Completed int    `json:"done"`
	Total     int    `json:"of"`
	Waiting   string `json:"wait,omitempty"`
	// RollBack is set when the new program failed: those that have it go back to Before,
	// the program of each host at the beginning.
	RollingBack      bool              `json:"back,omitempty"`
	PreviousPrograms map[string]string `json:"before,omitempty"`
}

// HostStatus is a host as its supervisor told it under the owner's epoch.
type HostStatus struct {
	Name        string           `json:"host"`
	Zone        string           `json:"zone"`
	Program     string           `json:"program"`
	LocalUpdate string           `json:"rolling,omitempty"` // a roll of its own that goes on
	Instances   []InstanceStatus `json:"instances"`
	Contacted   bool             `json:"-"` // false: it was not reached under this epoch
}

// InstanceStatus is one instance.
type InstanceStatus struct {
	Name            string `json:"name"`
	Ready           bool   `json:"up"` // one process, ready
	RolloutID       string `json:"order,omitempty"`
	FailedRolloutID string `json:"failed,omitempty"` // order of which its new process did not become ready
}

// Step is one effect: restart an instance for an order, or reload it.
type Step struct {
	Host, Zone, Instance string
	RolloutID, Program   string
	Reload               bool
}

// Decision is what an owner does next.
type Decision struct {
	Steps     []Step
	Result    string // not empty: the order is over
	Waiting   string // why nothing more is done now
	RollBack  bool   // from now on it goes back
	Completed int
	Total     int
}

// RollbackID is the order's number on its way back.
func RollbackID(id string) string { return id + "-back" }

// Decide decides. Every instance that is not up counts as under way, whoever took it
// down, and while a host is not reached nothing is begun anywhere: an owner of
// before may still act there, for it has not heard of this epoch.
func Decide(id string, o Request, n Checkpoint, hosts []HostStatus) Decision {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b HostStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	d := Decision{RollBack: n.RollingBack}
	want := id
	if n.RollingBack {
		want = RollbackID(id)
	}
	away, inZone := 0, map[string]int{}
	failed := ""
	var left []Step
	for _, h := range hosts {
		if !h.Contacted {
			d.Waiting = fmt.Sprintf("host %s is not reached", h.Name)
			return d
		}
		for _, in := range h.Instances {
			if !in.Ready {
				away++
				inZone[h.Zone]++
			}
			if in.FailedRolloutID == id && failed == "" {
				failed = h.Name + "/" + in.Name
			}
			if n.RollingBack && in.RolloutID != id && in.RolloutID != want {
				continue // the new program never came here
			}
			d.Total++
			if in.RolloutID == want {
				if in.Ready {
					d.Completed++
				}
				continue
			}
			program := o.Program
			if n.RollingBack {
				program = n.PreviousPrograms[h.Name]
			}
			if in.Ready && h.LocalUpdate == "" {
				left = append(left, Step{h.Name, h.Zone, in.Name, want, program, o.Reload})
			}
		}
	}
	switch {
	case failed != "" && !n.RollingBack && o.Program != "":
		d.RollBack, d.Waiting = true, failed+" did not become ready: all go back"
		return d
	case failed != "" && !n.RollingBack && away == 0:
		d.Result = "stopped: " + failed + " did not become ready"
		return d
	case failed != "" && !n.RollingBack:
		d.Waiting = failed + " did not become ready"
		return d
	case d.Completed == d.Total && n.RollingBack:
		d.Result = "went back: the new program did not become ready"
		return d
	case d.Completed == d.Total:
		d.Result = "done"
		return d
	}
	for _, s := range left {
		if away >= max(1, o.MaxConcurrent) {
			break
		}
		if o.MaxConcurrentPerZone > 0 && inZone[s.Zone] >= o.MaxConcurrentPerZone {
			continue
		}
		away++
		inZone[s.Zone]++
		d.Steps = append(d.Steps, s)
	}
	if len(d.Steps) == 0 {
		d.Waiting = fmt.Sprintf("%d instances are not up, wanted fewer than %d", away, max(1, o.MaxConcurrent))
	}
	return d
}
