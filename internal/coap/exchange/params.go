package exchange

import (
	"errors"
	"fmt"
	"time"
)

// Params are the transmission parameters (RFC 7252, section 4.8).
type Params struct {
	AckTimeout    time.Duration // minimum initial retransmission timeout (ACK_TIMEOUT)
	RandomFactor  float64       // maximum initial timeout, as a multiple of AckTimeout (ACK_RANDOM_FACTOR)
	MaxRetransmit int           // maximum retransmissions of a confirmable message (MAX_RETRANSMIT)
	MaxLatency    time.Duration // maximum time that a datagram spends in the network (MAX_LATENCY)
	// NStart limits the outstanding interactions with one server (NSTART, section 4.7).
	// The RFC's value of 1 is meant for the Internet. Call servers in the same network,
	// whose load is limited by other means, can handle more.
	NStart int
	// AckDelay is how long a server waits for the response before it sends an empty
	// acknowledgement. A response within AckDelay is piggybacked on the acknowledgement.
	// It must be well below AckTimeout; otherwise clients retransmit needlessly.
	AckDelay time.Duration
}

// DefaultParams returns the RFC's default values. The RFC does not define AckDelay; its
// default is a quarter of AckTimeout.
func DefaultParams() Params {
	return Params{
		AckTimeout: 2 * time.Second, RandomFactor: 1.5, MaxRetransmit: 4, MaxLatency: 100 * time.Second,
		NStart: 1, AckDelay: 500 * time.Millisecond,
	}
}

// Upper bounds of parameters that the RFC does not limit.
const (
	maxRandomFactor  = 10
	maxMaxRetransmit = 20
)

// Errors of NewClient and NewServer.
var (
	ErrParams = errors.New("exchange: parameter out of range")
	ErrLimits = errors.New("exchange: limits out of range")
)

func (p *Params) validate() error {
	switch {
	case p.AckTimeout <= 0:
		return fmt.Errorf("%w: AckTimeout: found %v, expected more than 0", ErrParams, p.AckTimeout)
	case !(p.RandomFactor >= 1 && p.RandomFactor <= maxRandomFactor): // also rejects NaN
		return fmt.Errorf("%w: RandomFactor: found %v, expected 1 to %d", ErrParams, p.RandomFactor, maxRandomFactor)
	case p.MaxRetransmit < 0 || p.MaxRetransmit > maxMaxRetransmit:
		return fmt.Errorf("%w: MaxRetransmit: found %d, expected 0 to %d", ErrParams, p.MaxRetransmit, maxMaxRetransmit)
	case p.NStart < 1:
		return fmt.Errorf("%w: NStart: found %d, expected 1 or more", ErrParams, p.NStart)
	case p.AckDelay <= 0 || p.AckDelay >= p.AckTimeout:
		return fmt.Errorf("%w: AckDelay: found %v, expected more than 0 and less than AckTimeout, %v", ErrParams, p.AckDelay, p.AckTimeout)
	case p.MaxLatency < 0:
		return fmt.Errorf("%w: MaxLatency: found %v, expected 0 or more", ErrParams, p.MaxLatency)
	}
	return nil
}

// MaxTransmitSpan is the maximum time from the first transmission of a confirmable
// message to its last (MAX_TRANSMIT_SPAN, section 4.8.2): 45 s by default.
func (p *Params) MaxTransmitSpan() time.Duration {
	return time.Duration(float64(p.AckTimeout) * float64(int(1)<<p.MaxRetransmit-1) * p.RandomFactor)
}

// MaxTransmitWait is the maximum time from the first transmission until the sender stops
// waiting for an acknowledgement (MAX_TRANSMIT_WAIT): 93 s by default.
func (p *Params) MaxTransmitWait() time.Duration {
	return time.Duration(float64(p.AckTimeout) * float64(int(1)<<(p.MaxRetransmit+1)-1) * p.RandomFactor)
}

// ExchangeLifetime is the time during which a duplicate of a confirmable message may
// arrive and its message ID must not be reused (EXCHANGE_LIFETIME): 247 s by default.
func (p *Params) ExchangeLifetime() time.Duration {
	return p.MaxTransmitSpan() + 2*p.MaxLatency + p.AckTimeout
}

// NonLifetime is the time during which a duplicate of a non-confirmable message may arrive
// and its message ID must not be reused (NON_LIFETIME): 145 s by default.
func (p *Params) NonLifetime() time.Duration { return p.MaxTransmitSpan() + p.MaxLatency }
