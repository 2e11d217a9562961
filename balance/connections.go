package balance

import "time"

// useConnection takes an idle connection to a server for an attempt. If there is none, it returns true, and the
// attempt opens a new connection.
func (b *Balancer) useConnection(s *server, now time.Duration) (isNew bool) {
	if isNew = !b.hasIdleConnection(s, now); isNew {
		s.idleSince = nil // all idle connections have expired
	} else {
		s.idleSince = s.idleSince[:len(s.idleSince)-1]
	}
	return isNew
}

// hasIdleConnection reports whether there is an unexpired idle connection to a server.
func (b *Balancer) hasIdleConnection(s *server, now time.Duration) bool {
	return len(s.idleSince) > 0 && now-s.idleSince[len(s.idleSince)-1] < b.settings.IdleTimeout
}

// closeLongestIdle closes the idle connections to the least recently used server. It is called for each refused
// connection, because servers limit the number of their connections, and idle connections keep other clients from
// connecting.
func (b *Balancer) closeLongestIdle(now time.Duration) {
	var oldest *server
	for _, s := range b.servers {
		if n := len(s.idleSince); b.hasIdleConnection(s, now) && (oldest == nil || s.idleSince[n-1] < oldest.idleSince[len(oldest.idleSince)-1]) {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.idleSince = nil
		b.emit(Action{Kind: CloseIdle, Server: oldest.ID})
	}
}
