package sidecar

import (
	"context"
	"fmt"
	"net"
)

// reservedSockets is the number of file descriptors for the process itself and discovery.
// Two fifths of the other descriptors are for upstreams and three fifths for clients.
// Clients are expected to use at most a third of the sidecar's descriptors for requests at
// a time. The share of the clients is larger because clients also hold connections that
// wait for their first or next request.
const reservedSockets = 16

// upstreamSockets returns the number of file descriptors for upstreams.
func upstreamSockets(sockets int) int { return (sockets - reservedSockets) * 2 / 5 }

// clientSockets returns two limits on client connections. served is the number of
// connections that are served. rejected is the number of connections that are accepted in
// addition, either while a served connection is being closed or only to be rejected.
func clientSockets(sockets int) (served, rejected int) {
	n := sockets - reservedSockets - upstreamSockets(sockets)
	return n - n/8, n / 8
}

// listenTCP opens the listening socket for clients, without TCP keep-alive and without
// Multipath TCP.
func listenTCP(address string) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.KeepAlive = -1
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener.(*net.TCPListener), nil
}
