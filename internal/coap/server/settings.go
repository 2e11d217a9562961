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

// Options of this application, from the range for experimental use (RFC 7252, section
// 12.2). Options with odd numbers are critical.
const (
	OptDeadline       message.Number = 65000 // elective, uint, milliseconds
	OptRequestID      message.Number = 65001 // critical, 1 to 256 bytes
	OptTenant         message.Number = 65004 // elective, text
	OptIdempotencyKey message.Number = 65005 // critical, 1 to 128 bytes
	OptAffinityKey    message.Number = 65008 // elective, text
	OptNotExecuted    message.Number = 65009 // critical, only in responses: the request was not executed
	OptRetry          message.Number = 65012 // elective, empty
)

// Maximum lengths of option values in bytes.
const (
	maxRequestIDLength      = 256
	maxIdempotencyKeyLength = 128
	maxTextLength           = 256
)

const (
	// maxAmplification is the largest number of bytes sent to an unverified source per byte
	// received from it (RFC 9175, section 2.4, item 3).
	maxAmplification = 3
	// emptyMessageSize is the size in bytes of an empty acknowledgement, which can precede
	// a separate response and counts towards the amplification limit.
	emptyMessageSize = 4
	// minBlockSize is the smallest block size in bytes (RFC 7959, section 2.2).
	minBlockSize = 16
	// drainRetryAfter is the Max-Age of a rejection during a drain.
	drainRetryAfter = time.Second
	// linkFormat is the Content-Format of application/link-format (RFC 6690).
	linkFormat = 40
)

// errSettings is wrapped by all validation errors of Settings.
var errSettings = errors.New("coap: server settings")

// Idempotency tells whether a request of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency, with the method that requests of the class have.
const (
	Idempotent        Idempotency = iota // GET
	IdempotentWithKey                    // POST with an idempotency key
	NonIdempotent                        // POST that must not be executed twice
)

// Class holds the properties of a request class that the server depends on.
type Class struct {
	Idempotency Idempotency
	Deadline    time.Duration // deadline of requests without OptDeadline
}

// Settings configure a Server.
type Settings struct {
	Params  exchange.Params
	Limits  exchange.ServerLimits
	Blocks  block.Limits
	Classes map[string]Class // by name, which is the first segment of the request path
	// MaxDeadlineRatio bounds OptDeadline as a multiple of the deadline of the class.
	MaxDeadlineRatio float64
	// MaxObservers bounds the observations of idempotent classes (RFC 7641). If it is 0,
	// observations are disabled. The resource of each observation is polled every
	// ObserveInterval.
	MaxObservers    int
	ObserveInterval time.Duration
	// TrustedNetworks are networks in which source addresses can't be forged. Clients in
	// these networks get responses of any size and may observe resources, both without an
	// Echo value.
	TrustedNetworks []netip.Prefix
	// HistoryKnown states that this process knows every request to earlier processes that
	// can still be retransmitted. This is the case on a first start, and after a graceful
	// shutdown or a handover that passed on the table of exchanges.
	HistoryKnown bool
	// RequireEcho makes the server respond with 4.01 and a new Echo value to every request
	// that has no fresh Echo value and whose class is not idempotent. Clients of such a
	// server can retransmit requests safely even if the server restarts. HistoryKnown then
	// has no effect.
	RequireEcho bool
	// EchoKey is the secret key of the Echo values, at least 16 bytes long.
	EchoKey      []byte
	EchoLifetime time.Duration // how long an Echo value is fresh
	Seed         uint64        // for the generation of message IDs and tokens
}

func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("%w: Classes must not be empty", errSettings)
	case s.MaxDeadlineRatio < 1:
		return fmt.Errorf("%w: MaxDeadlineRatio must be at least 1", errSettings)
	case s.MaxObservers < 0 || s.MaxObservers > 0 && s.ObserveInterval <= 0:
		return fmt.Errorf("%w: MaxObservers must not be negative, and requires ObserveInterval above 0 unless it is 0", errSettings)
	}
	return nil
}
