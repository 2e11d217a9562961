// Package mutant introduces deliberate faults into the program to check that tests and experiments
// detect them. wrap.go wraps the decision module in faulty modules, which is cheap enough for every
// test run. table.go and run.go edit the source, one fault at a time, in a copy of the tree.
package mutant

import (
	"strings"
	"time"

	"otterspring/balance"
	"otterspring/internal/lab/virtual"
)

// ModuleMutant is a fault of the decision module that a wrapper or changed settings introduce.
type ModuleMutant struct {
	Name       string
	Defect     string // the violated rule or limit
	Experiment string // name of the experiment that must detect the fault
	Wrap       func(virtual.Module) virtual.Module
	Settings   func(*balance.Settings)
}

// ModuleMutants are the module mutants that every test run evaluates.
var ModuleMutants = []ModuleMutant{
	{
		Name: "unsafe-again", Experiment: "reset-storm",
		Defect: "rule 2: a non-idempotent request is retried although it may have been executed",
		Settings: func(s *balance.Settings) {
			for i := range s.Classes {
				if s.Classes[i].Idempotency == balance.NonIdempotent {
					s.Classes[i].Idempotency = balance.Idempotent
				}
			}
		},
	},
	{
		Name: "cold-unguarded", Experiment: "cold-return",
		Defect: "rule 4: servers skip slow start",
		Wrap:   func(m virtual.Module) virtual.Module { return &alwaysWarm{Module: m} },
	},
	{
		Name: "no-own-end", Experiment: "hang-and-drain",
		Defect: "rule 1: requests are not answered by their deadline",
		Wrap:   func(m virtual.Module) virtual.Module { return &lateDeadline{Module: m} },
		Settings: func(s *balance.Settings) {
			for i := range s.Classes {
				s.Classes[i].LatencyObjective = time.Hour
			}
		},
	},
	{
		Name: "never-ran", Experiment: "reset-storm",
		Defect: "rule 2: resets and errors count as proof that the request was not executed",
		Wrap:   func(m virtual.Module) virtual.Module { return &falseProof{Module: m} },
	},
	{
		Name: "no-budget", Experiment: "retry-storm",
		Defect: "the design: the retry budget never rejects a retry",
		Wrap:   func(m virtual.Module) virtual.Module { return newUnbudgeted(m) },
	},
	{
		Name: "drain-ignored", Experiment: "hang-and-drain",
		Defect: "rule 3: a draining server still gets requests",
		Wrap:   func(m virtual.Module) virtual.Module { return &drainBlind{Module: m} },
	},
	{
		Name: "tenant-blind", Experiment: "tenants",
		Defect: "limits: tenants are not told apart",
		Wrap:   func(m virtual.Module) virtual.Module { return &tenantBlind{Module: m} },
	},
}

// tenantBlind hides the tenant of each request.
type tenantBlind struct{ virtual.Module }

func (b *tenantBlind) Request(now time.Duration, q balance.Request, acts []balance.Action) []balance.Action {
	q.Tenant = ""
	return b.Module.Request(now, q, acts)
}

// alwaysWarm tells the module that every server started long ago.
type alwaysWarm struct{ virtual.Module }

func (w *alwaysWarm) Endpoints(
	now time.Duration, kind balance.ListKind, entries []balance.Server, acts []balance.Action,
) []balance.Action {
	for i := range entries {
		entries[i].StartTime = 0
	}
	return w.Module.Endpoints(now, kind, entries, acts)
}

// drainBlind reports draining servers to the module as ready.
type drainBlind struct{ virtual.Module }

func (u *drainBlind) Endpoints(
	now time.Duration, kind balance.ListKind, entries []balance.Server, acts []balance.Action,
) []balance.Action {
	for i := range entries {
		if entries[i].State == balance.Draining {
			entries[i].State = balance.Ready
		}
	}
	return u.Module.Endpoints(now, kind, entries, acts)
}

// lateDeadline extends the deadline of each request by one minute.
type lateDeadline struct{ virtual.Module }

func (e *lateDeadline) Request(now time.Duration, q balance.Request, acts []balance.Action) []balance.Action {
	q.Deadline += time.Minute
	return e.Module.Request(now, q, acts)
}

// falseProof reports attempts that ended with a reset or an error as partially written. A partial
// write proves that the request was not executed, but these requests may have been executed.
type falseProof struct{ virtual.Module }

func (n *falseProof) Outcome(now time.Duration, o balance.Outcome, acts []balance.Action) []balance.Action {
	if o.Status == balance.Reset || o.Status == balance.Error {
		o.Status = balance.PartialWrite
	}
	return n.Module.Outcome(now, o, acts)
}

