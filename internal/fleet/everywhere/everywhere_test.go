package everywhere

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
		o := Order{AtOnce: 1 + rng.IntN(3), ZoneOnce: rng.IntN(3)}
		bad := rng.IntN(3) == 0
		if bad || rng.IntN(2) == 0 {
			o.Program = "new"
		}
		n := Note{Order: "o1", Before: map[string]string{}}
		var hosts []Host
		for h := range 1 + rng.IntN(5) {
			host := Host{Name: fmt.Sprintf("h%d", h), Zone: fmt.Sprint(rng.IntN(3)), Program: "old", Reached: true}
			n.Before[host.Name] = "old"
			for i := range 1 + rng.IntN(4) {
				host.Instances = append(host.Instances, Instance{Name: fmt.Sprint(i), Up: true})
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
			view := make([]Host, len(hosts))
			for k, h := range hosts {
				view[k] = h
				view[k].Instances = append([]Instance(nil), h.Instances...)
				view[k].Reached = rng.IntN(20) > 0
			}
			d := Next("o1", o, n, view)
			away := 0
			for k := range hosts {
				for i := range hosts[k].Instances {
					if !hosts[k].Instances[i].Up {
						away++
					}
				}
			}
			if away+len(d.Steps) > max(o.AtOnce, away) {
				t.Fatalf("seed %d: %d under way and %d more, wanted %d at most", seed, away, len(d.Steps), o.AtOnce)
			}
			n.Back = n.Back || d.Back
			end = d.End
			zones := map[string]int{}
			for _, s := range d.Steps {
				if zones[s.Zone]++; o.ZoneOnce > 0 && zones[s.Zone] > o.ZoneOnce {
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
						if in.Name != s.Instance || in.Order == s.Order {
							continue
						}
						in.Up = false
						name := s.Host + "/" + s.Instance
						restarts[name+" "+s.Order]++
						ending = append(ending, func() {
							in.Up = true
							if bad && s.Program == "new" && rng.IntN(4) == 0 {
								in.Failed = s.Order
								return
							}
							in.Order, programs[name] = s.Order, s.Program
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
				if !n.Back && in.Order != "o1" || n.Back && programs[name] == "new" {
					t.Errorf("seed %d: %s was left out at %q: %+v", seed, name, end, in)
				}
			}
		}
	}
}
