package sidecar

import (
	"fmt"
	"log/slog"
	"net"
	"strings"

	"otterspring/internal/coapfront"
	"otterspring/internal/coapupstream"
	"otterspring/internal/httpupstream"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/operatorconfig"
)

// ways is how upstreams are reached: by the scheme of their address, over HTTP/1.1
// where there is none. Sockets for CoAP are of the upstreams' share, one a server.
func ways(cfg *Config, o *operatorconfig.CoAP, http *httpupstream.Pool) (open func(string, int64) dispatch.Upstream, schemes []string, err error) {
	if o == nil || !o.Upstreams {
		for _, n := range cfg.Known.Endpoints {
			if strings.HasPrefix(n.Address, coapupstream.Scheme) {
				return nil, nil, fmt.Errorf("known: %s: found the address %q, wanted one without coap.servers", n.ID, n.Address)
			}
		}
		return http.Open, nil, nil
	}
	coap := coapupstream.New(coapfront.ServersFromOperator(o, cfg.Seed), upstreamShare(cfg.Sockets)/2)
	return func(addr string, since int64) dispatch.Upstream {
		if rest, ok := strings.CutPrefix(addr, coapupstream.Scheme); ok {
			return coap.Open(rest, since)
		}
		return http.Open(addr, since)
	}, []string{coapupstream.Scheme}, nil
}

// CoAPAddr is where CoAP clients are taken; empty where they are not.
func (s *Sidecar) CoAPAddr() string {
	if s.coap == nil {
		return ""
	}
	return s.coap.Addr()
}

// coapDraining has the front for CoAP turn away what is new, or no longer.
func (s *Sidecar) coapDraining(on bool) {
	switch {
	case s.coap == nil:
	case on:
		s.coap.Refuse()
	default:
		s.coap.Resume()
		s.coap.TakeBack()
	}
}

// Packets is the socket for CoAP, for a process that takes over; nil for none.
func (s *Sidecar) Packets() *net.UDPConn {
	if s.coap == nil {
		return nil
	}
	return s.coap.Socket()
}

// GiveCoAP stops taking requests over CoAP and returns what the process that takes
// over has to know; nil where there is no CoAP.
func (s *Sidecar) GiveCoAP() []byte {
	if s.coap == nil {
		return nil
	}
	return s.coap.Give()
}

// InheritCoAP takes what the process before has given.
func (s *Sidecar) InheritCoAP(text []byte) {
	if s.coap != nil {
		s.coap.Inherit(text)
	}
}

// AloneOverCoAP says that the process before has ended.
func (s *Sidecar) AloneOverCoAP() {
	if s.coap != nil {
		s.coap.Alone()
	}
}

// coapOpen is how many requests over CoAP have no answer yet, and how many answers
// no acknowledgement.
func (s *Sidecar) coapOpen() (asked, unacked int) {
	if s.coap == nil {
		return 0, 0
	}
	return s.coap.Open()
}

// coapIdle tells whether a drain has nothing to wait for over CoAP.
func (s *Sidecar) coapIdle() bool {
	asked, unacked := s.coapOpen()
	return asked+unacked == 0
}

// coapEnd ends the front.
func (s *Sidecar) coapEnd() {
	if s.coap == nil {
		return
	}
	c, unsent := s.coap.Counts()
	s.coap.Close()
	slog.Info("coap: ended", "received", c.Received, "asked", c.Asked, "dedup_hits", c.DedupHits, "retransmits", c.Retransmits,
		"turned_away", c.TurnedAway+c.Full, "not_proven", c.NotProven, "bad_requests", c.BadRequests, "cut_short", c.Spread, "unsent", unsent)
}
