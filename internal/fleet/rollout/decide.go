package rollout

import (
	"cmp"
	"fmt"
	"slices"
)

// Step is the restart or reload of an instance for a rollout.
type Step struct {
	Host, Zone, Instance string
	RolloutID            string // ID that the instance is labeled with
	Program              string // program to start; empty for the program that is running
	Reload               bool
}

// Decision is what the lease holder does next.
type Decision struct {
	Steps      []Step
	Result     string // result of the rollout; empty if it has not ended
	WaitReason string // why there are no steps
	RollBack   bool   // the rollout rolls back from now on
	Completed  int
	Total      int // instances to be restarted or reloaded, including the completed ones
}

// fleetSummary is the part of the hosts' status that a decision depends on.
type fleetSummary struct {
	unavailable       int // instances that are not ready
	unavailableByZone map[string]int
	failed            string // first instance that failed, as "host/instance"; empty if no instance failed
	candidates        []Step
}

// Decide returns the next steps of a rollout. Each instance that is not ready counts as
// unavailable, whatever the cause. Decide returns no steps until all hosts have been
// contacted, since a host that does not know the current fencing token would still accept
// commands sent by a former lease holder.
func Decide(id string, request Request, checkpoint Checkpoint, hosts []HostStatus) Decision {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b HostStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	decision := Decision{RollBack: checkpoint.RollingBack}
	summary := fleetSummary{unavailableByZone: map[string]int{}}
	for _, host := range hosts {
		if !host.Contacted {
			decision.WaitReason = fmt.Sprintf("host %s has not been contacted", host.Name)
			return decision
		}
		summary.add(&decision, id, request, checkpoint, host)
	}
	if summary.failed != "" && !checkpoint.RollingBack {
		decision.handleFailure(request, summary)
		return decision
	}
	if decision.Completed == decision.Total {
		decision.Result = ResultDone
		if checkpoint.RollingBack {
			decision.Result = "rolled back: the new program did not become ready"
		}
		return decision
	}
	decision.addSteps(request, summary)
	return decision
}

// add adds a host to the summary and its instances to the decision's counts.
func (s *fleetSummary) add(decision *Decision, id string, request Request, checkpoint Checkpoint, host HostStatus) {
	wantedID, program := id, request.Program
	if checkpoint.RollingBack {
		wantedID, program = RollbackID(id), checkpoint.PreviousPrograms[host.Name]
	}
	for _, instance := range host.Instances {
		if !instance.Ready {
			s.unavailable++
			s.unavailableByZone[host.Zone]++
		}
		if instance.FailedRolloutID == id && s.failed == "" {
			s.failed = host.Name + "/" + instance.Name
		}
		if checkpoint.RollingBack && instance.RolloutID != id && instance.RolloutID != wantedID {
			continue // the instance never ran the new program
		}
		decision.Total++
		switch {
		case instance.RolloutID == wantedID && instance.Ready:
			decision.Completed++
		case instance.RolloutID == wantedID:
		case instance.Ready && host.LocalUpdate == "":
			s.candidates = append(s.candidates, Step{
				Host: host.Name, Zone: host.Zone, Instance: instance.Name, RolloutID: wantedID, Program: program, Reload: request.Reload,
			})
		}
	}
}

// handleFailure rolls back if the rollout has a new program. Otherwise it ends the
// rollout once all instances are ready.
func (d *Decision) handleFailure(request Request, summary fleetSummary) {
	switch {
	case request.Program != "":
		d.RollBack, d.WaitReason = true, summary.failed+" did not become ready: rolling back"
	case summary.unavailable == 0:
		d.Result = "stopped: " + summary.failed + " did not become ready"
	default:
		d.WaitReason = summary.failed + " did not become ready"
	}
}

// addSteps adds as many steps as the limits on unavailable instances allow.
func (d *Decision) addSteps(request Request, summary fleetSummary) {
	limit := max(1, request.MaxConcurrent)
	for _, step := range summary.candidates {
		if summary.unavailable >= limit {
			break
		}
		if request.MaxConcurrentPerZone > 0 && summary.unavailableByZone[step.Zone] >= request.MaxConcurrentPerZone {
			continue
		}
		summary.unavailable++
		summary.unavailableByZone[step.Zone]++
		d.Steps = append(d.Steps, step)
	}
	if len(d.Steps) == 0 {
		d.WaitReason = fmt.Sprintf("%d instances are unavailable, wanted fewer than %d", summary.unavailable, limit)
	}
}
