package relay

import (
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
	proxy "otterspring/internal/lab/standin/relay"
)

// A relay that is cut from the council says how old it is, its subscribers move, and
// once the way is whole it catches up.
func TestCutFromCouncil(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	first := council.put(t, settingsA, "a")
	way, err := proxy.Start(council.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(way.Close)
	near, far := startProcess(t, "", way.Addr()), startProcess(t, "", council.address())
	near.holds(first)
	far.holds(first)
	subscribers := startFleet(t, 8, near.address, far.address)
	subscribers.hold(t, first)
	if err := way.Cut(true, true); err != nil {
		t.Fatal(err)
	}
	cut := bootTime()
	second := council.put(t, settingsB, "a")
	subscribers.hold(t, second)
	stale := configuration.DefaultSubscriber(2).StaleAge
	await(t, "an age at which subscribers move", func() bool {
		asked := bootTime()
		info, _ := near.info()
		if least := (asked - cut).Milliseconds(); info.Version != first || info.AgeMS < least {
			t.Fatalf("the relay that is cut off holds %v, %d ms old, wanted %v and %d at least", info.Version, info.AgeMS, first, least)
		}
		return info.AgeMS > stale.Milliseconds()
	})
	if err := way.Cut(false, false); err != nil {
		t.Fatal(err)
	}
	near.holds(second)
	await(t, "an age that is small again", func() bool { info, _ := near.info(); return info.AgeMS < time.Second.Milliseconds() })
	third := council.put(t, settingsA, "a")
	subscribers.hold(t, third)
	for _, s := range subscribers {
		await(t, s.name+" is back at the near relay", func() bool { return s.asks() == 0 })
	}
	subscribers.neverBack(t)
}
