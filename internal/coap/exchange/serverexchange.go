package exchange

import (
	"time"

	"otterspring/internal/coap/intrusive"
)

// serverExchange is the state of a request or a notification. The state of a request is kept
// until no duplicate of the request can arrive. The state of a notification is kept until the
// notification is acknowledged or canceled.
type serverExchange struct {
	messageKey
	handle         uint64
	token          []byte
	confirmable    bool
	unsafe         bool          // the method is unsafe: a repeated execution may do harm
	received       time.Duration // when the request was received
	responded      bool
	acknowledged   bool   // an empty acknowledgement was sent
	response       []byte // cached datagram of the response, if any
	separate       bool   // the response is a separate one (section 5.2.2)
	responseID     uint16 // message ID of a separate response or a notification
	transmission   transmission
	retransmitting bool // the message in transmission is still being retransmitted
	timer          *timer[*serverExchange]
	resetReceived  bool // the client sent a Reset
	notification   bool // a notification without a request of its own (RFC 7641)
	links          intrusive.Links[serverExchange]
}

// exchangeList is a list of exchanges in the order of their responses.
type exchangeList = intrusive.List[serverExchange]

func newExchangeList() exchangeList {
	return intrusive.New(func(exchange *serverExchange) *intrusive.Links[serverExchange] { return &exchange.links })
}

// respondedList returns the list to which an exchange belongs once it has a response.
func (s *Server) respondedList(exchange *serverExchange) *exchangeList {
	if exchange.unsafe {
		return &s.respondedUnsafe
	}
	return &s.respondedSafe
}

// expiry returns the time after which no duplicate of the request can arrive.
func (s *Server) expiry(exchange *serverExchange) time.Duration {
	if exchange.confirmable {
		return exchange.received + s.params.ExchangeLifetime()
	}
	return exchange.received + s.params.NonLifetime()
}

// schedule sets the timer of an exchange.
func (s *Server) schedule(exchange *serverExchange, deadline time.Duration) {
	s.timers.set(&exchange.timer, exchange, deadline)
}

// maxEvictionScan is the maximum number of exchanges that evict skips.
const maxEvictionScan = 8

// evict frees one entry. It removes the oldest exchange of a safe method that has a
// response. If there is none, evict replaces the oldest exchange of an unsafe method that
// has a response with the hash of the exchange. It skips up to maxEvictionScan exchanges
// whose response is still being retransmitted. It returns false if nothing can be evicted.
func (s *Server) evict(now time.Duration) bool {
	if exchange := s.respondedSafe.Oldest(); exchange != nil {
		s.counts.Evicted++
		s.remove(exchange)
		return true
	}
	exchange := s.respondedUnsafe.Oldest()
	for range maxEvictionScan {
		if exchange == nil || !exchange.retransmitting {
			break
		}
		exchange = s.respondedUnsafe.Newer(exchange)
	}
	if exchange == nil || exchange.retransmitting || !s.completed.add(now, exchange.messageKey, s.expiry(exchange)) {
		return false
	}
	s.counts.Compacted++
	s.remove(exchange)
	return true
}

func (s *Server) remove(exchange *serverExchange) {
	s.timers.cancel(&exchange.timer)
	if exchange.retransmitting {
		s.stopRetransmission(exchange)
	}
	if exchange.responded {
		s.respondedList(exchange).Remove(exchange)
	} else {
		s.pending--
	}
	s.dedupBytes -= len(exchange.response)
	delete(s.byKey, exchange.messageKey)
	delete(s.byHandle, exchange.handle)
	if exchange.separate {
		delete(s.byResponseID, messageKey{exchange.peer, exchange.responseID})
	}
}
