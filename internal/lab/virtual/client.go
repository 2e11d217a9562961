package virtual

import (
	"time"

	"otterspring/balance"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/clients"
)

// clientRequest is one request of a client, with all attempts that the client makes.
type clientRequest struct {
	inst        *instance
	arrival     clients.Arrival
	class       *clients.Class
	operationID string
	arrivedAt   time.Duration
	deadline    time.Duration
	attempts    int
}

// send makes one attempt.
func (cr *clientRequest) send() {
	sim := cr.inst.sim
	now := sim.loop.now
	_, share := cr.class.RetryPolicy(sim.spec.Load.MaxRetries, sim.spec.Load.AttemptTimeoutShare)
	wait := min(cr.deadline-now, time.Duration(share*float64(cr.class.Deadline)))
	abandonsEarly := sim.spec.Load.ImpatientShare > 0 && cr.inst.rng.Float64() < sim.spec.Load.ImpatientShare
	if abandonsEarly {
		wait = time.Duration((0.1 + 0.4*cr.inst.rng.Float64()) * float64(wait))
	}
	if wait <= 0 {
		cr.finish(clients.OutcomeNone)
		return
	}
	cr.attempts++
	p := cr.inst.listeningProcess()
	if p == nil {
		cr.retryOrFinish(clients.OutcomeNone, true, 0) // no process listens: the connection is refused
		return
	}
	id := cr.operationID + "." + itoa(cr.attempts-1)
	req := &request{id: id, client: cr, proc: p}
	sim.checker.RequestSent(id, cr.inst.name, cr.class.Effect, now, wait)
	sim.loop.scheduleAfter(wait, func() {
		if !req.clientDone {
			req.clientDone = true
			sim.checker.Abandoned(id, sim.loop.now)
			p.whenRunning(func() { p.clientDisconnected(req) })
			pause := time.Duration(0)
			if abandonsEarly {
				pause = time.Millisecond
			}
			cr.retryOrFinish(clients.OutcomeNone, cr.class.Effect == invariant.Idempotent, pause)
		}
	})
	q := balance.Request{ID: id, Class: cr.class.Name, Tenant: cr.tenantName(), Key: cr.arrival.Key, Deadline: now + wait, IsRetry: cr.attempts > 1 && !sim.spec.Load.OmitRetryHeader}
	p.whenRunning(func() { p.handleRequest(req, q) })
}

// tenantName returns the tenant of the request, or an empty string if it has none.
func (cr *clientRequest) tenantName() string {
	if cr.arrival.Tenant == 0 {
		return ""
	}
	return cr.inst.sim.spec.Load.Tenants[cr.arrival.Tenant-1].Name
}

// handleAnswer handles the final answer to an attempt.
func (cr *clientRequest) handleAnswer(req *request, kind balance.ActionKind, retryAfter time.Duration) {
	if req.clientDone {
		return
	}
	req.clientDone = true
	sim := cr.inst.sim
	switch kind {
	case balance.Send:
		sim.checker.Answered(req.id, invariant.Served, true, sim.loop.now)
		cr.finish(clients.OutcomeServed)
	case balance.Reject:
		sim.checker.Answered(req.id, invariant.Rejected, false, sim.loop.now)
		cr.retryOrFinish(clients.OutcomeRefused, true, retryAfter)
	default:
		sim.checker.Answered(req.id, invariant.Failed, false, sim.loop.now)
		cr.retryOrFinish(clients.OutcomeFailed, cr.class.Effect == invariant.Idempotent, 0)
	}
}

// handleDisconnect handles the loss of an attempt's connection before any answer.
func (cr *clientRequest) handleDisconnect(req *request) {
	if req.clientDone {
		return
	}
	req.clientDone = true
	cr.inst.sim.checker.ConnectionBroke(req.id, false, cr.inst.sim.loop.now)
	cr.retryOrFinish(clients.OutcomeFailed, cr.class.Effect != invariant.NonIdempotent, 0)
}

// retryOrFinish schedules a retry if mayRetry is true and the class's number of
// retries and the deadline allow one. Otherwise it finishes the request with
// outcome. A pause of 0 selects a random exponential backoff.
func (cr *clientRequest) retryOrFinish(outcome clients.Outcome, mayRetry bool, pause time.Duration) {
	sim := cr.inst.sim
	retries, _ := cr.class.RetryPolicy(sim.spec.Load.MaxRetries, sim.spec.Load.AttemptTimeoutShare)
	if !mayRetry || cr.attempts > retries {
		cr.finish(outcome)
		return
	}
	if pause == 0 {
		n := min(cr.attempts-1, 4)
		pause = time.Duration((10 + 70*cr.inst.rng.Float64()) * float64(time.Millisecond) * float64(int(1)<<n))
	}
	if sim.loop.now+pause >= cr.deadline {
		cr.finish(outcome)
		return
	}
	sim.loop.scheduleAfter(pause, cr.send)
}

// finish records the outcome of the request.
func (cr *clientRequest) finish(outcome clients.Outcome) {
	sim := cr.inst.sim
	sim.openArrivals--
	sim.samples = append(sim.samples, clients.Sample{At: cr.arrivedAt, Latency: sim.loop.now - cr.arrivedAt, Class: cr.arrival.Class, Tenant: cr.arrival.Tenant, OK: outcome == clients.OutcomeServed, Attempts: cr.attempts, Outcome: outcome})
}
