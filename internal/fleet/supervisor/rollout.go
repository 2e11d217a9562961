package supervisor

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/rollout"
)

const (
	rolloutPollInterval = 100 * time.Millisecond // time between two polls of all hosts
	checkpointInterval  = time.Second            // minimum time between two checkpoints of progress
)

// rolloutLeader executes operations, which are rolling restarts or reloads across all
// hosts, while this process holds the lease. It is owned by one goroutine.
type rolloutLeader struct {
	*leadership
	checkpoint       rollout.Checkpoint
	restored         bool // whether checkpoint is current; the stored checkpoint is then not read again
	lastCheckpointAt time.Time
}

// leadRollout executes the pending operations if it acquires the lease.
func (s *Supervisor) leadRollout(ctx context.Context, holder string) {
	s.runWithLease(ctx, RolloutLease, holder, func(ctx context.Context, l *leadership) stopReason {
		leader := &rolloutLeader{leadership: l}
		return leader.run(ctx)
	})
}

// run advances the oldest pending operation until no operation is left or the leadership
// ends.
func (l *rolloutLeader) run(ctx context.Context) stopReason {
	for ; ; sleep(ctx, rolloutPollInterval) {
		if ctx.Err() != nil || !l.valid() {
			return reasonLeaseExpired
		}
		response, err := l.supervisor.request(ctx, client.Request{Kind: client.ReadState}, requestTimeout)
		if err != nil {
			continue // if the cluster remains unreachable, the lease expires
		}
		operation := response.State.PendingOperation(RolloutLease)
		if operation == nil {
			return reasonNoOperation
		}
		l.advance(ctx, response.State, operation.ID, operation.Request)
	}
}

// advance executes the next steps of an operation.
func (l *rolloutLeader) advance(ctx context.Context, state *coordination.State, id string, body json.RawMessage) {
	var request rollout.Request
	if err := json.Unmarshal(body, &request); err != nil {
		l.complete(ctx, id, fmt.Sprintf("malformed request %.100s: %v", body, err))
		return
	}
	l.restore(state)
	records := l.supervisor.decodeHostRecords(state.HostStatus)
	hosts := l.collectStatus(ctx, records)
	if l.checkpoint.RolloutID != id && !l.initCheckpoint(ctx, id, hosts) {
		return
	}
	l.restored = true
	decision := rollout.Decide(id, request, l.checkpoint, hosts)
	if decision.RollBack && !l.checkpoint.RollingBack {
		// The decision to roll back must be stored before its first step is executed.
		l.checkpoint.RollingBack = true
		l.checkpoint.RollingBack = l.saveCheckpoint(ctx)
		return
	}
	l.recordProgress(ctx, decision)
	if decision.Result != "" {
		l.saveCheckpoint(ctx)
		l.complete(ctx, id, decision.Result)
		return
	}
	l.execute(ctx, decision.Steps, records)
}

// restore reads the checkpoint that the previous leader has stored. It does nothing once
// this leader has begun an operation.
func (l *rolloutLeader) restore(state *coordination.State) {
	lease := state.Leases[RolloutLease]
	if l.restored || lease == nil || lease.Checkpoint == nil {
		return
	}
	if err := json.Unmarshal(lease.Checkpoint, &l.checkpoint); err != nil {
		l.supervisor.log.Warn("malformed checkpoint", "lease", RolloutLease, "error", err)
	}
}

// initCheckpoint stores the checkpoint of a new operation before any step is begun. The
// checkpoint records the present programs of all hosts, since a rollback returns to these
// programs. All hosts must therefore have been contacted. initCheckpoint reports whether the
// checkpoint is stored.
func (l *rolloutLeader) initCheckpoint(ctx context.Context, id string, hosts []rollout.HostStatus) bool {
	if slices.ContainsFunc(hosts, func(h rollout.HostStatus) bool { return !h.Contacted }) {
		return false
	}
	l.checkpoint = rollout.Checkpoint{RolloutID: id, PreviousPrograms: map[string]string{}}
	for _, host := range hosts {
		l.checkpoint.PreviousPrograms[host.Name] = host.Program
	}
	if !l.saveCheckpoint(ctx) {
		l.checkpoint = rollout.Checkpoint{} // the checkpoint may not have been stored
		return false
	}
	return true
}

