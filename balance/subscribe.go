package balance

import "time"

// subscribeJitter spreads first subscriptions evenly; later ones come half of it later.
const subscribeJitter = 2 * time.Second

// scheduleSubscribe plans the next subscription where the deployment needs one. They
// are spread out, since one discovery service gets them all. After a failed call the
// next is due soon, since changes have to be known within seconds: the duration of
// the call is taken off the delay.
func (b *Balancer) scheduleSubscribe(now time.Duration, failed bool) {
	wait := time.Duration(b.rng.Float64() * float64(subscribeJitter))
	if failed {
		wait += subscribeJitter / 2
		if !b.subscribed {
			wait = max(wait-(now-b.nextSubscribe), wait/5)
		}
		b.subscribed = false // also where a subscription is due already: it would be skipped
	}
	if !b.settings.Subscribe || b.nextSubscribe > now {
		return
	}
	b.nextSubscribe = now + wait
	b.schedule(b.nextSubscribe, timerSubscribe, nil, 0)
}
