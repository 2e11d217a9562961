package server

import (
	"net/netip"
	"time"

	"otterspring/internal/coap/intrusive"
	"otterspring/internal/coap/message"
)

const (
	// observeRegister is the value of the Observe option that registers an observer (RFC
	// 7641, section 2).
	observeRegister = 0
	// sequenceMask limits the sequence number of notifications to 24 bits (RFC 7641, section
	// 4.4).
	sequenceMask = 0xffffff
)

// observation is a registered observer of a resource (RFC 7641). The resource is polled
// every ObserveInterval, and the client is notified when the response has changed.
type observation struct {
	key          observationKey
	message      message.Message // the registration request
	request      Request
	class        Class
	accept       int
	etag         string // ETag of the last response or notification
	sequence     uint32 // sequence number of the last response or notification
	due          time.Duration
	polling      bool
	notification uint64 // handle of the last notification's exchange; 0 if there is none
	links        intrusive.Links[observation]
}

// observationKey identifies an observation by endpoint and token (RFC 7641, section 3.1).
type observationKey struct {
	peer  netip.AddrPort
	token string
}

// observationQueue holds all observations. An observation is moved to the end of the list when
// it is polled. This keeps the order of due times, since all observations have the same
// interval.
type observationQueue struct {
	byKey          map[observationKey]*observation
	byNotification map[uint64]*observation
	byDue          intrusive.List[observation]
}

func newObservationQueue() observationQueue {
	return observationQueue{
		byKey: map[observationKey]*observation{}, byNotification: map[uint64]*observation{},
		byDue: intrusive.New(func(obs *observation) *intrusive.Links[observation] { return &obs.links }),
	}
}

// pushBack appends an observation to the queue.
func (q *observationQueue) pushBack(obs *observation, due time.Duration) {
	obs.due = due
	q.byDue.Push(obs)
}

func (q *observationQueue) remove(obs *observation) {
	if q.byKey[obs.key] != obs {
		return
	}
	delete(q.byKey, obs.key)
	delete(q.byNotification, obs.notification)
	q.byDue.Remove(obs)
}

// nextDue returns the time at which the first observation is due. It returns false if there is
// no observation.
func (q *observationQueue) nextDue() (time.Duration, bool) {
	first := q.byDue.Oldest()
	if first == nil {
		return 0, false
	}
	return first.due, true
}

// observe registers or deregisters an observer. If a registration is not accepted, the
// response has no Observe option, which tells the client that it is not registered.
func (s *Server) observe(now time.Duration, exec *execution, value uint32, request Request) {
	key := observationKey{exec.peer, string(exec.message.Token)}
	old := s.observations.byKey[key]
	if old != nil {
		s.observations.remove(old)
	}
	if value != observeRegister || s.draining {
		return
	}
	// An attacker could forge the source address to flood a victim with notifications.
	if !exec.freshEcho && !s.trusted(exec.peer) || len(s.observations.byKey) >= s.settings.MaxObservers {
		if s.settings.MaxObservers > 0 {
			s.counts.ObservationRejections++
		}
		return
	}
	obs := &observation{key: key, message: exec.message, request: request, class: exec.class, accept: exec.accept}
	if old != nil {
		obs.sequence = old.sequence
	}
	s.observations.byKey[key] = obs
	s.observations.pushBack(obs, now+s.settings.ObserveInterval)
	exec.observation = obs
}

// acceptObservation adds the Observe option to the response to a registration. An error
// response ends the observation (RFC 7641, section 4.2).
func (s *Server) acceptObservation(exec *execution, response Response, msg *message.Message) {
	obs := exec.observation
	if s.observations.byKey[obs.key] != obs {
		return
	}
	if msg.Code != message.Content && msg.Code != message.Valid {
		s.observations.remove(obs)
		return
	}
	obs.markNotified(response, msg)
}

// markNotified adds the Observe option with the next sequence number to msg. It stores the
// ETag of the response that is sent to the client.
func (obs *observation) markNotified(response Response, msg *message.Message) {
	obs.etag = string(entityTag(response.Body))
	obs.sequence++
	msg.AddUint(message.Observe, obs.sequence&sequenceMask)
}

// EndObservations notifies all observers that their observations have ended, so that they
// register again. After a handover, the successor process receives the new registrations,
// because it receives at the same address.
func (s *Server) EndObservations(now time.Duration, actions []Action) []Action {
	s.actions = actions
	for obs := s.observations.byDue.Oldest(); obs != nil; obs = s.observations.byDue.Oldest() {
		sent, _, err := s.exchanges.Notify(now, obs.key.peer, []byte(obs.key.token), rejection(message.ServiceUnavailable, 0), nil)
		if err == nil { // after an error, the observer detects the end by its own timeout
			s.execute(now, sent, 0)
		}
		s.observations.remove(obs)
	}
	return s.takeActions()
}

// cancelObservation ends the observation to which a notification belongs. It is called if the
// client has rejected the notification with a Reset (RFC 7641, section 3.6) or has not
// acknowledged the notification.
func (s *Server) cancelObservation(notification uint64) {
	if obs := s.observations.byNotification[notification]; obs != nil {
		s.observations.remove(obs)
	}
}

// poll submits a request for every observation that is due.
func (s *Server) poll(now time.Duration) {
	for obs := s.observations.byDue.Oldest(); obs != nil && obs.due <= now; obs = s.observations.byDue.Oldest() {
		s.observations.byDue.Remove(obs)
		s.observations.pushBack(obs, now+s.settings.ObserveInterval)
		if obs.polling || s.draining {
			continue
		}
		obs.polling = true
		request := obs.request
		request.ID = "" // every poll is a separate request with its own ID
		s.submit(&execution{peer: obs.key.peer, message: obs.message, class: obs.class, observation: obs, accept: obs.accept}, request)
	}
}

// handlePollResponse notifies an observer if the response has changed. A failed poll does
// not end the observation, since the next one may succeed.
func (s *Server) handlePollResponse(now time.Duration, exec *execution, response Response) {
	obs := exec.observation
	obs.polling = false
	if s.observations.byKey[obs.key] != obs || response.Outcome != Succeeded || string(entityTag(response.Body)) == obs.etag {
		return
	}
	// Only one notification is outstanding at a time; the next poll returns the latest
	// state (RFC 7641, section 4.5.2).
	if obs.notification != 0 && s.exchanges.NotificationPending(obs.notification) {
		return
	}
	msg := responseMessage(exec, response)
	if msg.Code != message.Content {
		return
	}
	obs.markNotified(response, &msg)
	if size := s.settings.Blocks.MaxBlockSize; len(msg.Payload) > size {
		// A notification has only the first block; the client requests the others (RFC 7959,
		// section 2.6).
		msg.AddBlock(message.Block2, message.Block{More: true, Size: size})
		msg.AddUint(message.Size2, uint32(len(msg.Payload)))
		msg.Payload = msg.Payload[:size]
	}
	delete(s.observations.byNotification, obs.notification)
	actions, handle, err := s.exchanges.Notify(now, obs.key.peer, []byte(obs.key.token), msg, nil)
	if err != nil {
		s.observations.remove(obs)
		return
	}
	obs.notification = handle
	s.observations.byNotification[handle] = obs
	s.counts.Notifications++
	s.execute(now, actions, 0)
}