// recordProgress stores changed progress, at most once per checkpointInterval.
func (l *rolloutLeader) recordProgress(ctx context.Context, decision rollout.Decision) {
	previous := l.checkpoint
	l.checkpoint.Completed, l.checkpoint.Total, l.checkpoint.WaitReason = decision.Completed, decision.Total, decision.WaitReason
	changed := previous.Completed != decision.Completed || previous.Total != decision.Total || previous.WaitReason != decision.WaitReason
	if changed && time.Since(l.lastCheckpointAt) >= checkpointInterval {
		l.saveCheckpoint(ctx)
	}
}

// saveCheckpoint stores the checkpoint and reports whether the cluster has confirmed the
// write.
func (l *rolloutLeader) saveCheckpoint(ctx context.Context) bool {
	text, err := json.Marshal(l.checkpoint)
	if err == nil {
		err = l.supervisor.submitWrite(ctx, client.Request{Kind: client.WriteCheckpoint, Lease: RolloutLease, Subject: l.holder, Token: l.token, Data: text})
	}
	l.lastCheckpointAt = time.Now()
	if err != nil {
		l.supervisor.log.Debug("checkpoint not stored", "lease", RolloutLease, "error", err)
	}
	return err == nil
}

// complete stores the result of an operation. If the result can't be stored, the operation
// is still pending at the next poll.
func (l *rolloutLeader) complete(ctx context.Context, id, result string) {
	text, err := json.Marshal(result)
	if err == nil {
		err = l.supervisor.submitWrite(ctx, client.Request{Kind: client.CompleteOperation, Lease: RolloutLease, Subject: l.holder, Token: l.token, OperationID: id, Data: text})
	}
	if err != nil {
		l.supervisor.log.Debug("result of an operation not stored", "operation", id, "error", err)
	}
}

// collectStatus requests the status of all hosts. From the request each host also learns
// this leadership's fencing token.
func (l *rolloutLeader) collectStatus(ctx context.Context, records map[string]hostRecord) []rollout.HostStatus {
	hosts := make([]rollout.HostStatus, 0, len(records))
	var mu sync.Mutex // guards hosts
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentChecks)
	for name, record := range records {
		slots <- struct{}{}
		requests.Go(func() {
			defer func() { <-slots }()
			response, err := l.send(ctx, record.Address, hostCommand{Kind: commandStatus})
			host := rollout.HostStatus{Name: name, Zone: record.Zone}
			if err == nil && response.Rejected == "" {
				host = response.Host
				host.Contacted = true
			}
			mu.Lock()
			hosts = append(hosts, host)
			mu.Unlock()
		})
	}
	requests.Wait()
	return hosts
}

// execute executes steps concurrently. It begins a step only while the leadership is valid.
func (l *rolloutLeader) execute(ctx context.Context, steps []rollout.Step, records map[string]hostRecord) {
	var commands sync.WaitGroup
	for _, step := range steps {
		if ctx.Err() != nil || !l.valid() {
			break
		}
		commands.Go(func() { l.executeStep(ctx, step, records[step.Host].Address) })
	}
	commands.Wait()
}

func (l *rolloutLeader) executeStep(ctx context.Context, step rollout.Step, address string) {
	// If this process is suspended here for longer than its lease, it sends a stale command,
	// which the host's fence rejects.
	faultinjection.At("owner-acts")
	command := hostCommand{Kind: commandRestart, Instance: step.Instance, Operation: step.RolloutID, Program: step.Program}
	if step.Reload {
		command.Kind = commandReload
	}
	response, err := l.send(ctx, address, command)
	log := l.supervisor.log
	switch {
	case err != nil:
		log.Warn("command not sent", "lease", l.lease, "host", step.Host, "instance", step.Instance, "error", err)
	case response.Rejected != "":
		log.Warn("command rejected by its host", "lease", l.lease, "host", step.Host, "instance", step.Instance, "error", response.Rejected)
	}
}
