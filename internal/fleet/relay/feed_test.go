package relay

import (
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
)

// A newer version wakes whom it is news to, and nobody else.
func TestWhoIsWoken(t *testing.T) {
	t.Parallel()
	held := configuration.NewVersion(1, 2)
	newer, restored := held+1, configuration.NewVersion(2, 1)
	resource := func(service string, version configuration.Version) configuration.Resource {
		return configuration.Resource{Service: service, Version: version, Settings: []byte(settingsA)}
	}
	snapshot := configuration.Update{Version: held, Resources: []configuration.Resource{resource("a", held-1), resource("b", held)}}
	for name, c := range map[string]struct {
		poll   configuration.Poll
		update configuration.Update
		woken  bool
	}{
		"subscribed":     {configuration.Poll{Version: held, Services: configuration.Subscription{"c", "a"}}, configuration.Update{From: held, Version: newer, Resources: []configuration.Resource{resource("a", newer)}}, true},
		"not subscribed": {configuration.Poll{Version: held, Services: configuration.Subscription{"b", "c"}}, configuration.Update{From: held, Version: newer, Resources: []configuration.Resource{resource("a", newer)}}, false},
		"all services":   {configuration.Poll{Version: held}, configuration.Update{From: held, Version: newer, Resources: []configuration.Resource{resource("a", newer)}}, true},
		"no services":    {configuration.Poll{Version: held, Services: configuration.Subscription{}}, configuration.Update{From: held, Version: newer, Resources: []configuration.Resource{resource("a", newer)}}, false},
		"was ahead":      {configuration.Poll{Version: newer, Services: configuration.Subscription{"b"}}, configuration.Update{From: held, Version: newer, Resources: []configuration.Resource{resource("a", newer)}}, true},
		"restored":       {configuration.Poll{Version: held, Services: configuration.Subscription{"c"}}, configuration.Update{Version: restored, Resources: []configuration.Resource{resource("a", restored)}}, true},
		"nothing new":    {configuration.Poll{Version: held}, configuration.Update{From: held, Version: held}, false},
	} {
		f := newFeed()
		if err := f.take(time.Second, snapshot); err != nil {
			t.Fatal(err)
		}
		w := &waiter{poll: &c.poll, news: make(chan struct{}, 1)}
		if seen := f.look(w); seen.stands != current && seen.stands != behind {
			t.Fatalf("%s: found standing %v, wanted one that waits", name, seen.stands)
		}
		if err := f.take(2*time.Second, c.update); err != nil {
			t.Fatal(err)
		}
		if woken := len(w.news) == 1; woken != c.woken {
			t.Errorf("%s: woken %v, wanted %v", name, woken, c.woken)
		}
		if _, heard := f.state(); heard.at != 2*time.Second {
			t.Errorf("%s: heard at %v", name, heard.at)
		}
	}
}
