package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// By seed: fleets of any shape, lease holders that follow one another at any step,
// steps that succeed, are lost or are repeated, instances that fail and hosts without
// contact. The bounds on unavailable instances are respected, no instance is restarted
// twice, and none is left out.
func TestLeaseHoldersFollowOneAnother(t *testing.T) {
	const maxRounds = 5000
	for seed := range uint64(300) {
		f := newFakeFleet(seed)
		result := ""
		for round := 0; result == ""; round++ {
			if round > maxRounds {
				t.Fatalf("seed %d: no end: %+v", seed, f.hosts)
			}
			decision := Decide(f.checkpoint.RolloutID, f.request, f.checkpoint, f.reported())
			f.checkBounds(t, seed, decision)
			f.checkpoint.RollingBack = f.checkpoint.RollingBack || decision.RollBack
			result = decision.Result
			for _, step := range decision.Steps {
				if f.rng.IntN(10) > 0 { // else it is lost, or the lease holder ended before it
					f.do(step)
				}
			}
			f.finishSome()
		}
		for instance, count := range f.restarts {
			if count > 1 {
				t.Errorf("seed %d: %s was restarted %d times", seed, instance, count)
			}
		}
		for _, host := range f.hosts {
			for _, instance := range host.Instances {
				name := host.Name + "/" + instance.Name
				if !f.checkpoint.RollingBack && instance.RolloutID != f.checkpoint.RolloutID || f.checkpoint.RollingBack && f.programs[name] == "new" {
					t.Errorf("seed %d: %s was left out at %q: %+v", seed, name, result, instance)
				}
			}
		}
	}
}

// fakeFleet is a fleet that carries steps out.
type fakeFleet struct {
	rng        *rand.Rand
	request    Request
	failing    bool // the new program does not become ready on some instances
	checkpoint Checkpoint
	hosts      []HostStatus
	restarts   map[string]int    // by instance and rollout
	programs   map[string]string // by instance, since its first step
	finishing  []func()          // steps in flight
}

func newFakeFleet(seed uint64) *fakeFleet {
	rng := rand.New(rand.NewPCG(seed, 3))
	f := &fakeFleet{
		rng:        rng,
		request:    Request{MaxConcurrent: 1 + rng.IntN(3), MaxConcurrentPerZone: rng.IntN(3)},
		failing:    rng.IntN(3) == 0,
		checkpoint: Checkpoint{RolloutID: "o1", PreviousPrograms: map[string]string{}},
		restarts:   map[string]int{},
		programs:   map[string]string{},
	}
	if f.failing || rng.IntN(2) == 0 {
		f.request.Program = "new"
	}
	for h := range 1 + rng.IntN(5) {
		host := HostStatus{Name: fmt.Sprintf("h%d", h), Zone: fmt.Sprint(rng.IntN(3)), Program: "old", Contacted: true}
		f.checkpoint.PreviousPrograms[host.Name] = "old"
		for i := range 1 + rng.IntN(4) {
			host.Instances = append(host.Instances, InstanceStatus{Name: fmt.Sprint(i), Ready: true})
		}
		f.hosts = append(f.hosts, host)
	}
	return f
}

// reported is what a lease holder learns of the hosts, some of which do not answer.
func (f *fakeFleet) reported() []HostStatus {
	hosts := slices.Clone(f.hosts)
	for i := range hosts {
		hosts[i].Instances = slices.Clone(hosts[i].Instances)
		hosts[i].Contacted = f.rng.IntN(20) > 0
	}
	return hosts
}

func (f *fakeFleet) checkBounds(t *testing.T, seed uint64, decision Decision) {
	t.Helper()
	unavailable := 0
	for _, host := range f.hosts {
		for _, instance := range host.Instances {
			if !instance.Ready {
				unavailable++
			}
		}
	}
	if unavailable+len(decision.Steps) > max(f.request.MaxConcurrent, unavailable) {
		t.Fatalf("seed %d: %d unavailable and %d more, wanted at most %d", seed, unavailable, len(decision.Steps), f.request.MaxConcurrent)
	}
	byZone := map[string]int{}
	for _, step := range decision.Steps {
		if byZone[step.Zone]++; f.request.MaxConcurrentPerZone > 0 && byZone[step.Zone] > f.request.MaxConcurrentPerZone {
			t.Fatalf("seed %d: %d at a time in zone %s", seed, byZone[step.Zone], step.Zone)
		}
	}
}

// do begins a step, unless the instance has had it.
func (f *fakeFleet) do(step Step) {
	for k := range f.hosts {
		if f.hosts[k].Name != step.Host {
			continue
		}
		for i := range f.hosts[k].Instances {
			instance := &f.hosts[k].Instances[i]
			if instance.Name != step.Instance || instance.RolloutID == step.RolloutID {
				continue
			}
			instance.Ready = false
			name := step.Host + "/" + step.Instance
			f.restarts[name+" "+step.RolloutID]++
			f.finishing = append(f.finishing, func() {
				instance.Ready = true
				if f.failing && step.Program == "new" && f.rng.IntN(4) == 0 {
					instance.FailedRolloutID = step.RolloutID
					return
				}
				instance.RolloutID, f.programs[name] = step.RolloutID, step.Program
			})
		}
	}
}

// finishSome finishes steps in flight, in any order.
func (f *fakeFleet) finishSome() {
	f.rng.Shuffle(len(f.finishing), func(a, b int) { f.finishing[a], f.finishing[b] = f.finishing[b], f.finishing[a] })
	for len(f.finishing) > 0 && f.rng.IntN(2) == 0 {
		f.finishing[0]()
		f.finishing = f.finishing[1:]
	}
}
