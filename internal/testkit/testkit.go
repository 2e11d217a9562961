// Package testkit has test helpers that several packages share. Only tests import it.
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

// LogBuffer collects the log output of a process under test. It is safe for concurrent use.
// The zero value is an empty buffer.
type LogBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the buffer.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the log output written so far.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// lastHost is the number of calls of UnusedAddress in this process. The number selects the last
// byte of the IP, so that each call uses another IP.
var lastHost atomic.Int32

// UnusedAddress returns an address with an unused port on a loopback IP that no other test
// process uses. The second byte of the IP is in the range from network to network+39. The
// process ID selects the second and the third byte. Each package passes a different network.
func UnusedAddress(tb testing.TB, network int) string {
	tb.Helper()
	return FreePort(tb, fmt.Sprintf("127.%d.%d.%d", network+os.Getpid()%40, 1+os.Getpid()/40%250, 1+lastHost.Add(1)))
}

// FreePort returns an address with an unused port of ip. It holds syscall.ForkLock while its
// listener is open. A child process that is started in that time would inherit the listener
// until it executes its program, and would thereby keep the port in use.
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
