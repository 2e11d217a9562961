package configuration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Bounds of a region's configuration. What goes beyond is refused, not cut.
const (
	MaxServices                = 512         // resources of a region
	MaxSettingsBytes           = 8 << 10     // of one service's settings
	MaxTotalSettingsBytes      = 3 << 20     // of all settings together
	MaxNameBytes               = 64          // of a service, a subscriber or a change's id
	MaxReasonBytes             = 256         // of a rejection's reason
	MaxPollBytes               = 64 << 10    // of a subscriber's poll
	MaxResponseBytes           = 4 << 20     // of an answer to a poll
	MaxRejectionsPerSubscriber = 32          // that are kept of a subscriber
	MaxWait                    = time.Minute // of a poll; a longer one is taken as this
)

// Resource is the settings of one service under the version of their last change.
type Resource struct {
	Service  string          `json:"service"`
	Version  Version         `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// byVersion orders resources by their versions.
func byVersion(a, b Resource) int { return cmp.Compare(a.Version, b.Version) }

// Update brings its receiver from one version to another: a snapshot of all that the
// receiver subscribes to, where From is 0, or a delta, which names each subscribed
// resource that has changed since From once, at its newest.
type Update struct {
	From      Version    `json:"from"`
	Version   Version    `json:"version"`
	Resources []Resource `json:"resources,omitempty"`
}

// IsSnapshot tells whether an update names all that its receiver subscribes to.
func (u *Update) IsSnapshot() bool { return u.From == 0 }

// Subscription is the set of services that a subscriber wants to hear of. The nil
// subscription stands for all services.
type Subscription []string

// Validate tells what is wrong with a subscription that was received.
func (s Subscription) Validate() error {
	if len(s) > MaxServices {
		return fmt.Errorf("services: found %d, wanted %d at most", len(s), MaxServices)
	}
	named := make(map[string]bool, len(s))
	for i, service := range s {
		if err := ValidateName("service", service); err != nil {
			return fmt.Errorf("services[%d]: %w", i, err)
		}
		if named[service] {
			return fmt.Errorf("services[%d]: found %q twice, wanted each once", i, service)
		}
		named[service] = true
	}
	return nil
}

// Digest returns a number that stands for a subscription in polls; 0 for all services.
// Two subscriptions in other orders have other digests.
func (s Subscription) Digest() uint64 {
	if s == nil {
		return 0
	}
	hash := fnv.New64a()
	for _, service := range s {
		hash.Write([]byte(service))
		hash.Write([]byte{0}) // names have no zero byte
	}
	return max(1, hash.Sum64())
}

// Rejection says that a subscriber can't use a version of a service's settings, and
// keeps those that it had before.
type Rejection struct {
	Service string  `json:"service"`
	Version Version `json:"version"`
	Reason  string  `json:"reason"`
}

// isUnprintable tells which characters a line of text can't have.
func isUnprintable(r rune) bool { return !unicode.IsPrint(r) }

// TruncateRejections returns what is kept of rejections: MaxRejectionsPerSubscriber at most, each with
// a reason in one line of MaxReasonBytes at most. A poll that says more is not refused:
// its subscriber would be cut off for the wording of a reason.
func TruncateRejections(rejections []Rejection) []Rejection {
	bounded := slices.Clone(rejections[:min(len(rejections), MaxRejectionsPerSubscriber)])
	for i := range bounded {
		bounded[i].Reason = truncateReason(bounded[i].Reason)
	}
	return bounded
}

func truncateReason(reason string) string {
	line := strings.Map(func(r rune) rune {
		if isUnprintable(r) {
			return ' '
		}
		return r
	}, reason)
	if len(line) <= MaxReasonBytes {
		return line
	}
	end := MaxReasonBytes
	for !utf8.RuneStart(line[end]) {
		end--
	}
	return line[:end]
}

// PollPath is where a relay answers the polls of subscribers.
const PollPath = "/v1/configuration"

// Poll is one long poll of a subscriber: it acknowledges what it has in force, and
// asks for what is newer.
type Poll struct {
	// Region is the name of the council whose configuration is wanted.
	Region     string `json:"region"`
	Subscriber string `json:"subscriber"`
	// Services is the subscription; absent for all services, empty for none.
	Services Subscription `json:"services,omitzero"`
	// ServicesDigest stands in the place of Services in a poll of a subscriber that has
	// named them to this relay before: a poll does not grow with its subscription. 0 for
	// none.
	ServicesDigest uint64 `json:"services_digest,omitempty"`
	// Version is the newest that the subscriber has taken; 0 where it holds nothing
	// and wants a snapshot.
	Version Version `json:"version"`
	// RejectedVersion are the resources of that version which it can't use.
	Rejected []Rejection `json:"rejected,omitempty"`
	// WaitMS is for how long the answer may wait for news, in milliseconds.
	WaitMS int `json:"wait_ms"`
}

// Wait is WaitMS as a duration, MaxWait at most.
func (p *Poll) Wait() time.Duration {
	return time.Duration(min(max(p.WaitMS, 0), int(MaxWait.Milliseconds()))) * time.Millisecond
}

// Validate tells what is wrong with a poll that was received. Reasons of rejections may
// say anything: see TruncateRejections.
func (p *Poll) Validate() error {
	if err := ValidateName("subscriber", p.Subscriber); err != nil {
		return err
	}
	if len(p.Rejected) > MaxServices {
		return fmt.Errorf("rejected: found %d, wanted %d at most", len(p.Rejected), MaxServices)
	}
	for i := range p.Rejected {
		if err := ValidateName("service", p.Rejected[i].Service); err != nil {
			return fmt.Errorf("rejected[%d].%w", i, err)
		}
	}
	if p.WaitMS < 0 {
		return fmt.Errorf("wait_ms: found %d, wanted 0 or more", p.WaitMS)
	}
	if p.ServicesDigest != 0 && p.Services != nil {
		return fmt.Errorf("services_digest: found it beside services, wanted one of them")
	}
	return p.Services.Validate()
}

// ErrorCode is why a relay has no update for a poll.
type ErrorCode string

// The refusals of a relay.
const (
	CodeNotReady    ErrorCode = "not_ready" // it has not heard from a council yet
	CodeBehind      ErrorCode = "behind"    // the subscriber holds a newer version than the relay
	CodeBusy        ErrorCode = "busy"      // too many snapshots under way: come again after RetryAfterMS
	CodeFull        ErrorCode = "full"      // too many subscribers
	CodeDraining    ErrorCode = "draining"  // it ends: another relay is to be asked
	CodeWrongRegion ErrorCode = "region"    // it serves another region
	CodeInvalid     ErrorCode = "invalid"   // the poll can't be understood
	// CodeUnknownServices is of a digest that the relay does not know: the same poll is
	// to be sent again with its services.
	CodeUnknownServices ErrorCode = "unknown_services"
)

// PollResponse is a relay's answer to a poll: an update, which may bring nothing new,
// or a refusal.
type PollResponse struct {
	Region string `json:"region"`
	// AgeMS is how long ago the relay last heard from a council that has a leader, in
	// milliseconds: its update lacks no change that is older.
	AgeMS        int64     `json:"age_ms"`
	Update       *Update   `json:"update,omitempty"`
	ErrorCode    ErrorCode `json:"refusal,omitempty"`
	Reason       string    `json:"reason,omitempty"`   // of the refusal, in one line
	RetryAfterMS int64     `json:"retry_ms,omitempty"` // with CodeBusy
}

// maxAge stands for all ages above it, and for one that makes no sense.
const maxAge = 365 * 24 * time.Hour

// Age is AgeMS as a duration. A negative age makes no sense: the answer counts as
// stale.
func (a *PollResponse) Age() time.Duration {
	if a.AgeMS < 0 || a.AgeMS > maxAge.Milliseconds() {
		return maxAge
	}
	return time.Duration(a.AgeMS) * time.Millisecond
}

// ValidateName holds a name against its bounds: 1 to MaxNameBytes printable ASCII bytes
// without blanks.
func ValidateName(what, name string) error {
	good := name != "" && len(name) <= MaxNameBytes
	for i := 0; good && i < len(name); i++ {
		good = name[i] > ' ' && name[i] < 0x7f
	}
	if !good {
		return fmt.Errorf("%s: found %.80q, wanted 1 to %d printable bytes without blanks", what, name, MaxNameBytes)
	}
	return nil
}
