package client

import (
	"slices"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/format"
	"otterspring/internal/coap/message"
	"otterspring/internal/coap/server"
)

// attempt is a request in flight. It has one exchange at a time. Block-wise transfers and
// Echo challenges take several exchanges in sequence.
type attempt struct {
	handle     uint64
	request    Request
	base       message.Message // the request without body, Block and Echo options
	upload     *block.Upload   // nil if the body fits in one message
	download   *block.Download
	withEcho   bool            // the exchange in flight carries an Echo option
	challenged bool            // the server has responded with an Echo challenge
	exchange   uint64          // handle of the exchange in flight
	bodySent   bool            // the last block was sent, so the server may execute the request
	response   message.Message // first message of the response; Code is 0 until it arrives
}

func newAttempt(handle uint64, request Request, settings *Settings) *attempt {
	att := &attempt{handle: handle, request: request, base: requestMessage(&request), download: block.NewDownload(settings.MaxBodySize)}
	if len(request.Body) > settings.BlockSize {
		att.upload = block.NewUpload(request.Body, settings.BlockSize)
	}
	return att
}

// message returns a copy of the base message with capacity for two more options: Block and
// Echo.
func (att *attempt) message() message.Message {
	msg := att.base
	msg.Options = slices.Grow(slices.Clip(att.base.Options), 2)
	return msg
}

// sendNext sends the request or the next block of its body.
func (c *Client) sendNext(now time.Duration, att *attempt) {
	msg := att.message()
	isLast := true
	if att.upload != nil {
		payload, b := att.upload.Block()
		msg.Payload, isLast = payload, att.upload.IsLast()
		msg.AddBlock(message.Block1, b)
	} else {
		msg.Payload = att.request.Body
	}
	c.addEcho(now, att, &msg)
	if isLast {
		att.bodySent = true
		c.actions = append(c.actions, Action{Kind: Commit, Handle: att.handle})
	}
	c.send(now, att, msg)
}

// addEcho adds the server's latest Echo value to a non-idempotent request unless the value
// is older than EchoLifetime.
func (c *Client) addEcho(now time.Duration, att *attempt, msg *message.Message) {
	att.withEcho = att.request.NonIdempotent && c.echo != nil && now-c.echoReceived < c.settings.EchoLifetime
	if att.withEcho {
		msg.Add(message.Echo, c.echo)
	}
}

// send starts an exchange. A message that can trigger the execution of a non-idempotent
// request is retransmitted only if the message carries an Echo option or the server is known
// to require one. The server then does not execute the request a second time after a restart.
func (c *Client) send(now time.Duration, att *attempt, msg message.Message) {
	c.lastExchange++
	att.exchange = c.lastExchange
	c.byExchange[att.exchange] = att
	sendOnce := att.request.NonIdempotent && att.bodySent && !att.withEcho && c.echoPolicy != echoRequired
	actions, ok := c.exchanges.Request(now, att.exchange, c.peer, msg, sendOnce, nil)
	if !ok {
		c.finish(att, Action{Outcome: NotSent})
		return
	}
	c.execute(now, actions)
}

func (c *Client) finish(att *attempt, action Action) {
	delete(c.byExchange, att.exchange)
	delete(c.byHandle, att.handle)
	action.Kind, action.Handle = Finish, att.handle
	c.actions = append(c.actions, action)
}

// handleFailure ends an attempt whose exchange has ended without a response.
func (c *Client) handleFailure(att *attempt, failure *exchange.Action) {
	switch {
	case att.response.Code != 0:
		c.finish(att, Action{Outcome: ErrorResponse}) // executed, but blocks of the response are missing
	case failure.Reason == exchange.NotSent:
		c.finish(att, Action{Outcome: NotSent})
	case !att.bodySent:
		c.finish(att, Action{Outcome: NotExecuted}) // servers execute a request after its last block
	case failure.Reason == exchange.Unreachable, isUnknownToServer(failure):
		c.finish(att, Action{Outcome: Unreachable})
	case failure.Reason == exchange.TimedOut:
		c.finish(att, Action{Outcome: TimedOut})
	case failure.Reason == exchange.PeerLost:
		c.finish(att, Action{Outcome: ServerLost})
	default:
		c.finish(att, Action{Outcome: Aborted})
	}
}

