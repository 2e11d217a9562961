package coapfront

import (
	"crypto/rand"
	"net/netip"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/block"
	"otterspring/internal/coap/caller"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/gate"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/operatorconfig"
)

const (
	// blockIdle is how long a block transfer may pause. It is as long as a message
	// may be repeated: a client that is slower than that has given up.
	blockIdle = 93 * time.Second
	// echoAge is how long an Echo value proves what it says.
	echoAge = 10 * time.Minute
	// echoFor is how long a call server's value is used: well under what servers
	// take, so that the round trip for a new one is paid ahead of a failure.
	echoFor = 10 * time.Second
	mostOut = 1024 // requests that one call server has at a time
)

// ServersFromOperator are the settings for call servers over CoAP.
func ServersFromOperator(o *operatorconfig.CoAP, seed uint64) caller.Settings {
	p := exchange.DefaultParams()
	p.AckTimeout = o.AckTimeout
	p.AckDelay = p.AckTimeout / 4
	return caller.Settings{
		Params: p, Limits: exchange.ClientLimits{MaxInFlight: mostOut, MaxDedupEntries: mostOut}, Body: dispatch.MaxBodySize, Block: 1024, EchoFor: echoFor, Seed: seed ^ 0x636c6e74,
	}
}

// FromOperator are the settings that the operator's file gives, for the classes
// that the platform gives. deadlineTimes bounds a request's own deadline as a
// multiple of its class's.
func FromOperator(o *operatorconfig.CoAP, all []balance.Class, deadlineTimes float64, seed uint64, bodies *dispatch.Budget) Settings {
	key := make([]byte, 32)
	rand.Read(key) // it never fails
	effects := map[balance.Idempotency]gate.Effect{balance.Idempotent: gate.Repeat, balance.IdempotentWithKey: gate.Keyed, balance.NonIdempotent: gate.Once}
	classes := map[string]gate.Class{}
	for _, c := range all {
		classes[c.Name] = gate.Class{Effect: effects[c.Idempotency], Deadline: c.Deadline}
	}
	var trusted []netip.Prefix
	for _, n := range o.TrustedNetworks {
		trusted = append(trusted, n.Prefix)
	}
	return Settings{Listen: o.Listen, Bodies: bodies, State: o.StatePath, Gate: gate.Settings{
		Params:  exchange.DefaultParams(),
		Limits:  exchange.ServerLimits{MaxPendingRequests: o.MaxPendingRequests, MaxDedupEntries: o.MaxDedupEntries, MaxDedupBytes: int(o.MaxDedupBytes), MaxCompletedUnsafe: o.MaxCompletedUnsafe},
		Blocks:  block.Limits{MaxTransfers: o.MaxTransfers, MaxBodySize: dispatch.MaxBodySize, MaxTotalSize: int(o.MaxTransferBytes), IdleTimeout: blockIdle, MaxBlockSize: 1024},
		Classes: classes, DeadlineTimes: deadlineTimes, Observers: o.MaxObservers, ObserveEvery: o.ObserveInterval,
		Trusted: trusted, Clean: o.FirstRun, EchoKey: key, EchoAge: echoAge, Seed: seed ^ 0x636f6170,
	}}
}
