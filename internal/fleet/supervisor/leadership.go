package supervisor

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

const (
	// maxAcquireJitter is the maximum random delay that spreads the hosts' requests for a
	// vacant lease.
	maxAcquireJitter = 200 * time.Millisecond
	renewalsPerLease = 4 // number of renewals during one lease duration

	maxIdleCommandConnection = 30 * time.Second
)

// errLeaseHeld means that another process holds the lease.
var errLeaseHeld = errors.New("the lease is held by another process")

// stopReason is why a leadership ended.
type stopReason string

const (
	reasonLeaseExpired    stopReason = "the lease has ended"
	reasonNoOperation     stopReason = "no operation is left"
	reasonDiscoveryFailed stopReason = "discovery does not respond to this host"
)

var commandClient = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: maxIdleCommandConnection}}

// leadership is a period in which this process holds a lease. One goroutine renews the
// lease; any goroutine may check whether it is valid and send commands.
type leadership struct {
	supervisor     *Supervisor
	supervisorDone <-chan struct{} // closed when the supervisor ends
	lease, holder  string
	token          coordination.FencingToken
	length, margin time.Duration // duration and safety margin of the lease

	mu   sync.Mutex // guards term
	term coordination.Leadership
}

// acquireLease requests a lease. It returns errLeaseHeld if another process holds it.
func (s *Supervisor) acquireLease(ctx context.Context, lease, holder string) (*leadership, error) {
	sleep(ctx, time.Duration(rand.Int64N(int64(maxAcquireJitter))))
	requestedAt := bootclock.Now()
	response, err := s.request(ctx, client.Request{Kind: client.AcquireLease, Lease: lease, Subject: holder}, requestTimeout)
	if err != nil {
		return nil, err
	}
	if response.Lease == nil || response.Lease.Holder != holder {
		return nil, errLeaseHeld
	}
	l := &leadership{
		supervisor:     s,
		supervisorDone: ctx.Done(),
		lease:          lease,
		holder:         holder,
		token:          response.Lease.Token,
		length:         response.LeaseDuration(),
		margin:         response.SafetyMargin(),
	}
	l.term.Renew(requestedAt, l.token, l.length, l.margin)
	return l, nil
}

// runWithLease acquires a lease and calls work. The context of work ends with the
// leadership. If the lease can't be acquired, runWithLease returns without calling work.
func (s *Supervisor) runWithLease(ctx context.Context, lease, holder string, work func(context.Context, *leadership) stopReason) {
	l, err := s.acquireLease(ctx, lease, holder)
	if err != nil {
		s.log.Debug("lease not acquired", "lease", lease, "error", err)
		return
	}
	l.run(ctx, work)
}

// run calls work while the lease is being renewed, and releases the lease afterwards.
func (l *leadership) run(ctx context.Context, work func(context.Context, *leadership) stopReason) {
	log := l.supervisor.log
	log.Info("leadership acquired", "token", l.token, "lease", l.lease, "holder", l.holder)
	term, cancel := context.WithCancel(ctx)
	var renewal sync.WaitGroup
	renewal.Go(func() {
		defer cancel()
		l.renew(term)
	})
	reason := work(term, l)
	cancel()
	renewal.Wait()
	// The attribute "expired_for" is how long the lease had been expired when work returned. It
	// is 0 if the lease was valid.
	log.Info("leadership ended", "token", l.token, "lease", l.lease, "holder", l.holder, "reason", reason,
		"expired_for", l.term.ExpiredFor(bootclock.Now()).Round(time.Millisecond))
	release := client.Request{Kind: client.ReleaseLease, Lease: l.lease, Subject: l.holder, Token: l.token}
	if err := l.supervisor.submitWrite(ctx, release); err != nil {
		log.Debug("lease not released; it expires", "lease", l.lease, "token", l.token, "error", err)
	}
}

// valid reports whether the leader may send a command now. The lease may expire before the
// command arrives. In that case the host's fence rejects the command if the host knows a
// newer holder.
func (l *leadership) valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term.Valid(bootclock.Now())
}

// renew renews the lease until a renewal is rejected, the lease has expired, or ctx ends.
func (l *leadership) renew(ctx context.Context) {
	for l.valid() {
		sleep(ctx, l.length/renewalsPerLease)
		if ctx.Err() != nil {
			return
		}
		requestedAt := bootclock.Now()
		response, err := l.supervisor.request(ctx, client.Request{Kind: client.RenewLease, Lease: l.lease, Token: l.token}, l.length/2)
		if err != nil {
			continue
		}
		if response.Rejection != "" {
			return
		}
		l.mu.Lock()
		l.term.Renew(requestedAt, l.token, l.length, l.margin)
		l.mu.Unlock()
	}
}

// send sends a command to a host under this leadership's token. The host's fence decides
// whether the command is stale. The end of the leadership ends ctx but does not cancel a
// command in flight: canceling would not undo the command, and the outcome would be
// unknown. Only the end of the supervisor cancels a command in flight.
func (l *leadership) send(ctx context.Context, address string, command hostCommand) (*hostResponse, error) {
	command.Lease, command.Holder, command.Token = l.lease, l.holder, l.token
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	go func() { // ends once this call has returned and canceled ctx
		select {
		case <-l.supervisorDone:
			cancel()
		case <-ctx.Done():
		}
	}()
	response := &hostResponse{}
	endpoint := client.Endpoint{HTTP: &commandClient, Address: address, Path: hostCommandPath}
	if err := endpoint.PostJSON(ctx, command, response); err != nil {
		return nil, err
	}
	return response, nil
}
