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

// Limits of a region's configuration. Values that exceed them are rejected, not truncated,
// unless noted otherwise.
const (
	MaxServices                = 512         // resources in a region
	MaxSettingsBytes           = 8 << 10     // settings of one service
	MaxTotalSettingsBytes      = 3 << 20     // settings of all services together
	MaxNameBytes               = 64          // name of a service or subscriber, or ID of a change
	MaxReasonBytes             = 256         // reason of a rejection; longer reasons are truncated
	MaxPollBytes               = 64 << 10    // request body of a poll
	MaxResponseBytes           = 4 << 20     // response body of a poll
	MaxRejectionsPerSubscriber = 32          // rejections in a poll; further rejections are dropped
	MaxPollWait                = time.Minute // wait of a poll; longer waits are reduced to this limit
)

// Resource holds the settings of one service and the version of their last change.
type Resource struct {
	Service  string          `json:"service"`
	Version  Version         `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// byVersion compares resources by version.
func byVersion(a, b Resource) int { return cmp.Compare(a.Version, b.Version) }

// Update takes its receiver from version From to Version. If From is 0, it is a snapshot
// with all resources that the receiver subscribes to. Otherwise it is a delta with the
// subscribed resources that have changed since From, each once and in its newest version.
type Update struct {
	From      Version    `json:"from"`
	Version   Version    `json:"version"`
	Resources []Resource `json:"resources,omitempty"`
}

// IsSnapshot reports whether the update contains all resources that its receiver
// subscribes to.
func (u *Update) IsSnapshot() bool { return u.From == 0 }

// Subscription is the set of services whose settings a subscriber receives. A nil
// Subscription means all services, and an empty one means no services.
type Subscription []string

// Validate checks a received subscription.
func (s Subscription) Validate() error {
	if len(s) > MaxServices {
		return tooManyError("services", len(s), MaxServices)
	}
	named := make(map[string]bool, len(s))
	for i, service := range s {
		if err := ValidateName("service", service); err != nil {
			return fmt.Errorf("services[%d]: %w", i, err)
		}
		if named[service] {
			return invalidError(fmt.Sprintf("services[%d]", i), fmt.Sprintf("%q twice", service), "each once")
		}
		named[service] = true
	}
	return nil
}

// Digest returns a hash that stands for the subscription in polls, or 0 for all services.
// It depends on the order of the services.
func (s Subscription) Digest() uint64 {
	if s == nil {
		return 0
	}
	hash := fnv.New64a()
	for _, service := range s {
		hash.Write([]byte(service))
		hash.Write([]byte{0}) // separator; names contain no zero bytes
	}
	return max(1, hash.Sum64())
}

// Rejection reports that a subscriber could not apply a version of a service's settings
// and continues to use the previous ones.
type Rejection struct {
	Service string  `json:"service"`
	Version Version `json:"version"`
	Reason  string  `json:"reason"`
}

// isUnprintable reports whether a character is not allowed in a single line of text.
func isUnprintable(r rune) bool { return !unicode.IsPrint(r) }

// TruncateRejections returns the first MaxRejectionsPerSubscriber rejections, with each
// reason reduced to a single line of at most MaxReasonBytes. Polls that exceed these
// limits are not rejected, since an overlong reason must not cut off a subscriber from
// updates.
func TruncateRejections(rejections []Rejection) []Rejection {
	truncated := slices.Clone(rejections[:min(len(rejections), MaxRejectionsPerSubscriber)])
	for i := range truncated {
		truncated[i].Reason = truncateReason(truncated[i].Reason)
	}
	return truncated
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
	length := MaxReasonBytes
	for !utf8.RuneStart(line[length]) {
		length--
	}
	return line[:length]
}

// PollPath is the URL path at which a relay serves the polls of subscribers; the method
// is POST.
const PollPath = "/v1/configuration"

// Poll is a long poll by a subscriber. It acknowledges the version that the subscriber has
// applied and requests newer resources.
type Poll struct {
	// Region is the name of the coordination cluster whose configuration is requested.
	Region     string `json:"region"`
	Subscriber string `json:"subscriber"`
	// Services is the subscription: absent for all services, empty for none.
	Services Subscription `json:"services,omitzero"`
	// ServicesDigest replaces Services if the subscriber has sent the subscription to this
	// relay before; 0 if unused. The size of such a poll does not depend on the subscription.
	ServicesDigest uint64 `json:"services_digest,omitempty"`
	// Version is the newest version that the subscriber has applied; 0 requests a snapshot.
	Version Version `json:"version"`
	// Rejected holds a rejection for each resource up to Version that the subscriber has
	// received but could not apply.
	Rejected []Rejection `json:"rejected,omitempty"`
	// WaitMS is the maximum time in milliseconds that the relay may wait for an update.
	WaitMS int `json:"wait_ms"`
}

// Wait returns WaitMS as a duration, limited to the range from 0 to MaxPollWait.
func (p *Poll) Wait() time.Duration {
	return time.Duration(min(max(p.WaitMS, 0), int(MaxPollWait.Milliseconds()))) * time.Millisecond
}

// Validate checks a received poll. The reasons of rejections are not checked; see
// TruncateRejections.
func (p *Poll) Validate() error {
	if err := ValidateName("subscriber", p.Subscriber); err != nil {
		return err
	}
	if len(p.Rejected) > MaxServices {
		return tooManyError("rejected", len(p.Rejected), MaxServices)
	}
	for i := range p.Rejected {
		if err := ValidateName("service", p.Rejected[i].Service); err != nil {
			return fmt.Errorf("rejected[%d].%w", i, err)
		}
	}
	if p.WaitMS < 0 {
		return invalidError("wait_ms", fmt.Sprint(p.WaitMS), "0 or more")
	}
	if p.ServicesDigest != 0 && p.Services != nil {
		return invalidError("services_digest", "it together with services", "one of them")
	}
	return p.Services.Validate()
}

// ErrorCode states why a relay does not respond to a poll with an update.
type ErrorCode string

// The error codes that a relay returns.
const (
	CodeNotReady    ErrorCode = "not_ready" // the relay has not yet contacted the coordination cluster
	CodeBehind      ErrorCode = "behind"    // the subscriber has a newer version than the relay
	CodeBusy        ErrorCode = "busy"      // too many snapshots are in flight: retry after RetryAfterMS
	CodeFull        ErrorCode = "full"      // the relay already has MaxSubscribers subscribers
	CodeDraining    ErrorCode = "draining"  // the relay is shutting down: poll another one
	CodeWrongRegion ErrorCode = "region"    // the relay serves another region
	CodeInvalid     ErrorCode = "invalid"   // the poll is malformed
	// CodeUnknownServices means that the relay does not know ServicesDigest: repeat the
	// poll with Services.
	CodeUnknownServices ErrorCode = "unknown_services"
)

// PollResponse is a relay's response to a poll: either an update, possibly without
// resources, or an error code.
type PollResponse struct {
	Region string `json:"region"`
	// AgeMS is the time in milliseconds since the relay sent its latest call that got a
	// response from a cluster with a leader. The relay has all changes that were accepted
	// before it sent this call.
	AgeMS        int64     `json:"age_ms"`
	Update       *Update   `json:"update,omitempty"`
	ErrorCode    ErrorCode `json:"refusal,omitempty"`
	Reason       string    `json:"reason,omitempty"`   // details of ErrorCode, a single line
	RetryAfterMS int64     `json:"retry_ms,omitempty"` // with CodeBusy
}

// maxAge is the upper limit of PollResponse.Age. It also stands for invalid ages.
const maxAge = 365 * 24 * time.Hour

// Age returns AgeMS as a duration of at most maxAge. A negative AgeMS is invalid. Age then
// returns maxAge, and the response is considered stale.
func (r *PollResponse) Age() time.Duration {
	if r.AgeMS < 0 || r.AgeMS > maxAge.Milliseconds() {
		return maxAge
	}
	return time.Duration(r.AgeMS) * time.Millisecond
}
