package sidecar

import (
	"context"
	"fmt"
	"net"
)

// reservedSockets are the file descriptors for the process itself and discovery. Two
// fifths of the rest are for upstreams and three for clients: clients use a third of all
// for requests at most, but have more connections, with a request in the past or none.
const reservedSockets = 16

// upstreamSockets returns how many of the descriptors are for upstreams.
func upstreamSockets(sockets int) int { return (sockets - reservedSockets) * 2 / 5 }

// clientSockets returns how many client connections are served, and how many more are
// accepted while others are being closed or only to be rejected.
func clientSockets(sockets int) (served, rejected int) {
	n := sockets - reservedSockets - upstreamSockets(sockets)
	return n - n/8, n / 8
}

// listenTCP opens the address for clients.
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
