package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// By seed: fleets of any shape, owners that follow one another at any step, steps
// that succeed, are lost or come doubled, instances that crash and hosts that are
// away. At most so many are under way, none is restarted twice, none is left out.
func TestOwnersFollowOneAnother(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		o := Request{MaxConcurrent: 1 + rng.IntN(3), MaxConcurrentPerZone: rng.IntN(3)}
		bad := rng.IntN(3) == 0
		if bad || rng.IntN(2) == 0 {
			o.Program = "new"
		}
		n := Checkpoint{RolloutID: "o1", PreviousPrograms: map[string]string{}}
		var hosts []HostStatus
		for h := range 1 + rng.IntN(5) {
			host := HostStatus{Name: fmt.Sprintf("h%d", h), Zone: fmt.Sprint(rng.IntN(3)), Program: "old", Contacted: true}
			n.PreviousPrograms[host.Name] = "old"
			for i := range 1 + rng.IntN(4) {
				host.Instances = append(host.Instances, InstanceStatus{Name: fmt.Sprint(i), Ready: true})
			}
			hosts = append(hosts, host)
		}
		restarts, programs := map[string]int{}, map[string]string{}
		var ending []func()
		end := ""
		for round := 0; end == ""; round++ {
			if round > 5000 {
				t.Fatalf("seed %d: no end: %+v", seed, hosts)
			}
			view := make([]HostStatus, len(hosts))
			for k, h := range hosts {
				view[k] = h
				view[k].Instances = append([]InstanceStatus(nil), h.Instances...)
				view[k].Contacted = rng.IntN(20) > 0
			}
			d := Decide("o1", o, n, view)
			away := 0
			for k := range hosts {
				for i := range hosts[k].Instances {
					if !hosts[k].Instances[i].Ready {
						away++
					}
				}
			}
			if away+len(d.Steps) > max(o.MaxConcurrent, away) {
				t.Fatalf("seed %d: %d under way and %d more, wanted %d at most", seed, away, len(d.Steps), o.MaxConcurrent)
			}
			n.RollingBack = n.RollingBack || d.RollBack
			end = d.Result
			zones := map[string]int{}
			for _, s := range d.Steps {
				if zones[s.Zone]++; o.MaxConcurrentPerZone > 0 && zones[s.Zone] > o.MaxConcurrentPerZone {
					t.Fatalf("seed %d: %d at once in zone %s", seed, zones[s.Zone], s.Zone)
				}
				if rng.IntN(10) == 0 {
					continue // lost, or the owner died before it
				}
				for k := range hosts {
					if hosts[k].Name != s.Host {
						continue
					}
					for i := range hosts[k].Instances {
						in := &hosts[k].Instances[i]
						if in.Name != s.Instance || in.RolloutID == s.RolloutID {
							continue
						}
						in.Ready = false
						name := s.Host + "/" + s.Instance
						restarts[name+" "+s.RolloutID]++
						ending = append(ending, func() {
							in.Ready = true
							if bad && s.Program == "new" && rng.IntN(4) == 0 {
								in.FailedRolloutID = s.RolloutID
								return
							}
							in.RolloutID, programs[name] = s.RolloutID, s.Program
						})
					}
				}
			}
			rng.Shuffle(len(ending), func(a, b int) { ending[a], ending[b] = ending[b], ending[a] })
			for len(ending) > 0 && rng.IntN(2) == 0 {
				ending[0]()
				ending = ending[1:]
			}
		}
		for name, times := range restarts {
			if times > 1 {
				t.Errorf("seed %d: %s was restarted %d times", seed, name, times)
			}
		}
		for _, h := range hosts {
			for _, in := range h.Instances {
				name := h.Name + "/" + in.Name
				if !n.RollingBack && in.RolloutID != "o1" || n.RollingBack && programs[name] == "new" {
					t.Errorf("seed %d: %s was left out at %q: %+v", seed, name, end, in)
				}
			}
		}
	}
}
