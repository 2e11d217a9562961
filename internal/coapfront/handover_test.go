package coapfront

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"otterspring/internal/coap/message"
)

// sameSocket is a second descriptor of a front's socket, as another process gets
// it.
func sameSocket(t *testing.T, f *Front) *net.UDPConn {
	t.Helper()
	file, err := f.Socket().File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	c, err := net.FilePacketConn(file)
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.UDPConn)
}

// device sends datagrams of its own making and hears what comes.
type device struct {
	t    *testing.T
	conn *net.UDPConn
}

func newDevice(t *testing.T, to string) *device {
	t.Helper()
	c, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &device{t, c.(*net.UDPConn)}
}

func (d *device) post(id uint16) {
	d.t.Helper()
	m := coapRequest(message.POST, "start-rec", "")
	m.ID, m.Token = id, []byte{byte(id)}
	text, err := m.Append(nil)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.conn.Write(text); err != nil {
		d.t.Fatal(err)
	}
}

// hear returns the code of the next answer to id; empty acknowledgements are
// passed over.
func (d *device) hear(id uint16) message.Code {
	d.t.Helper()
	buf := make([]byte, 2000)
	for end := time.Now().Add(patience); ; {
		d.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, err := d.conn.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(end) {
			// What the old process read last is lost, as any datagram may be.
			d.post(id)
			continue
		}
		if err != nil {
			d.t.Fatalf("no answer to %d: %v", id, err)
		}
		var m message.Message
		if err := message.Decode(buf[:n], &m); err != nil {
			d.t.Fatal(err)
		}
		if m.Code != message.Empty && len(m.Token) == 1 && m.Token[0] == byte(id) {
			return m.Code
		}
	}
}

// A hand-over with a request open: the old process answers it, its repeats are
// met by the new one without an answer, what was answered before is known, and
// what is new runs at once, without Echo.
func TestHandOver(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	slow := &upstream{ran: map[string]int{}, delay: func() time.Duration { <-hold; return 0 }}
	quick := &upstream{ran: map[string]int{}, delay: func() time.Duration { return 0 }}
	open := make(chan struct{}, 1)
	first := &upstream{ran: map[string]int{}, delay: func() time.Duration {
		select {
		case open <- struct{}{}:
			return 0 // the first one
		default:
			return slow.delay()
		}
	}}
	old := start(t, first, nil)
	d := newDevice(t, old.Addr())
	d.post(1)
	if c := d.hear(1); c != message.Changed {
		t.Fatalf("before: %v", c)
	}
	d.post(2) // open from here on
	for end := time.Now().Add(patience); openOf(old) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never asked")
		}
	}
	conn := sameSocket(t, old)
	heir := start(t, quick, func(s *Settings) { s.Listen, s.Conn, s.Gate.Clean = old.Addr(), conn, false })
	table := old.Give()
	d.post(3) // between the two: it waits in the kernel
	heir.Inherit(table)
	if c := d.hear(3); c != message.Changed {
		t.Errorf("a new one: %v", c)
	}
	d.post(1)
	if c := d.hear(1); c != message.BadGateway {
		t.Errorf("a repeat of what the old process has answered: %v", c)
	}
	d.post(2)
	d.post(4) // behind it: when this is answered the repeat was met
	if c := d.hear(4); c != message.Changed {
		t.Errorf("another new one: %v", c)
	}
	close(hold)
	if c := d.hear(2); c != message.Changed {
		t.Errorf("what was open: %v", c)
	}
	heir.Alone()
	d.post(2)
	if c := d.hear(2); c != message.BadGateway {
		t.Errorf("its repeat, once the old process has ended: %v", c)
	}
	if a, b := len(first.counts()), len(quick.counts()); a != 2 || b != 2 {
		t.Errorf("the old one ran %d, the new one %d, want 2 and 2", a, b)
	}
}

// The new process ends before the old one has: the old one takes requests again,
// and trusts nothing unsafe that the other may have run. One that never hears a
// table does not trust either.
func TestHandOverThatFails(t *testing.T) {
	t.Parallel()
	up := &upstream{ran: map[string]int{}, delay: func() time.Duration { return 0 }}
	old := start(t, up, nil)
	d := newDevice(t, old.Addr())
	conn := sameSocket(t, old)
	heir := start(t, up, func(s *Settings) { s.Listen, s.Conn = old.Addr(), conn })
	heir.Inherit(old.Give())
	d.post(1)
	if c := d.hear(1); c != message.Changed {
		t.Fatalf("at the new one: %v", c)
	}
	heir.Close()
	old.TakeBack()
	d.post(1)
	if c := d.hear(1); c != message.BadGateway {
		t.Errorf("a repeat of what the other one ran: %v", c)
	}
	if n := len(up.counts()); n != 1 {
		t.Errorf("%d ran", n)
	}
	for name, text := range map[string][]byte{"no": nil, "a broken": []byte("nonsense, and more of it")} {
		last := sameSocket(t, old)
		old.Give()
		deaf := start(t, up, func(s *Settings) { s.Listen, s.Conn, s.Gate.Clean = old.Addr(), last, true })
		deaf.Inherit(text)
		d.post(9)
		if c := d.hear(9); c != message.BadGateway {
			t.Errorf("with %s table: %v", name, c)
		}
		deaf.Close()
		old.TakeBack()
	}
}
