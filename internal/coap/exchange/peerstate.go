package exchange

import "time"

// maxPeers limits the number of servers whose message IDs are tracked.
const maxPeers = 4096

// peerState is a Client's state for one server.
type peerState struct {
	outstanding int // number of outstanding interactions (RFC 7252, section 4.7)
	queued      []*clientExchange
	ids         messageIDs
}

// removable reports whether the state can be removed: nothing is in flight, and all
// message IDs may be reused.
func (p *peerState) removable(now, lifetime time.Duration) bool {
	return p.outstanding == 0 && len(p.ids.inUse) == 0 && len(p.queued) == 0 && now-p.ids.lastAssigned >= lifetime
}

// peerState returns the state for a server and creates the state if necessary. The state is
// kept until all message IDs that were sent to the server may be reused. peerState returns
// nil if a new state would exceed maxPeers.
func (c *Client) peerState(now time.Duration, peer Peer) *peerState {
	if known := c.peers[peer]; known != nil {
		return known
	}
	if len(c.peers) >= maxPeers {
		for other, state := range c.peers {
			if state.removable(now, c.params.ExchangeLifetime()) {
				delete(c.peers, other)
			}
		}
		if len(c.peers) >= maxPeers {
			return nil
		}
	}
	added := &peerState{ids: newMessageIDs(now, uint16(c.rng.Uint32()))}
	c.peers[peer] = added
	return added
}