// unbudgeted emulates a module whose retry budget never rejects a retry. When the module rejects a
// request, unbudgeted submits it again under another ID, which the budget counts as a first attempt.
// The caller sees a single request.
type unbudgeted struct {
	module     virtual.Module
	byModuleID map[string]*resentRequest // by the ID that the module sees
	byCallerID map[string]*resentRequest // by the ID that the caller uses
}

// resentRequest is a request of the caller with the state of its current submission to the module.
type resentRequest struct {
	request      balance.Request
	moduleID     string // current ID at the module
	resends      int
	firstAttempt int  // number that the caller uses for the first attempt under moduleID
	sentAttempts int  // attempts sent under all IDs
	failed       bool // the latest outcome was a failure
}

func newUnbudgeted(m virtual.Module) *unbudgeted {
	return &unbudgeted{module: m, byModuleID: map[string]*resentRequest{}, byCallerID: map[string]*resentRequest{}}
}

func (u *unbudgeted) Request(now time.Duration, q balance.Request, acts []balance.Action) []balance.Action {
	a := &resentRequest{request: q, moduleID: q.ID}
	u.byModuleID[q.ID], u.byCallerID[q.ID] = a, a
	return u.translate(now, u.module.Request(now, q, nil), acts)
}

func (u *unbudgeted) Outcome(now time.Duration, o balance.Outcome, acts []balance.Action) []balance.Action {
	a := u.byCallerID[o.Request]
	if a == nil || o.Number < a.firstAttempt {
		return acts
	}
	a.failed = o.Status != balance.OK && o.Status != balance.Cancelled
	done := o.Status == balance.OK
	o.Request, o.Number = a.moduleID, o.Number-a.firstAttempt
	acts = u.translate(now, u.module.Outcome(now, o, nil), acts)
	if done {
		u.forget(a)
	}
	return acts
}

func (u *unbudgeted) Timer(now time.Duration, token uint64, acts []balance.Action) []balance.Action {
	return u.translate(now, u.module.Timer(now, token, nil), acts)
}

func (u *unbudgeted) Endpoints(
	now time.Duration, kind balance.ListKind, entries []balance.Server, acts []balance.Action,
) []balance.Action {
	return u.translate(now, u.module.Endpoints(now, kind, entries, nil), acts)
}

func (u *unbudgeted) Disconnected(now time.Duration, id string, acts []balance.Action) []balance.Action {
	a := u.byCallerID[id]
	if a == nil {
		return acts
	}
	acts = u.translate(now, u.module.Disconnected(now, a.moduleID, nil), acts)
	u.forget(a)
	return acts
}

func (u *unbudgeted) forget(a *resentRequest) {
	delete(u.byModuleID, a.moduleID)
	delete(u.byCallerID, a.request.ID)
}

// maxResends bounds the submissions that unbudgeted adds to one request.
const maxResends = 6

// translate converts the module's actions to the caller's request IDs and attempt numbers. While
// time remains before the deadline, it replaces the rejection of a retry by another submission.
func (u *unbudgeted) translate(now time.Duration, from, acts []balance.Action) []balance.Action {
	for _, x := range from {
		a := u.byModuleID[x.Request]
		if a == nil {
			if x.Request == "" || !strings.Contains(x.Request, "~") {
				acts = append(acts, x)
			}
			continue
		}
		switch x.Kind {
		case balance.Send:
			x.Number += a.firstAttempt
			a.sentAttempts = x.Number + 1
		case balance.Cancel:
			x.Number += a.firstAttempt
		case balance.Reject, balance.Fail:
			if a.sentAttempts > a.firstAttempt && a.failed && a.resends < maxResends &&
				now+10*time.Millisecond < a.request.Deadline && (x.Kind == balance.Reject) {
				acts = u.resend(now, a, acts)
				continue
			}
			delete(u.byModuleID, a.moduleID)
			delete(u.byCallerID, a.request.ID)
		}
		x.Request = a.request.ID
		acts = append(acts, x)
	}
	return acts
}

func (u *unbudgeted) resend(now time.Duration, a *resentRequest, acts []balance.Action) []balance.Action {
	delete(u.byModuleID, a.moduleID)
	a.resends++
	a.firstAttempt, a.failed = a.sentAttempts, false
	a.moduleID = a.request.ID + "~" + string(rune('0'+a.resends))
	u.byModuleID[a.moduleID] = a
	q := a.request
	q.ID = a.moduleID
	return u.translate(now, u.module.Request(now, q, nil), acts)
}
