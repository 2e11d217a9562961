package coapupstream

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/coap/message"
)

// refusedSocket returns a socket that is connected to a port at which nothing receives, and
// its receiver. Until receive is called, nothing reads the socket.
func refusedSocket(t *testing.T) (*net.UDPConn, *receiver) {
	t.Helper()
	server := startSilentServer(t, "udp4", net.IPv4(127, 0, 0, 1))
	conn, events := connect(t, server)
	server.crash(t)
	return conn, events
}

func connect(t *testing.T, server *silentServer) (*net.UDPConn, *receiver) {
	t.Helper()
	conn, events, err := dial(netip.MustParseAddrPort(server.addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return conn, events
}

// next returns the next event. It fails the test if there is none within testTimeout.
func next(t *testing.T, conn *net.UDPConn, events *receiver) (eventKind, string) {
	t.Helper()
	timeout := time.AfterFunc(testTimeout, func() { _ = conn.Close() }) // the error is that of receive
	defer timeout.Stop()
	for {
		received, err := events.receive()
		if err != nil {
			t.Fatalf("no event within %v: %v", testTimeout, err)
		}
		if received.kind != noEvent {
			return received.kind, string(received.data)
		}
	}
}

// awaitError waits until the socket has a pending error or an entry in its error queue.
func awaitError(t *testing.T, events *receiver) {
	t.Helper()
	pending := false
	if err := events.raw.Control(func(fd uintptr) {
		for end := time.Now().Add(testTimeout); !pending && time.Now().Before(end); {
			polled := []unix.PollFd{{Fd: int32(fd)}}
			if _, err := unix.Poll(polled, 100); err == nil {
				pending = polled[0].Revents&unix.POLLERR != 0
			}
		}
	}); err != nil || !pending {
		t.Fatalf("no refusal within %v: %v", testTimeout, err)
	}
}

// Guards against a refusal that is lost or taken for that of another datagram when a write
// returns the pending error of an earlier datagram: only the datagrams that were sent are
// refused, each once and in order.
func TestRefusalsQuoteTheDatagramsThatWereSent(t *testing.T) {
	conn, events := refusedSocket(t)
	var sent []string
	for failed := 0; failed < 20 && len(sent) < 60; {
		text := fmt.Sprintf("datagram %02d", len(sent))
		_, err := conn.Write([]byte(text))
		switch {
		case err == nil:
			sent = append(sent, text)
			time.Sleep(time.Millisecond) // for the refusal
		case errors.Is(err, syscall.ECONNREFUSED):
			failed++
		default:
			t.Fatal(err)
		}
	}
	for _, text := range sent {
		if kind, quoted := next(t, conn, events); kind != datagramRefused || quoted != text {
			t.Fatalf("event %v with %q, want the refusal of %q", kind, quoted, text)
		}
	}
	if left := events.pollNow(t); left.kind != noEvent {
		t.Errorf("event %v with %q is left, want none", left.kind, left.data)
	}
}

// pollNow returns the next event without waiting.
func (r *receiver) pollNow(t *testing.T) event {
	t.Helper()
	var received event
	if err := r.raw.Control(func(fd uintptr) { received = r.poll(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	return received
}

// Guards against a response that is passed over because a later datagram was refused.
func TestResponsesPrecedeRefusals(t *testing.T) {
	server := startSilentServer(t, "udp4", net.IPv4(127, 0, 0, 1))
	conn, events := connect(t, server)
	for i := range 3 {
		if _, err := server.conn.WriteToUDP(fmt.Append(nil, "response ", i), conn.LocalAddr().(*net.UDPAddr)); err != nil {
			t.Fatal(err)
		}
	}
	server.crash(t)
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	awaitError(t, events)
	for i := range 3 {
		if kind, data := next(t, conn, events); kind != datagramReceived || data != fmt.Sprint("response ", i) {
			t.Fatalf("event %v with %q, want response %d", kind, data, i)
		}
	}
	if kind, quoted := next(t, conn, events); kind != datagramRefused || quoted != "request" {
		t.Errorf("event %v with %q, want the refusal of the request", kind, quoted)
	}
}

// Checks that only the beginning of a large datagram is read, and that a closed socket ends
// the wait.
func TestQuoteOfALargeDatagramAndClose(t *testing.T) {
	conn, events := refusedSocket(t)
	large := make([]byte, message.MaxDatagramSize)
	for i := range large {
		large[i] = byte(i)
	}
	if _, err := conn.Write(large); err != nil {
		t.Fatal(err)
	}
	if kind, quoted := next(t, conn, events); kind != datagramRefused || quoted != string(large[:quoteSize]) {
		t.Errorf("event %v with %d bytes, want a refusal with the first %d", kind, len(quoted), quoteSize)
	}
	closed := make(chan error, 1)
	go func() {
		_, err := events.receive()
		closed <- err
	}()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-closed:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("found %v, want net.ErrClosed", err)
		}
	case <-time.After(testTimeout):
		t.Errorf("the wait did not end within %v", testTimeout)
	}
}

// Guards against a receiver that hangs or spins when the error queue was full and refusals
// were lost: those in the queue are read, and the socket can be used as before.
func TestFullErrorQueue(t *testing.T) {
	conn, events := refusedSocket(t)
	if err := conn.SetReadBuffer(8 << 10); err != nil {
		t.Fatal(err)
	}
	sent := 0
	for range 400 {
		if _, err := conn.Write([]byte("request")); err == nil {
			sent++
		}
	}
	awaitError(t, events)
	read := 0
	for events.pollNow(t).kind == datagramRefused {
		read++
	}
	if read == 0 || read >= sent {
		t.Errorf("%d refusals of %d datagrams, want some but not all", read, sent)
	}
	for events.pollNow(t).kind != noEvent { // refusals that came late
	}
	if _, err := conn.Write([]byte("last")); err != nil {
		t.Fatal(err)
	}
	if kind, quoted := next(t, conn, events); kind != datagramRefused || quoted != "last" {
		t.Errorf("event %v with %q, want the refusal of the last datagram", kind, quoted)
	}
}

// Checks that only an ICMP message about an unreachable port counts as a refusal.
func TestEntriesThatAreNoRefusals(t *testing.T) {
	entry := func(level, kind int, number syscall.Errno, origin uint8) []byte {
		data := unix.SockExtendedErr{Errno: uint32(number), Origin: origin}
		control := make([]byte, 0, unix.CmsgSpace(binary.Size(data)))
		control = binary.NativeEndian.AppendUint64(control, uint64(unix.CmsgLen(binary.Size(data))))
		control = binary.NativeEndian.AppendUint32(control, uint32(level))
		control = binary.NativeEndian.AppendUint32(control, uint32(kind))
		control, err := binary.Append(control, binary.NativeEndian, data)
		if err != nil {
			t.Fatal(err)
		}
		return control
	}
	for name, c := range map[string]struct {
		control []byte
		want    bool
	}{
		"port unreachable, IPv4":   {entry(unix.IPPROTO_IP, unix.IP_RECVERR, syscall.ECONNREFUSED, unix.SO_EE_ORIGIN_ICMP), true},
		"port unreachable, IPv6":   {entry(unix.IPPROTO_IPV6, unix.IPV6_RECVERR, syscall.ECONNREFUSED, unix.SO_EE_ORIGIN_ICMP6), true},
		"host unreachable":         {entry(unix.IPPROTO_IP, unix.IP_RECVERR, syscall.EHOSTUNREACH, unix.SO_EE_ORIGIN_ICMP), false},
		"local error":              {entry(unix.IPPROTO_IP, unix.IP_RECVERR, syscall.ECONNREFUSED, unix.SO_EE_ORIGIN_LOCAL), false},
		"datagram too large":       {entry(unix.IPPROTO_IP, unix.IP_RECVERR, syscall.EMSGSIZE, unix.SO_EE_ORIGIN_ICMP), false},
		"another control message":  {entry(unix.IPPROTO_IP, unix.IP_TTL, syscall.ECONNREFUSED, unix.SO_EE_ORIGIN_ICMP), false},
		"no control message":       {nil, false},
		"malformed control header": {[]byte{1, 2, 3, 4, 5}, false},
	} {
		if got := isRefusal(c.control); got != c.want {
			t.Errorf("%s: found %t, want %t", name, got, c.want)
		}
	}
}
