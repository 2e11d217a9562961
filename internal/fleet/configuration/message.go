package configuration

import (
	"encoding/json"
	"fmt"
	"time"
)

// Bounds of a region's configuration. What goes beyond is refused, not cut.
const (
	MaxServices      = 512      // resources of a region
	MaxSettingsBytes = 8 << 10  // of one service's settings
	MaxTotalBytes    = 3 << 20  // of all settings together
	MaxNameBytes     = 64       // of a service, a subscriber or a change's id
	MaxReasonBytes   = 256      // of a rejection's reason
	MaxPollBytes     = 64 << 10 // of a subscriber's poll
	MaxUpdateBytes   = 4 << 20  // of an answer to a poll
)

// Resource is the settings of one service under the version of their last change.
type Resource struct {
	Service  string          `json:"service"`
	Version  Version         `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// Update brings its receiver from one version to another: a snapshot of all that the
// receiver subscribes to, where From is 0, or a delta, which names each subscribed
// resource that has changed since From once, at its newest.
type Update struct {
	From      Version    `json:"from"`
	Version   Version    `json:"version"`
	Resources []Resource `json:"resources,omitempty"`
}

// Snapshot tells whether an update names all that its receiver subscribes to.
func (u *Update) Snapshot() bool { return u.From == 0 }

// Subscription is the set of services that a subscriber wants to hear of. The nil
// subscription stands for all services.
type Subscription []string

// Check tells what is wrong with a subscription that was received.
func (s Subscription) Check() error {
	if len(s) > MaxServices {
		return fmt.Errorf("services: found %d, wanted %d at most", len(s), MaxServices)
	}
	for i, service := range s {
		if err := CheckName("service", service); err != nil {
			return fmt.Errorf("services[%d]: %w", i, err)
		}
	}
	return nil
}

// Rejection says that a subscriber can't use a version of a service's settings, and
// keeps those that it had before.
type Rejection struct {
	Service string  `json:"service"`
	Version Version `json:"version"`
	Reason  string  `json:"reason"`
}

// PollPath is where a relay answers the polls of subscribers.
const PollPath = "/v1/configuration"

// Poll is one long poll of a subscriber: it acknowledges what it has in force, and
// asks for what is newer.
type Poll struct {
	// Region is the name of the council whose configuration is wanted.
	Region     string `json:"region"`
	Subscriber string `json:"subscriber"`
	// Services is the subscription; absent for all services.
	Services Subscription `json:"services,omitempty"`
	// Version is the newest that the subscriber has taken; 0 where it holds nothing
	// and wants a snapshot.
	Version Version `json:"version"`
	// Rejected are the resources of that version which it can't use.
	Rejected []Rejection `json:"rejected,omitempty"`
	// WaitMS is for how long the answer may wait for news, in milliseconds.
	WaitMS int `json:"wait_ms"`
}

// Check tells what is wrong with a poll that was received.
func (p *Poll) Check() error {
	if err := CheckName("subscriber", p.Subscriber); err != nil {
		return err
	}
	if len(p.Rejected) > MaxServices {
		return fmt.Errorf("rejected: found %d, wanted %d at most", len(p.Rejected), MaxServices)
	}
	for i, rejection := range p.Rejected {
		if len(rejection.Reason) > MaxReasonBytes {
			return fmt.Errorf("rejected[%d].reason: found %d bytes, wanted %d at most", i, len(rejection.Reason), MaxReasonBytes)
		}
	}
	if p.WaitMS < 0 {
		return fmt.Errorf("wait_ms: found %d, wanted 0 or more", p.WaitMS)
	}
	return p.Services.Check()
}

// Refusal is why a relay has no update for a poll.
type Refusal string

// The refusals of a relay.
const (
	RefusalNotReady Refusal = "not_ready" // it has not heard from a council yet
	RefusalBehind   Refusal = "behind"    // the subscriber holds a newer version than the relay
	RefusalBusy     Refusal = "busy"      // too many snapshots under way: come again after RetryMS
	RefusalFull     Refusal = "full"      // too many subscribers
	RefusalDraining Refusal = "draining"  // it ends: another relay is to be asked
	RefusalRegion   Refusal = "region"    // it serves another region
	RefusalInvalid  Refusal = "invalid"   // the poll can't be understood
)

// PollAnswer is a relay's answer to a poll: an update, which may bring nothing new,
// or a refusal.
type PollAnswer struct {
	Region string `json:"region"`
	// AgeMS is how long ago the relay last heard from a council that has a leader, in
	// milliseconds: its update lacks no change that is older.
	AgeMS   int64   `json:"age_ms"`
	Update  *Update `json:"update,omitempty"`
	Refusal Refusal `json:"refusal,omitempty"`
	Reason  string  `json:"reason,omitempty"`   // of the refusal, in one line
	RetryMS int64   `json:"retry_ms,omitempty"` // with RefusalBusy
}

// Age is AgeMS as a duration.
func (a *PollAnswer) Age() time.Duration { return time.Duration(a.AgeMS) * time.Millisecond }

// CheckName holds a name against its bounds: 1 to MaxNameBytes printable ASCII bytes
// without blanks.
func CheckName(what, name string) error {
	good := name != "" && len(name) <= MaxNameBytes
	for i := 0; good && i < len(name); i++ {
		good = name[i] > ' ' && name[i] < 0x7f
	}
	if !good {
		return fmt.Errorf("%s: found %.80q, wanted 1 to %d printable bytes without blanks", what, name, MaxNameBytes)
	}
	return nil
}
