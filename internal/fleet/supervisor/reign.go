package supervisor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/council"
	"otterspring/internal/fleet/council/ask"
)

// reign is this process while it owns a duty: its tenure, which it keeps, and its
// way to the receivers.
type reign struct {
	s             *Supervisor
	ctx           context.Context // of the supervisor: what was begun is not called back when the tenure ends
	duty, me      string
	epoch         council.Epoch
	lease, margin time.Duration

	mu     sync.Mutex
	tenure council.Tenure
}

// reign asks for a duty; nil where it is not given.
func (s *Supervisor) reign(ctx context.Context, duty, me string) *reign {
	pause(ctx, time.Duration(rand.Int64N(int64(200*time.Millisecond)))) // not all hosts at once
	asked := bootclock.Now()
	a, err := s.asks(ctx, ask.Question{Kind: council.Take, Duty: duty, Who: me}, effectFor)
	if err != nil || a.Duty == nil || a.Duty.Owner != me {
		return nil
	}
	r := &reign{s: s, ctx: ctx, duty: duty, me: me, epoch: a.Duty.Epoch, lease: a.Lease(), margin: a.Margin()}
	r.tenure.Renewed(asked, r.epoch, r.lease, r.margin)
	return r
}

// during does the duty's work while the tenure is kept, and gives it back. do
// returns why it has ended; its context ends with the tenure.
func (r *reign) during(ctx context.Context, do func(context.Context) string) {
	r.s.log.Info(fmt.Sprintf("council: %s owns %s under epoch %v", r.me, r.duty, r.epoch))
	own, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { defer end(); r.renew(own) })
	why := do(own)
	end()
	wg.Wait()
	r.s.log.Info(fmt.Sprintf("council: %s ends epoch %v of %s: %s (over for %v)", r.me, r.epoch, r.duty, why, r.tenure.Over(bootclock.Now()).Round(time.Millisecond)))
	r.s.asks(ctx, ask.Question{Kind: council.Give, Duty: r.duty, Who: r.me, Epoch: r.epoch}, effectFor)
}

// held tells whether an effect may be begun. It may have ended by the time at which
// the effect is there: receivers know that by the epoch.
func (r *reign) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tenure.Held(bootclock.Now())
}

// renew keeps the tenure until it is refused or over.
func (r *reign) renew(ctx context.Context) {
	for r.held() {
		pause(ctx, r.lease/4)
		if ctx.Err() != nil {
			return
		}
		asked := bootclock.Now()
		a, err := r.s.asks(ctx, ask.Question{Kind: ask.Renew, Duty: r.duty, Epoch: r.epoch}, r.lease/2)
		if err == nil && a.Refused != "" {
			return
		}
		if err == nil {
			r.mu.Lock()
			r.tenure.Renewed(asked, r.epoch, r.lease, r.margin)
			r.mu.Unlock()
		}
	}
}

// effectFor bounds one effect, and one question to the council.
const effectFor = 3 * time.Second

var effectClient = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}

// hostCommand wants something of one supervisor. A tenure that ends meanwhile does not
// call it back: that would not undo it, and its outcome would not be known. Whether
// it is too late the receiver decides.
func (r *reign) effect(address string, e hostCommand) (*hostResponse, error) {
	e.Lease, e.Holder, e.Token = r.duty, r.me, r.epoch
	ctx, cancel := context.WithTimeout(r.ctx, effectFor)
	defer cancel()
	t := &hostResponse{}
	return t, ask.Post(ctx, &effectClient, address, effectPath, "", e, t)
}
