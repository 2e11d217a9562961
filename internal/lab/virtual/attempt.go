package virtual

import (
	"time"

	"otterspring/balance"
	"otterspring/internal/lab/invariant"
)

// send starts an attempt on an idle connection, or dials a new one.
func (p *process) send(req *request, action *balance.Action) {
	now := p.inst.sim.loop.now
	a := &attempt{proc: p, request: req, upstream: p.upstreams[action.Server], number: len(req.attempts), sentAt: now, deadline: now + action.Wait, sendDeadline: now + action.SendDeadline}
	req.expiresAt = clockOrigin + a.deadline
	req.attempts = append(req.attempts, a)
	req.openAttempts++
	p.openAttempts = append(p.openAttempts, a)
	p.checkRetryBudget(a.number > 0)
	if a.upstream == nil { // does not happen: the module picks servers from the list
		p.closeAttempt(a, balance.NeverSent)
		p.unreported = append(p.unreported, a)
		return
	}
	if conn := p.takeIdle(a.upstream); conn != nil {
		a.write(conn)
		return
	}
	a.dial()
}

// checkRetryBudget counts retries beyond the retry budget, independently of the module's own
// accounting. Within the window, the number of retries must stay below the larger of 2 and 20 % of
// the number of first attempts.
func (p *process) checkRetryBudget(isRetry bool) {
	const window, ratio, floor = 10 * time.Second, 0.2, 2.0
	now := p.inst.sim.loop.now
	dropExpired := func(times []time.Duration) []time.Duration {
		for len(times) > 0 && times[0] <= now-window {
			times = times[1:]
		}
		return times
	}
	if !isRetry {
		p.firstSends = append(dropExpired(p.firstSends), now)
		return
	}
	p.firstSends, p.retrySends = dropExpired(p.firstSends), dropExpired(p.retrySends)
	if float64(len(p.retrySends)) >= max(ratio*float64(len(p.firstSends)), floor) {
		p.inst.sim.counts.BudgetOver++
	}
	p.retrySends = append(p.retrySends, now)
}

// dial opens a connection.
func (a *attempt) dial() {
	p, s := a.proc, a.upstream.server
	sim := p.inst.sim
	address := a.upstream.address
	// An unreachable host does not respond, so only this timeout ends a dial to it.
	sim.loop.scheduleAfter(sim.spec.World.Sidecar.DialTimeout, func() {
		p.whenRunning(func() {
			if a.conn == nil && !a.ended && !a.written {
				p.handleAttemptEnd(a, balance.ConnectFailed)
			}
		})
	})
	if p.inst.partitioned(s, true) {
		return
	}
	sim.loop.scheduleAfter(sim.drawDelay(), func() {
		if s.unreachable || a.ended || p.ended {
			return
		}
		if p.inst.partitioned(s, false) {
			return
		}
		if !s.running || s.address != address {
			sim.loop.scheduleAfter(sim.drawDelay(), func() { p.whenRunning(func() { p.handleAttemptEnd(a, balance.ConnectFailed) }) })
			return
		}
		s.connOpened()
		c := &conn{upstream: a.upstream, incarnation: s.incarnation, unused: true, overCap: s.openConns > s.cfg.MaxConns}
		sim.loop.scheduleAfter(sim.drawDelay(), func() {
			p.whenRunning(func() {
				if a.ended || p.ended {
					// The attempt ended during the dial, so nothing was written on the connection.
					if p.ended {
						p.closeConn(c, nil)
					} else {
						p.putIdle(c)
					}
					return
				}
				a.write(c)
			})
		})
	})
}

// write writes the request on a connection. It holds back the last byte for lastByteDelay. It sends
// the last byte only if the connection is still open and sendDeadline has not passed.
func (a *attempt) write(c *conn) {
	p, s := a.proc, a.upstream.server
	sim := p.inst.sim
	a.conn = c
	arrived := false
	firstByteAt := time.Duration(0)
	fault := ""
	if !p.inst.partitioned(s, true) {
		sim.loop.scheduleAfter(sim.drawDelay(), func() {
			if s.unreachable || c.closed && a.ended {
				return
			}
			if c.incarnation != s.incarnation {
				// The server process that accepted the connection has ended.
				a.sendReset(c)
				return
			}
			arrived, firstByteAt = true, sim.loop.now
			fault = s.drawFault()
			if fault == "" && sim.spec.World.Network.Loss > 0 && sim.rng.Float64() < sim.spec.World.Network.Loss {
				fault = "reset-before"
			}
			if fault == "reset-before" {
				s.openConns--
				a.sendReset(c)
			}
		})
	}
	sim.loop.scheduleAfter(lastByteDelay, func() {
		p.whenRunning(func() {
			if a.ended || p.ended || c.closed {
				return
			}
			if sim.loop.now >= a.sendDeadline {
				p.handleAttemptEnd(a, balance.NeverSent)
				return
			}
			a.written = true
			if p.inst.partitioned(s, true) {
				return
			}
			sim.loop.scheduleAfter(sim.drawDelay(), func() {
				if s.unreachable || c.closed || fault == "reset-before" {
					return
				}
				if c.incarnation != s.incarnation {
					a.sendReset(c)
					return
				}
				if !arrived {
					firstByteAt = sim.loop.now
				}
				a.handleAtServer(c, fault, firstByteAt)
			})
		})
	})
}

