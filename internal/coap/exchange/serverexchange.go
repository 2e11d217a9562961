package exchange

import "time"

// serverExchange is a request from its first datagram until no duplicate of it can
// arrive, or a notification until it is acknowledged.
type serverExchange struct {
	messageKey
	handle         uint64
	token          []byte
	confirmable    bool
	unsafe         bool          // executing the request again may do harm
	received       time.Duration // time of the request
	responded      bool
	acknowledged   bool   // an empty acknowledgement was sent
	response       []byte // the datagram, within MaxDedupBytes
	separate       bool   // a separate response (section 5.2.2)
	responseID     uint16 // of a separate response or a notification
	transmission   transmission
	retransmitting bool // transmission is not acknowledged
	timer          *timer[*serverExchange]
	rejected       bool            // the client has sent a Reset
	notification   bool            // there is no request (RFC 7641)
	older          *serverExchange // links of the list of responded exchanges
	newer          *serverExchange
}

// exchangeList is a list of exchanges in the order of their responses.
type exchangeList struct{ oldest, newest *serverExchange }

func (l *exchangeList) push(exchange *serverExchange) {
	exchange.older, exchange.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = exchange
	} else {
		l.oldest = exchange
	}
	l.newest = exchange
}

func (l *exchangeList) remove(exchange *serverExchange) {
	if exchange.older != nil {
		exchange.older.newer = exchange.newer
	} else {
		l.oldest = exchange.newer
	}
	if exchange.newer != nil {
		exchange.newer.older = exchange.older
	} else {
		l.newest = exchange.older
	}
	exchange.older, exchange.newer = nil, nil
}

// respondedList returns the list that an exchange belongs to once it has its response.
func (s *Server) respondedList(exchange *serverExchange) *exchangeList {
	if exchange.unsafe {
		return &s.respondedUnsafe
	}
	return &s.respondedSafe
}

// expiry returns when no duplicate of the request can arrive any more.
func (s *Server) expiry(exchange *serverExchange) time.Duration {
	if exchange.confirmable {
		return exchange.received + s.params.ExchangeLifetime()
	}
	return exchange.received + s.params.NonLifetime()
}

// schedule sets the time at which an exchange has something to do next.
func (s *Server) schedule(exchange *serverExchange, deadline time.Duration) {
	s.timers.set(&exchange.timer, exchange, deadline)
}

// maxEvictionScan bounds the exchanges that evict passes over.
const maxEvictionScan = 8

// evict makes one entry available: it forgets the oldest safe exchange that has its
// response, or reduces the oldest unsafe one to a hash. It returns false where neither
// is possible.
func (s *Server) evict(now time.Duration) bool {
	if exchange := s.respondedSafe.oldest; exchange != nil {
		s.counts.Evicted++
		s.remove(exchange)
		return true
	}
	exchange := s.respondedUnsafe.oldest
	for range maxEvictionScan {
		if exchange == nil || !exchange.retransmitting {
			break
		}
		exchange = exchange.newer
	}
	if exchange == nil || exchange.retransmitting || !s.completed.add(now, exchange.messageKey, s.expiry(exchange)) {
		return false
	}
	s.counts.Compacted++
	s.remove(exchange)
	return true
}

// remove forgets an exchange.
func (s *Server) remove(exchange *serverExchange) {
	s.timers.cancel(&exchange.timer)
	if exchange.retransmitting {
		s.stopRetransmission(exchange)
	}
	if exchange.responded {
		s.respondedList(exchange).remove(exchange)
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
