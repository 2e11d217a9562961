package exchange

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// requestIDSize is the size in bytes of the beginning of a datagram that identifies a
	// request: header, which includes the message ID, and token.
	requestIDSize = 4 + tokenSize
	// lossGrace is how long a request waits for a response or a refusal that is already on its
	// way when the loss of its server shows.
	lossGrace = 20 * time.Millisecond
)

// PeerUnreachable processes an ICMP message by which a server's host refuses a datagram,
// because no process receives at the server's port. quoted is the beginning of the refused
// datagram. ICMP messages quote a part of it at least as long as the UDP header (RFC 792), so
// quoted may be empty. It is not retained.
//
// A refusal proves something about the quoted datagram only. A request whose only datagram was
// refused fails at once with Unreachable: no server has received it. A request that was sent
// before the refused datagram may be in process or processed, although the process that
// received it is lost. It fails with PeerLost after lossGrace, unless its response, its
// acknowledgement or its own refusal arrives by then. A request that was sent after the
// refused datagram is not affected, since a new process may have received it. If the refused
// datagram is not known, any request may have been sent before it.
func (c *Client) PeerUnreachable(now time.Duration, peer Peer, quoted []byte, actions []Action) []Action {
	c.actions = actions
	c.counts.Refusals++
	refused := c.requestOf(peer, quoted)
	switch {
	case refused == nil:
		c.counts.UnknownRefusals++
		c.expectLoss(now, peer, c.requestsSent)
	case refused.sent == 1:
		if refused.state == stateSent {
			c.fail(now, refused, Unreachable)
		}
		c.expectLoss(now, peer, refused.firstSent)
	default:
		// It is not known which of its datagrams was refused. The server may have received
		// another one.
		c.setLossDeadline(now, refused)
		c.expectLoss(now, peer, refused.firstSent)
	}
	return c.takeActions()
}

// SendFailed processes the failure to send the datagram of a Send action. A request of which
// no datagram has left this machine fails: with NotSent if the failure is a local fault, with
// Unreachable if it concerns the server. Any other datagram counts as lost in the network.
func (c *Client) SendFailed(now time.Duration, peer Peer, datagram []byte, localFault bool, actions []Action) []Action {
	c.actions = actions
	c.counts.SendFailures++
	unsent := c.requestOf(peer, datagram)
	if unsent == nil {
		return c.takeActions()
	}
	unsent.sent--
	if unsent.sent > 0 {
		return c.takeActions()
	}
	reason := Unreachable
	if localFault {
		reason = NotSent
	}
	c.fail(now, unsent, reason)
	return c.takeActions()
}

// requestOf returns the request in flight of which a datagram begins with prefix. It returns
// nil if there is none, or if prefix is too short to identify it.
func (c *Client) requestOf(peer Peer, prefix []byte) *clientExchange {
	if len(prefix) < requestIDSize {
		return nil
	}
	token := binary.BigEndian.Uint64(prefix[requestIDSize-tokenSize:])
	exchange := c.byToken[tokenKey{peer, token}]
	if exchange == nil || !bytes.HasPrefix(exchange.transmission.datagram, prefix[:requestIDSize]) {
		return nil
	}
	return exchange
}

// expectLoss sets the loss deadlines, where they are not set, of the requests to a server whose
// latest datagram has at most the position last.
func (c *Client) expectLoss(now time.Duration, peer Peer, last uint64) {
	var lost []*clientExchange
	for _, exchange := range c.byHandle {
		if exchange.peer == peer && exchange.state == stateSent && exchange.lossDeadline == 0 && exchange.lastSent <= last {
			lost = append(lost, exchange)
		}
	}
	slices.SortFunc(lost, func(a, b *clientExchange) int { return cmp.Compare(a.firstSent, b.firstSent) })
	for _, exchange := range lost {
		c.setLossDeadline(now, exchange)
	}
}

// setLossDeadline sets the loss deadline of a request unless it is set.
func (c *Client) setLossDeadline(now time.Duration, exchange *clientExchange) {
	if exchange.lossDeadline == 0 {
		exchange.lossDeadline = now + lossGrace
		c.schedule(exchange)
	}
}

// isLost reports whether the request fails because its server is lost.
func (x *clientExchange) isLost(now time.Duration) bool {
	return x.state == stateSent && x.lossDeadline > 0 && x.lossDeadline <= now
}
