package rollout

import (
	"encoding/json"
	"fmt"
	"testing"

	"otterspring/internal/lab/cost"
)

// capacityHosts is a fleet of three zones, of which a share of the instances has the
// order already.
func capacityHosts(hosts, each, done int) []HostStatus {
	all := make([]HostStatus, hosts)
	for i := range all {
		all[i] = HostStatus{Name: fmt.Sprintf("host-%04d", i), Zone: fmt.Sprint("z", i%3), Program: "/usr/lib/otterspring/sandhinge", Contacted: true}
		for k := range each {
			instance := InstanceStatus{Name: fmt.Sprintf("n%d", k), Ready: true}
			if i*each+k < done {
				instance.RolloutID = "o1"
			}
			all[i].Instances = append(all[i].Instances, instance)
		}
	}
	return all
}

// BenchmarkNext is what the owner of a roll decides with at each of its looks, ten a
// second; half of the instances have the order.
func BenchmarkNext(b *testing.B) {
	for _, instances := range []int{200, 300, 1000, 4000, 8000, 13000} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			hosts := capacityHosts(instances/20, 20, instances/2)
			cost.Loop(b, func(int) {
				if d := Decide("o1", Request{MaxConcurrent: 100}, Checkpoint{RolloutID: "o1"}, hosts); len(d.Steps) != 100 {
					b.Fatalf("%d steps, wanted 100: %+v", len(d.Steps), d)
				}
			})
		})
	}
}

// BenchmarkNoteBytes reports the bytes of the note that the owner of a roll leaves
// before it begins: the program of each host.
func BenchmarkNoteBytes(b *testing.B) {
	for _, hosts := range []int{12, 50, 100, 200, 512, 1625} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			note := Checkpoint{RolloutID: "r1", Total: 20 * hosts, PreviousPrograms: map[string]string{}}
			for _, host := range capacityHosts(hosts, 20, 0) {
				note.PreviousPrograms[host.Name] = host.Program
			}
			bytes := 0
			for b.Loop() {
				text, err := json.Marshal(note)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(text)
			}
			b.ReportMetric(float64(bytes), "note-B")
		})
	}
}
