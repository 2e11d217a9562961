package exchange

import (
	"errors"
	"time"

	"otterspring/internal/coap/message"
)

// ErrTooManyNotifications is returned by Notify if MaxPendingRequests notifications are
// unacknowledged.
var ErrTooManyNotifications = errors.New("exchange: too many notifications without an acknowledgement")

// Notify sends a confirmable notification with the token of an observation (RFC 7641,
// section 4.2) and returns its handle. If the client rejects the notification or does not
// acknowledge it, a Canceled action with this handle follows. Errors other than
// ErrTooManyNotifications are those of Message.Append.
func (s *Server) Notify(now time.Duration, peer Peer, token []byte, notification message.Message, actions []Action) ([]Action, uint64, error) {
	s.actions = actions
	if s.notifications >= s.limits.MaxPendingRequests {
		s.counts.CapacityRejections++
		return s.takeActions(), 0, ErrTooManyNotifications
	}
	notification.Type, notification.ID, notification.Token = message.Confirmable, s.nextID(peer), token
	datagram, err := notification.Append(nil)
	if err != nil {
		return s.takeActions(), 0, err
	}
	s.lastHandle++
	s.notifications++
	exchange := &serverExchange{
		messageKey: messageKey{peer: peer}, handle: s.lastHandle, notification: true, responseID: notification.ID,
		transmission: s.params.newTransmission(s.rng, datagram, now), retransmitting: true,
	}
	s.byResponseID[messageKey{peer, exchange.responseID}], s.byHandle[exchange.handle] = exchange, exchange
	s.schedule(exchange, exchange.transmission.deadline)
	s.send(peer, datagram)
	return s.takeActions(), exchange.handle, nil
}

// NotificationPending reports whether a notification is neither acknowledged nor
// canceled.
func (s *Server) NotificationPending(handle uint64) bool {
	exchange := s.byHandle[handle]
	return exchange != nil && exchange.retransmitting
}

func (s *Server) removeNotification(exchange *serverExchange) {
	s.timers.cancel(&exchange.timer)
	s.notifications--
	delete(s.byResponseID, messageKey{exchange.peer, exchange.responseID})
	delete(s.byHandle, exchange.handle)
}
