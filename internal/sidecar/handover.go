package sidecar

import (
	"log/slog"
	"net"

	"otterspring/balance"
	"otterspring/internal/sidecar/coapupstream"
	"otterspring/internal/sidecar/discovery"
	"otterspring/internal/sidecar/dispatch"
)

// This file contains the state that two processes of a sidecar exchange in a handover. It
// makes Sidecar an implementation of handover.Source.

// Listener returns the listening socket for the successor.
func (s *Sidecar) Listener() *net.TCPListener { return s.httpServer.Listener() }

// CoAPSocket returns the CoAP socket for the successor. It returns nil if CoAP is not
// served.
func (s *Sidecar) CoAPSocket() *net.UDPConn {
	if s.coapServer == nil {
		return nil
	}
	return s.coapServer.Socket()
}

// EndpointList returns this process's endpoint list in discovery's format.
func (s *Sidecar) EndpointList() []byte { return discovery.Marshal(s.dispatcher.Endpoints()) }

// ApplyEndpointList applies the endpoint list of the other process if its version is higher
// than that of this process's list. If both versions are equal, only the drains in the list
// are applied: the other process may have learned of a drain from a former address of
// discovery. The versions are comparable because both processes receive their lists from
// the same discovery service. A malformed list is logged and ignored.
func (s *Sidecar) ApplyEndpointList(text []byte) {
	list, err := discovery.Parse(text, coapupstream.Scheme)
	if err != nil {
		slog.Warn("malformed endpoint list of the other process in a handover", "error", err)
		return
	}
	version, generation := s.dispatcher.EndpointVersion()
	if list.Version > version {
		s.dispatcher.UpdateEndpoints(balance.ListFull, list, generation)
	}
	if list.Version >= version {
		s.dispatcher.UpdateDrains(list.Endpoints)
	}
}

// OnEndpointList registers a function that is called with every later list from discovery,
// encoded in discovery's format. The function replaces one that was registered earlier.
func (s *Sidecar) OnEndpointList(receive func([]byte)) {
	s.dispatcher.OnEndpointUpdate(func(list dispatch.EndpointList) { receive(discovery.Marshal(list)) })
}

// OffEndpointList removes the function registered with OnEndpointList.
func (s *Sidecar) OffEndpointList() { s.dispatcher.OnEndpointUpdate(nil) }

// HandOverCoAP stops accepting requests over CoAP and returns the state that the successor
// needs. It returns nil if CoAP is not served.
func (s *Sidecar) HandOverCoAP() []byte {
	if s.coapServer == nil {
		return nil
	}
	return s.coapServer.HandOver()
}

// InheritCoAP applies the state that HandOverCoAP returned in the predecessor.
func (s *Sidecar) InheritCoAP(state []byte) {
	if s.coapServer != nil {
		s.coapServer.TakeOver(state)
	}
}

// PredecessorEnded tells the CoAP server that the predecessor no longer serves the
// exchanges that it accepted.
func (s *Sidecar) PredecessorEnded() {
	if s.coapServer != nil {
		s.coapServer.PredecessorEnded()
	}
}
