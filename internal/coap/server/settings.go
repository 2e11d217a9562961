package server

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
)

// Options of this application, from the range for experiments (RFC 7252, section 12.2).
// Odd numbers are critical.
const (
	OptDeadline       message.Number = 65000 // elective, uint, milliseconds
	OptRequestID      message.Number = 65001 // critical, 1 to 256 bytes
	OptTenant         message.Number = 65004 // elective, text
	OptIdempotencyKey message.Number = 65005 // critical, 1 to 128 bytes
	OptAffinityKey    message.Number = 65008 // elective, text
	OptNotExecuted    message.Number = 65009 // of responses: provably not executed
	OptRetry          message.Number = 65012 // elective, empty
)

// Lengths of option values in bytes.
const (
	maxRequestIDLength      = 256
	maxIdempotencyKeyLength = 128
	maxTextLength           = 256
)

const (
	// maxAmplification bounds what is sent to an unverified source, as a multiple of the
	// bytes received from it (RFC 9175, section 2.4, item 3).
	maxAmplification = 3
	// emptyMessageSize is the size in bytes of an empty acknowledgement, which may have
	// been sent before a separate response.
	emptyMessageSize = 4
	// minBlockSize is the smallest size of a block in bytes (RFC 7959, section 2.2).
	minBlockSize = 16
	// drainRetryAfter is the Max-Age of a rejection while the server drains.
	drainRetryAfter = time.Second
	// linkFormat is the Content-Format of a directory (RFC 6690).
	linkFormat = 40
)

// errSettings wraps each error of Settings.
var errSettings = errors.New("coap: server settings")

// Idempotency says what executing a request of a class twice can do.
type Idempotency int

// The kinds of idempotency, with the method of the class.
const (
	Idempotent        Idempotency = iota // GET
	IdempotentWithKey                    // POST with an idempotency key
	NonIdempotent                        // POST that must not run twice
)

// Class is what the server needs of a class of requests.
type Class struct {
	Idempotency Idempotency
	Deadline    time.Duration // of requests that give none
}

// Settings are a server's bounds and secrets.
type Settings struct {
	Params  exchange.Params
	Limits  exchange.ServerLimits
	Blocks  block.Limits
	Classes map[string]Class // by the first segment of the path
	// MaxDeadlineRatio bounds a request's own deadline, as a multiple of its class's.
	MaxDeadlineRatio float64
	// MaxObservers bounds the observations of idempotent classes (RFC 7641), 0 for none.
	// Each is polled every ObserveInterval.
	MaxObservers    int
	ObserveInterval time.Duration
	// TrustedNetworks have sources that can't be forged: responses to them may have any
	// size without an Echo.
	TrustedNetworks []netip.Prefix
	// HistoryKnown means that no earlier process can have received a request that may
	// still be retransmitted: on a first start, after a graceful shutdown, or after a
	// handover with a table of exchanges.
	HistoryKnown bool
	// RequireEcho answers every non-idempotent request without a fresh Echo with 4.01
	// and a new Echo value: the policy of an upstream that lets its clients retransmit
	// safely across its restarts. HistoryKnown has no effect then.
	RequireEcho bool
	// EchoKey is the secret of the Echo values, of 16 bytes or more.
	EchoKey      []byte
	EchoLifetime time.Duration // how long an Echo value is fresh
	Seed         uint64        // of message IDs and tokens
}

func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("%w: Classes: found none, wanted one or more", errSettings)
	case s.MaxDeadlineRatio < 1:
		return fmt.Errorf("%w: MaxDeadlineRatio: found less than 1, wanted 1 or more", errSettings)
	case s.MaxObservers < 0 || s.MaxObservers > 0 && s.ObserveInterval <= 0:
		return fmt.Errorf("%w: MaxObservers: wanted 0, or more with ObserveInterval above 0", errSettings)
	}
	return nil
}
