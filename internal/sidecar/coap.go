package sidecar

import (
	"fmt"
	"log/slog"
	"strings"

	"otterspring/internal/coap/client"
	"otterspring/internal/sidecar/coapserver"
	"otterspring/internal/sidecar/coapupstream"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/httpserver"
	"otterspring/internal/sidecar/operatorconfig"
)

// upstreamOpener returns the function that opens upstreams. The function opens an address
// without a scheme over HTTP/1.1. schemes are the address schemes that the function
// supports in addition. All CoAP upstreams together use at most half of the sockets for
// upstreams.
func (s *Sidecar) upstreamOpener(section *operatorconfig.CoAP) (open func(string, int64) dispatch.Upstream, schemes []string, err error) {
	config, httpPool := &s.config, s.httpPool
	if section == nil || !section.Upstreams {
		for _, endpoint := range config.KnownEndpoints.Endpoints {
			if strings.HasPrefix(endpoint.Address, coapupstream.Scheme) {
				return nil, nil, fmt.Errorf("known: %s: found the CoAP address %q, wanted an HTTP address because coap.servers is off", endpoint.ID, endpoint.Address)
			}
		}
		return httpPool.Open, nil, nil
	}
	coapPool := coapupstream.New(coapserver.UpstreamSettings(section, config.Seed), upstreamSockets(config.Sockets)/2)
	s.coapPool = coapPool
	return func(address string, startedMillis int64) dispatch.Upstream {
		if rest, ok := strings.CutPrefix(address, coapupstream.Scheme); ok {
			return coapPool.Open(rest, startedMillis)
		}
		return httpPool.Open(address, startedMillis)
	}, []string{coapupstream.Scheme}, nil
}

// openCoAP opens the CoAP server if the operator file configures one. Otherwise it closes
// the CoAP socket of the predecessor, if there is one.
func (s *Sidecar) openCoAP(options *Options) error {
	if options.CoAP == nil || options.CoAP.Listen == "" {
		if options.CoAPSocket != nil {
			if err := options.CoAPSocket.Close(); err != nil {
				slog.Warn("closing the predecessor's CoAP socket failed", "error", err)
			}
		}
		return nil
	}
	settings := coapserver.SettingsFromOperator(options.CoAP, s.config.Settings.Classes, httpserver.MaxDeadlineFactor, s.config.Seed, s.httpServer.Budget())
	settings.Conn = options.CoAPSocket
	var err error
	s.coapServer, err = coapserver.Listen(settings, s.dispatcher)
	return err
}

// CoAPAddress returns the address and port on which CoAP clients are served. It returns an
// empty string if CoAP is not served.
func (s *Sidecar) CoAPAddress() string {
	if s.coapServer == nil {
		return ""
	}
	return s.coapServer.Addr()
}

// setCoAPDraining makes the CoAP server reject new requests or accept them again.
func (s *Sidecar) setCoAPDraining(on bool) {
	switch {
	case s.coapServer == nil:
	case on:
		s.coapServer.Drain()
	default:
		s.coapServer.Resume()
		s.coapServer.CancelHandOver()
	}
}

// coapPending returns the numbers of CoAP requests without an answer and of answers without
// an acknowledgement.
func (s *Sidecar) coapPending() (unanswered, unacknowledged int) {
	if s.coapServer == nil {
		return 0, 0
	}
	return s.coapServer.Pending()
}

// coapIdle reports whether no CoAP request or acknowledgement is pending.
func (s *Sidecar) coapIdle() bool {
	unanswered, unacknowledged := s.coapPending()
	return unanswered+unacknowledged == 0
}

// closeCoAP closes the CoAP server and logs the counters of CoAP.
func (s *Sidecar) closeCoAP() {
	s.logUpstreamCounts()
	if s.coapServer == nil {
		return
	}
	counts, unsent := s.coapServer.Counts()
	s.coapServer.Close()
	slog.Info("CoAP server closed", "received", counts.Received, "requests", counts.Submitted, "dedup_hits", counts.Duplicates,
		"retransmits", counts.Retransmissions, "rejected", counts.CapacityRejections+counts.ObservationRejections, "unproven", counts.PossiblyExecuted,
		"bad_requests", counts.BadRequests, "truncated", counts.AmplificationLimited, "unsent", unsent)
}

// logUpstreamCounts logs how the attempts at CoAP upstreams have ended. Canceled attempts are
// not counted.
func (s *Sidecar) logUpstreamCounts() {
	if s.coapPool == nil {
		return
	}
	counts := s.coapPool.Counts()
	outcomes := &counts.Outcomes
	slog.Info("CoAP attempts ended", "succeeded", outcomes[client.Succeeded], "not_executed", outcomes[client.NotExecuted],
		"unreachable", outcomes[client.Unreachable], "not_sent", outcomes[client.NotSent], "error_response", outcomes[client.ErrorResponse],
		"aborted", outcomes[client.Aborted], "timed_out", outcomes[client.TimedOut], "server_lost", outcomes[client.ServerLost],
		"refusals", counts.Refusals, "unknown_refusals", counts.UnknownRefusals, "send_failures", counts.SendFailures)
}
