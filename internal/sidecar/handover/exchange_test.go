package handover

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// exchanged is one message of the recorded exchange.
type exchanged struct {
	sender string // new or old
	bytes  string
}

// recordedExchange reads the exchange of testdata, which versions before this one
// speak as well.
func recordedExchange(t *testing.T, address string) []exchanged {
	t.Helper()
	text, err := os.ReadFile("testdata/exchange.txt")
	if err != nil {
		t.Fatal(err)
	}
	var messages []exchanged
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		sender, quoted, _ := strings.Cut(strings.TrimSpace(line), " ")
		message, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		messages = append(messages, exchanged{sender, strings.ReplaceAll(message, "ADDRESS", address)})
	}
	return messages
}

// awaitList returns the one list that was received.
func (s *source) awaitList(t *testing.T) string {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		heard := s.received
		s.mu.Unlock()
		if len(heard) == 1 {
			return heard[0]
		}
	}
	t.Fatal("no list was received, or more than one")
	return ""
}

// expect reads exactly one message.
func expect(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	if n, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Fatalf("found %q (%v), wanted %q", got[:n], err, want)
	}
}

// expectEnd reads the end of the connection and nothing before it.
func expectEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("found %q (%v), wanted the end", rest, err)
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// The old process speaks the recorded exchange byte for byte, with one descriptor or
// with two.
func TestOldProcessSpeaksTheRecordedExchange(t *testing.T) {
	t.Parallel()
	for _, descriptors := range []int{1, 2} {
		s := newSource(t)
		s.endpointList = "the\nlist\n"
		if descriptors == 2 {
			packets, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { discard(packets) })
			s.coapSocket = packets.(*net.UDPConn)
		}
		o, path := offer(t, s, testTimeout)
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { discard(conn) })
		var successor *Successor
		for _, message := range recordedExchange(t, s.ln.Addr().String()) {
			kind, _, _ := strings.Cut(strings.TrimSuffix(message.bytes, "\n"), " ")
			if message.sender == "new" {
				write(t, conn, message.bytes)
				continue
			}
			_, payload, _ := strings.Cut(message.bytes, "\n")
			switch kind {
			case "give":
				expectDescriptors(t, conn.(*net.UnixConn), message.bytes, descriptors)
				continue
			case "list":
				successor.SendEndpointList([]byte(payload))
			case "coap":
				successor.SendCoAPState([]byte(payload))
			case "done":
				s.awaitList(t) // before the close, which would lose what is not read yet
				successor.AnnounceDrained()
			}
			expect(t, conn, message.bytes)
			if kind == "agreed" {
				successor = <-o.Successors()
			}
		}
		expectEnd(t, conn)
		if got := s.awaitList(t); got != "of the new one" {
			t.Errorf("received the list %q", got)
		}
	}
}

// expectDescriptors reads a message that has descriptors beside its first byte.
func expectDescriptors(t *testing.T, conn *net.UnixConn, want string, descriptors int) {
	t.Helper()
	first, oob := make([]byte, 1), make([]byte, unix.CmsgSpace(8*4))
	_, oobn, _, _, err := conn.ReadMsgUnix(first, oob)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(messages) != 1 {
		t.Fatalf("found %d control messages (%v), wanted 1", len(messages), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != descriptors {
		t.Fatalf("found %d descriptors (%v), wanted %d", len(fds), err, descriptors)
	}
	closeDescriptors(fds)
	if first[0] != want[0] {
		t.Fatalf("found %q, wanted %q", first, want)
	}
	expect(t, conn, want[1:])
}

// The new process speaks the recorded exchange byte for byte.
func TestNewProcessSpeaksTheRecordedExchange(t *testing.T) {
	t.Parallel()
	s := newSource(t)
	address := s.ln.Addr().String()
	path := filepath.Join(t.TempDir(), "s")
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discard(ln) })
	var predecessor *Predecessor
	steps := make(chan func() error)
	results := make(chan error, 1)
	go func() {
		for step := range steps {
			results <- step()
		}
	}()
	begin := func(step func() error) { steps <- step }
	begin(func() error {
		var err error
		predecessor, err = Request(path, address, testTimeout)
		return err
	})
	conn, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discard(conn) })
	received := make(chan string, 8)
	for _, message := range recordedExchange(t, address) {
		kind, _, _ := strings.Cut(strings.TrimSuffix(message.bytes, "\n"), " ")
		_, payload, _ := strings.Cut(message.bytes, "\n")
		if message.sender == "old" {
			if kind == "give" {
				giveListener(t, conn, s.ln, message.bytes)
			} else {
				write(t, conn, message.bytes)
			}
			switch kind {
			case "give", "yours", "agreed":
				if err := <-results; err != nil {
					t.Fatal(err)
				}
			case "list":
				if got := <-received; got != "list "+payload {
					t.Errorf("received %q, wanted the list %q", got, payload)
				}
			case "coap":
				if got := <-received; got != "coap "+payload {
					t.Errorf("received %q, wanted the note %q", got, payload)
				}
			}
			if kind == "give" && string(predecessor.EndpointList) != payload {
				t.Errorf("received the list %q, wanted %q", predecessor.EndpointList, payload)
			}
			if kind == "agreed" {
				begin(func() error {
					predecessor.AwaitDrained(func(l []byte) { received <- "list " + string(l) }, func(n []byte) { received <- "coap " + string(n) })
					return nil
				})
			}
			continue
		}
		switch kind {
		case "ready":
			begin(predecessor.AnnounceReady)
		case "taken":
			begin(predecessor.AnnounceAccepting)
		case "list":
			predecessor.SendEndpointList([]byte(payload))
		case "settled":
			predecessor.Settle()
		}
		expect(t, conn, message.bytes)
	}
	if err := <-results; err != nil {
		t.Fatal(err)
	}
	expectEnd(t, conn)
	predecessor.Close()
}

// giveListener writes a message with the descriptor of a listener beside it.
func giveListener(t *testing.T, conn *net.UnixConn, ln *net.TCPListener, message string) {
	t.Helper()
	raw, err := ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var writeErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, writeErr = conn.WriteMsgUnix([]byte(message), unix.UnixRights(int(fd)), nil)
	}); err != nil || writeErr != nil {
		t.Fatal(err, writeErr)
	}
}
