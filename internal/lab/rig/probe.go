package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/lab/history"
	"otterspring/internal/lab/invariant"
)

// In a run with a coordination cluster and a history, the rig is itself a client of the cluster.
// Two writers acquire a lease in turns and write the checkpoint of the lease. Two readers read the
// checkpoint. The history records these calls as operations on a register, and the check of the
// history tests whether the operations are linearizable.
//
// Each call is sent once and to one member, since a repeated call could be rejected although its
// first transmission took effect. A call without an answer has an unknown outcome.

const (
	probeWriters  = 2
	probeReaders  = 2
	probeInterval = 120 * time.Millisecond // mean time between two calls by one client
	probeTimeout  = 1500 * time.Millisecond
	// registerDuration is how long one register is used. It limits a register to a few hundred
	// operations, for which the linearizability check is fast even if some outcomes are unknown.
	registerDuration = 5 * time.Second
	maxRegisters     = 24 // registers are used in turns, since a cluster has a limited number of leases
)

var probeHTTPClient = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: probeWriters + probeReaders, IdleConnTimeout: 10 * time.Second}}

// probeClient is one client of the coordination cluster.
type probeClient struct {
	hosts       *hosts
	name        string
	rng         *rand.Rand
	memberIndex int // index of the member to which the next call is sent
	lastValue   int
}

// startProbes starts the clients, which run until the hosts are stopped.
func (h *hosts) startProbes() {
	if h.coordination == nil || h.historyWriter == nil {
		return
	}
	for i := range probeWriters + probeReaders {
		p := &probeClient{hosts: h, name: fmt.Sprintf("p%d", i+1), rng: rand.New(rand.NewPCG(h.plan.Seed, uint64(0x70+i)))}
		h.wg.Go(func() {
			if i < probeWriters {
				p.runWriter()
			} else {
				p.runReader()
			}
		})
	}
}

// waitInterval waits for the jittered interval between two calls. It returns false when the run ends.
func (p *probeClient) waitInterval() bool {
	select {
	case <-p.hosts.closing:
		return false
	case <-time.After(probeInterval/2 + time.Duration(p.rng.Int64N(int64(probeInterval)))):
		return true
	}
}

// currentRegister returns the name of the register that is used now.
func (p *probeClient) currentRegister() string {
	return fmt.Sprintf("probe%d", int((p.hosts.world.Checker.Now()-p.hosts.startTime)/registerDuration)%maxRegisters)
}

// call sends a request to one member, once. It returns no response and no error if the request was
// provably not executed.
func (p *probeClient) call(request client.Request) (*client.Response, error) {
	members := p.hosts.coordination.members
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	response, err := client.Call(ctx, &probeHTTPClient, p.hosts.coordination.addresses[members[p.memberIndex].role], "world", request)
	if err != nil {
		p.memberIndex = (p.memberIndex + 1) % len(members)
		return nil, err
	}
	if response.Unavailable == "" {
		return response, nil
	}
	p.memberIndex = (p.memberIndex + 1) % len(members)
	for i, member := range members {
		if response.Leader == p.hosts.coordination.addresses[member.role] {
			p.memberIndex = i
		}
	}
	if response.OutcomeUnknown {
		return nil, client.ErrUnknownOutcome
	}
	return nil, nil
}

func (p *probeClient) recordOperation(startTime time.Duration, operation, key, value, result string) {
	p.hosts.mu.Lock()
	defer p.hosts.mu.Unlock()
	entry := history.Entry{Event: invariant.Event{Kind: history.KindOperation, At: startTime}, Actor: p.name, Op: operation, Key: key, Value: value, Result: result}
	if result != history.Unknown {
		entry.End = p.hosts.world.Checker.Now()
	}
	p.hosts.recordEntry(entry)
}

// runWriter acquires the lease of the register when the lease is free, and writes to the register.
func (p *probeClient) runWriter() {
	register, token := "", coordination.FencingToken(0)
	for p.waitInterval() {
		if current := p.currentRegister(); current != register {
			register, token = current, 0
		}
		if token == 0 {
			if response, _ := p.call(client.Request{Kind: client.AcquireLease, Lease: register, Subject: p.name}); response != nil && response.Lease != nil && response.Lease.Holder == p.name {
				token = response.Lease.Token
			}
			continue
		}
		if p.rng.IntN(4) == 0 {
			p.call(client.Request{Kind: client.RenewLease, Lease: register, Token: token})
			continue
		}
		p.lastValue++
		value := fmt.Sprintf("%s-%d", p.name, p.lastValue)
		data, _ := json.Marshal(value)
		startTime := p.hosts.world.Checker.Now()
		switch response, err := p.call(client.Request{Kind: client.WriteCheckpoint, Lease: register, Subject: p.name, Token: token, Data: data}); {
		case err != nil:
			p.recordOperation(startTime, "write", register, value, history.Unknown)
		case response == nil: // not executed
		case response.Rejection != "":
			p.recordOperation(startTime, "write", register, value, history.Refused)
			token = 0
		default:
			p.recordOperation(startTime, "write", register, value, history.Done)
			if p.rng.IntN(12) == 0 { // another writer may acquire the lease
				p.call(client.Request{Kind: client.ReleaseLease, Lease: register, Subject: p.name, Token: token})
				token = 0
			}
		}
	}
}

// runReader reads the register from the replicated state.
func (p *probeClient) runReader() {
	for p.waitInterval() {
		register, startTime := p.currentRegister(), p.hosts.world.Checker.Now()
		response, err := p.call(client.Request{Kind: client.ReadState})
		if err != nil || response == nil || response.State == nil {
			continue
		}
		value := ""
		if lease := response.State.Leases[register]; lease != nil && lease.Checkpoint != nil {
			json.Unmarshal(lease.Checkpoint, &value)
		}
		p.recordOperation(startTime, "read", register, value, history.Done)
	}
}
