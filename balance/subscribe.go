package balance

import "time"

// subscribeJitter is the upper bound of the random delay before the next subscription. After a failed call to the
// discovery service, half of subscribeJitter is added to this delay.
const subscribeJitter = 2 * time.Second

// scheduleSubscribe schedules the next subscription if Settings.Subscribe is set. The subscriptions of all
// balancers are spread out, because one discovery service receives them all. Changes of the list must be known
// within seconds. After a failed call, the duration of the call is therefore subtracted from the delay, but at
// least a fifth of the delay remains.
func (b *Balancer) scheduleSubscribe(now time.Duration, failed bool) {
	wait := time.Duration(b.rng.Float64() * float64(subscribeJitter))
	if failed {
		wait += subscribeJitter / 2
		if !b.subscribed {
			wait = max(wait-(now-b.nextSubscribe), wait/5)
		}
		b.subscribed = false // also if a timer is already set, since timerSubscribe does nothing while subscribed is true
	}
	if !b.settings.Subscribe || b.nextSubscribe > now {
		return
	}
	b.nextSubscribe = now + wait
	b.schedule(b.nextSubscribe, timerSubscribe, nil, 0)
}
