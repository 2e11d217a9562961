// Package testkit has helpers that the tests of several packages share.
//
// Only tests import it.
package testkit

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// LogBuffer collects the log of a process under test. It may be used by several
// goroutines. The zero LogBuffer is empty.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the log.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the log up to now.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// lastHost is the host part of the last loopback IP that UnusedAddress returned.
var lastHost atomic.Int32

// UnusedAddress returns an address at which nobody listens, of a loopback IP that no
// other test process uses: 127.NETWORK to NETWORK+39, by the process ID. The tests of
// each package use a NETWORK of their own.
func UnusedAddress(tb testing.TB, network int) string {
	tb.Helper()
	return FreePort(tb, fmt.Sprintf("127.%d.%d.%d", network+os.Getpid()%40, 1+os.Getpid()/40%250, 1+lastHost.Add(1)))
}

// FreePort returns an address of an IP at which nobody listens. No child process is
// started meanwhile: until it runs its program it has a copy of the listener, which
// occupies the address.
func FreePort(tb testing.TB, ip string) string {
	tb.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		tb.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