// sendReset delivers a connection reset to the sidecar.
func (a *attempt) sendReset(c *conn) {
	p := a.proc
	c.closed = true
	if p.inst.partitioned(a.upstream.server, false) {
		return
	}
	p.inst.sim.loop.scheduleAfter(p.inst.sim.drawDelay(), func() {
		p.whenRunning(func() {
			if a.written {
				p.handleAttemptEnd(a, balance.Reset)
			} else {
				p.handleAttemptEnd(a, balance.PartialWrite)
			}
		})
	})
}

// sendAnswer delivers the server's answer to the sidecar. reusable tells whether
// the connection may carry another request afterwards.
func (a *attempt) sendAnswer(c *conn, status balance.Status, reusable bool, extraDelay time.Duration) {
	p, s := a.proc, a.upstream.server
	if s.unreachable || s.incarnation != c.incarnation || s.faultState.Hang && status != balance.AtCapacity || p.inst.partitioned(s, false) {
		return
	}
	p.inst.sim.loop.scheduleAfter(p.inst.sim.drawDelay()+extraDelay, func() {
		p.whenRunning(func() {
			ok := p.handleAttemptEnd(a, status)
			if c.closed {
				return
			}
			if ok && reusable {
				p.putIdle(c)
				return
			}
			p.closeConn(c, nil)
		})
	})
}

// handleAtServer handles the complete request at the server.
func (a *attempt) handleAtServer(c *conn, fault string, firstByteAt time.Duration) {
	s := a.upstream.server
	if c.overCap || fault == "refuse" {
		a.sendAnswer(c, balance.AtCapacity, !c.unused, 0)
		return
	}
	// The work of the handshake is added to the first request on a connection.
	handshake := time.Duration(0)
	if c.unused {
		c.unused, handshake = false, s.cfg.HandshakeWork
	}
	a.submit(c, fault, firstByteAt, handshake)
}

// submit enqueues the request at the server and arranges its answer.
func (a *attempt) submit(c *conn, fault string, firstByteAt, handshake time.Duration) {
	s := a.upstream.server
	cr := a.request.client
	idempotencyKey := ""
	if cr.class.Effect == invariant.IdempotentWithKey {
		idempotencyKey = cr.operationID
	}
	j := s.submit(a.request.id, cr.arrival.Key, idempotencyKey, &s.sim.serverClasses[cr.arrival.Class], firstByteAt, handshake)
	if j == nil {
		a.sendAnswer(c, balance.AtCapacity, handshake == 0, 0)
		return
	}
	a.job, a.jobIncarnation = j, s.incarnation
	submittedAt := s.sim.loop.now
	j.onDone = func() {
		a.job = nil
		if limit := s.cfg.ErrorsAfter; limit > 0 && s.sim.loop.now-submittedAt > limit {
			fault = "error"
		}
		switch fault {
		case "error":
			a.sendAnswer(c, balance.Error, true, 0)
		case "spoilt":
			a.sendAnswer(c, balance.Error, false, malformedAnswerDelay)
		case "reset-answer":
			a.resetByServer(c)
		default:
			a.sendAnswer(c, balance.OK, true, 0)
		}
	}
	s.startQueued()
	if fault == "reset-after" {
		// The request is complete, and its execution may have started. The reset stops the
		// execution, but an effect that was already executed remains.
		a.job = nil
		s.cancel(j, s.incarnation)
		a.resetByServer(c)
	}
}

// resetByServer resets the connection from the server's side.
func (a *attempt) resetByServer(c *conn) {
	if c.incarnation != a.upstream.server.incarnation || c.closed {
		return
	}
	a.upstream.server.openConns--
	a.sendReset(c)
}
