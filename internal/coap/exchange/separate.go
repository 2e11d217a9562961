package exchange

import (
	"time"

	"otterspring/internal/coap/message"
)

// seenResponse records a separate response. Duplicates of it are acknowledged but not
// returned again.
type seenResponse struct {
	messageKey
	at time.Duration
}

// acceptSeparate acknowledges or rejects a separate response. It reports whether the
// response matches a request and is not a duplicate.
func (c *Client) acceptSeparate(now time.Duration, peer Peer, response *message.Message, matches bool) bool {
	c.expireResponses(now)
	key := messageKey{peer, response.ID}
	duplicate := c.seenResponses[key]
	reply := message.Acknowledgement
	switch {
	case duplicate:
		c.counts.Duplicates++
	case matches:
		c.recordResponse(now, key)
	case response.Type == message.Confirmable:
		reply = message.Reset
	default:
		c.counts.Dropped++
	}
	if response.Type == message.Confirmable {
		c.send(peer, emptyMessage(reply, response.ID))
	}
	return matches && !duplicate
}

// recordResponse records a separate response to detect duplicates. At the limit, the
// oldest record is removed; a duplicate of that response is then rejected with a Reset,
// which ends its retransmission by the server.
func (c *Client) recordResponse(now time.Duration, key messageKey) {
	if len(c.responsesByAge) >= c.limits.MaxDedupEntries {
		c.removeOldestResponse()
	}
	c.seenResponses[key] = true
	c.responsesByAge = append(c.responsesByAge, seenResponse{key, now})
}

// expireResponses removes the records of responses whose duplicates can't arrive any more.
func (c *Client) expireResponses(now time.Duration) {
	for len(c.responsesByAge) > 0 && now-c.responsesByAge[0].at >= c.params.ExchangeLifetime() {
		c.removeOldestResponse()
	}
}

func (c *Client) removeOldestResponse() {
	delete(c.seenResponses, c.responsesByAge[0].messageKey)
	c.responsesByAge = c.responsesByAge[1:]
}
