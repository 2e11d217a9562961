package clients

import (
	"context"
	"strings"
	"time"

	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
	"otterspring/internal/coap/server"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/coapclient"
)

// openDevices opens the CoAP endpoints of the clients.
func (c *Clients) openDevices() error {
	if c.cfg.CoAP == "" {
		return nil
	}
	n := c.cfg.Devices
	if n == 0 {
		n = 8
	}
	p := exchange.DefaultParams()
	// The devices are on the sidecar's network and their deadlines are well under a second,
	// so they retransmit sooner than by the defaults for the Internet (RFC 7252, section
	// 4.8.1).
	p.AckTimeout, p.AckDelay, p.NStart = 100*time.Millisecond, 25*time.Millisecond, 256
	for i := range n {
		d, err := coapclient.Dial(coapclient.Config{Server: c.cfg.CoAP, Params: p, NoEcho: c.cfg.NoEcho, Seed: c.cfg.Seed + uint64(i)*7919})
		if err != nil {
			return err
		}
		c.devices = append(c.devices, d)
	}
	return nil
}

func (c *Clients) closeDevices() {
	for _, d := range c.devices {
		d.Close()
	}
}

// Retransmits returns the number of datagrams that the devices retransmitted.
func (c *Clients) Retransmits() int {
	n := 0
	for _, d := range c.devices {
		n += d.Counts().Retransmissions
	}
	return n
}

// attemptCoAP sends a request once over CoAP. Without an answer it is unknown whether the
// request was processed, so the attempt counts as timed out.
func (c *Clients) attemptCoAP(a Arrival, class *Class, id, op string, attempt int, wait time.Duration) (result, time.Duration) {
	m := message.Message{Type: message.Confirmable, Code: message.POST}
	if class.Effect == invariant.Idempotent {
		m.Code = message.GET
	}
	m.Add(message.URIPath, []byte(class.Name))
	m.Add(server.OptRequestID, []byte(id))
	m.AddUint(server.OptDeadline, uint32(max(1, wait.Milliseconds())))
	if a.Key != "" {
		m.Add(server.OptAffinityKey, []byte(a.Key))
	}
	if a.Tenant > 0 {
		m.Add(server.OptTenant, []byte(c.cfg.Tenants[a.Tenant-1].Name))
	}
	if class.Effect == invariant.IdempotentWithKey {
		m.Add(server.OptIdempotencyKey, []byte(op))
	}
	if attempt > 0 && !c.cfg.OmitRetryMark {
		m.Add(server.OptRetry, nil)
	}
	var body []byte
	if m.Code == message.POST {
		body = []byte(strings.Repeat("b", c.cfg.BodySize))
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	device := c.devices[(uint64(a.At)+c.cfg.Seed)%uint64(len(c.devices))]
	sent := c.log.Now()
	c.log.RequestSent(id, c.cfg.Instance, class.Effect, sent, wait)
	r, err := device.Do(ctx, m, body)
	if err != nil {
		// The client stops waiting after wait, even if its goroutine is scheduled later.
		c.log.Abandoned(id, min(sent+wait, c.log.Now()))
		return timedOut, 0
	}
	at := c.log.Now() - time.Since(r.ReceivedAt)
	switch {
	case r.Code.Class() == 2:
		c.log.Answered(id, invariant.Served, callserver.IsBodyFor(id, string(r.Payload)), at)
		return served, 0
	case r.Code == message.ServiceUnavailable || r.Code == message.TooManyRequests:
		c.log.Answered(id, invariant.Rejected, false, at)
		s, _ := r.Uint(message.MaxAge)
		return refused, time.Duration(s) * time.Second
	}
	c.log.Answered(id, invariant.Failed, false, at)
	return failed, 0
}