// isUnknownToServer reports whether a Reset proves that the server has not accepted a request:
// the Reset is the reaction to the only datagram. After two datagrams, the server may have
// executed the request on the first one and restarted before the second one.
func isUnknownToServer(failure *exchange.Action) bool {
	return failure.Reason == exchange.Rejected && failure.Transmissions <= 1 && !failure.Acknowledged
}

func (c *Client) handleResponse(now time.Duration, att *attempt, msg *message.Message) {
	if value, ok := msg.Get(message.Echo); ok {
		c.echo, c.echoReceived = value, now
	}
	if msg.Code == message.Unauthorized {
		c.handleUnauthorized(now, att, msg)
		return
	}
	if att.response.Code == 0 && att.upload != nil && c.continueUpload(now, att, msg) {
		return
	}
	switch {
	case att.bodySent && msg.Code.Class() == 2 && msg.Code != message.Continue:
		if att.request.NonIdempotent && !att.withEcho && c.echoPolicy == echoPolicyUnknown {
			c.echoPolicy = echoOptional
		}
		c.receiveBlock(now, att, msg)
	case !att.bodySent, isNotExecuted(msg):
		c.finish(att, Action{Outcome: NotExecuted})
	default:
		c.finish(att, Action{Outcome: ErrorResponse})
	}
}

// continueUpload handles the response to a block of the request body. It returns false if
// the message is the response to the whole request.
func (c *Client) continueUpload(now time.Duration, att *attempt, msg *message.Message) bool {
	more, err := att.upload.HandleResponse(msg)
	switch {
	case err != nil && att.bodySent:
		c.finish(att, Action{Outcome: ErrorResponse})
	case err != nil:
		c.finish(att, Action{Outcome: NotExecuted})
	case more:
		att.bodySent = false // the server may request smaller blocks even after the last one
		c.sendNext(now, att)
	default:
		return false
	}
	return true
}

// isNotExecuted reports whether a response confirms that the request was not executed.
func isNotExecuted(msg *message.Message) bool {
	_, ok := msg.Get(server.OptNotExecuted)
	return ok && (msg.Code == message.ServiceUnavailable || msg.Code == message.TooManyRequests)
}

// handleUnauthorized handles an Echo challenge (4.01). In response to a request without an
// Echo it proves that the request was not executed. In response to a request with an Echo it
// proves nothing: the server may have executed the request and restarted since.
func (c *Client) handleUnauthorized(now time.Duration, att *attempt, msg *message.Message) {
	_, hasEcho := msg.Get(message.Echo)
	switch {
	case !hasEcho, att.response.Code != 0:
		c.finish(att, Action{Outcome: ErrorResponse})
	case att.withEcho && att.bodySent:
		c.finish(att, Action{Outcome: ErrorResponse})
	case att.challenged:
		c.finish(att, Action{Outcome: NotExecuted}) // a second challenge; further challenges could follow without end
	default:
		att.challenged = true
		c.echoPolicy = echoRequired
		att.bodySent = false
		if att.upload != nil {
			att.upload = block.NewUpload(att.request.Body, c.settings.BlockSize)
		}
		c.sendNext(now, att)
	}
}

// receiveBlock handles a successful response or a block of one, and requests the next block.
func (c *Client) receiveBlock(now time.Duration, att *attempt, msg *message.Message) {
	next, more, err := att.download.HandleResponse(msg)
	if err != nil {
		c.finish(att, Action{Outcome: ErrorResponse})
		return
	}
	if att.response.Code == 0 {
		att.response = *msg
	}
	if more {
		request := att.message()
		request.AddBlock(message.Block2, next)
		c.addEcho(now, att, &request)
		c.send(now, att, request)
		return
	}
	result := Action{Outcome: Succeeded, Body: att.download.Body(), ContentFormat: format.None}
	if number, ok := att.response.Uint(message.ContentFormat); ok {
		result.ContentFormat = int(number)
	}
	c.finish(att, result)
}
