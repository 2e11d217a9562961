package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// source is the state of an old process.
type source struct {
	ln         *net.TCPListener
	coapSocket *net.UDPConn

	mu           sync.Mutex
	endpointList string
	received     []string
}

func (s *source) Listener() *net.TCPListener { return s.ln }
func (s *source) CoAPSocket() *net.UDPConn   { return s.coapSocket }
func (s *source) EndpointList() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(s.endpointList)
}
func (s *source) ApplyEndpointList(l []byte) {
	s.mu.Lock()
	s.received = append(s.received, string(l))
	s.mu.Unlock()
}

func newSource(t *testing.T) *source {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discard(ln) })
	return &source{ln: ln.(*net.TCPListener), endpointList: strings.Repeat("list ", 30000)}
}

func offer(t *testing.T, s *source, testTimeout time.Duration) (*Offer, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	o, err := NewOffer(path, s, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return o, path
}

func TestHandover(t *testing.T) {
	t.Parallel()
	s := newSource(t)
	o, path := offer(t, s, testTimeout)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	predecessor, err := Request(path, s.ln.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Close()
	if string(predecessor.EndpointList) != s.endpointList {
		t.Errorf("a list of %d bytes came, want %d", len(predecessor.EndpointList), len(s.endpointList))
	}
	if err := predecessor.AnnounceReady(); err != nil {
		t.Fatal(err)
	}
	taken := make(chan error, 1)
	go func() { taken <- predecessor.AnnounceAccepting() }()
	successor := <-o.Successors()
	if err := <-taken; err != nil {
		t.Fatal(err)
	}
	// A connection made before the old one closes its descriptor is accepted by
	// the new one.
	c, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	discard(s.ln)
	got, err := predecessor.Listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()

	// Lists pass both ways until the end.
	received := make(chan string, 2)
	go func() {
		predecessor.AwaitDrained(func(l []byte) { received <- string(l) }, func(c []byte) { received <- "coap " + string(c) })
		received <- "drained"
	}()
	successor.SendEndpointList([]byte("from the old one"))
	if l := <-received; l != "from the old one" {
		t.Errorf("received %q", l)
	}
	predecessor.SendEndpointList([]byte("from the new one"))
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := len(s.received)
		s.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the old process received nothing")
		}
	}
	successor.AnnounceDrained()
	if l := <-received; l != "drained" {
		t.Errorf("received %q", l)
	}
}

// A failure before the agreement leaves the old process as it was, ready for the next
// handover.
func TestFailuresBeforeTheAgreement(t *testing.T) {
	t.Parallel()
	for name, breaks := range map[string]func(t *testing.T, path, addr string){
		"ends at once": func(t *testing.T, path, addr string) {
			t.Helper()
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		},
		"says nothing": func(t *testing.T, path, addr string) {
			t.Helper()
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		},
		"says nonsense": func(t *testing.T, path, addr string) {
			t.Helper()
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			write(t, c, "GET / HTTP/1.1\r\n\r\n")
		},
		"says too much": func(t *testing.T, path, addr string) {
			t.Helper()
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			write(t, c, strings.Repeat("x", 10000))
		},
		"is of another address": func(t *testing.T, path, addr string) {
			t.Helper()
			if _, err := Request(path, "127.0.0.1:1", testTimeout); !errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), "wanted "+protocolVersion) {
				t.Errorf("found %v, wanted a rejection", err)
			}
		},
		"ends before it is ready": func(t *testing.T, path, addr string) {
			t.Helper()
			predecessor, err := Request(path, addr, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			predecessor.Close()
		},
		"is never ready": func(t *testing.T, path, addr string) {
			t.Helper()
			predecessor, err := Request(path, addr, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(predecessor.Close)
			// The old process abandons the handover, which shows by the close.
			if err := setTimeout(predecessor.conn, testTimeout); err != nil {
				t.Fatal(err)
			}
			if _, err := predecessor.reader.ReadByte(); err != io.EOF {
				t.Errorf("not abandoned: %v", err)
			}
			if err := predecessor.AnnounceReady(); err == nil {
				t.Error("it may accept all the same")
			}
		},
		"ends between ready and taken": func(t *testing.T, path, addr string) {
			t.Helper()
			predecessor, err := Request(path, addr, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			if err := predecessor.AnnounceReady(); err != nil {
				t.Fatal(err)
			}
			predecessor.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSource(t)
			o, path := offer(t, s, 300*time.Millisecond)
			breaks(t, path, s.ln.Addr().String())
			// The next one succeeds as soon as the old one offers again.
			accepting := make(chan error, 1)
			for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
				predecessor, err := Request(path, s.ln.Addr().String(), testTimeout)
				if err == nil {
					defer predecessor.Close()
					if err = predecessor.AnnounceReady(); err == nil {
						go func() { accepting <- predecessor.AnnounceAccepting() }()
						break
					}
				}
				if time.Now().After(end) {
					t.Fatalf("the next one: %v", err)
				}
			}
			select {
			case successor := <-o.Successors():
				successor.Close()
			case <-time.After(testTimeout):
				t.Fatal("not handed over")
			}
			if err := <-accepting; err != nil {
				t.Error(err)
			}
		})
	}
}

// After the agreement the exit of the new process is noticed, unless it has settled.
func TestDisconnectedAfterTheAgreement(t *testing.T) {
	t.Parallel()
	for _, settles := range []bool{false, true} {
		s := newSource(t)
		o, path := offer(t, s, testTimeout)
		predecessor, err := Request(path, s.ln.Addr().String(), testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if err := predecessor.AnnounceReady(); err != nil {
			t.Fatal(err)
		}
		accepting := make(chan error, 1)
		go func() {
			accepting <- predecessor.AnnounceAccepting()
			if settles {
				predecessor.Settle()
			}
			predecessor.Close()
		}()
		successor := <-o.Successors()
		if err := <-accepting; err != nil {
			t.Error(err)
		}
		select {
		case <-successor.Disconnected():
			if settles {
				t.Error("one that has settled counts as gone")
			}
		case <-time.After(map[bool]time.Duration{false: testTimeout, true: 100 * time.Millisecond}[settles]):
			if !settles {
				t.Error("its end did not show")
			}
		}
		successor.Close()
	}
}

func TestNoPredecessor(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	if _, err := Request(filepath.Join(dir, "none"), "127.0.0.1:1", testTimeout); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("no path: %v", err)
	}
	// A dead socket: its process has ended and the path is still there.
	dead := filepath.Join(dir, "dead")
	ln, err := net.Listen("unix", dead)
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	ln.Close()
	if _, err := Request(dead, "127.0.0.1:1", testTimeout); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("a dead socket: %v", err)
	}
	o, err := NewOffer(dead, newSource(t), testTimeout)
	if err != nil {
		t.Errorf("a dead socket can't be replaced: %v", err)
	} else {
		o.Close()
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewOffer(file, newSource(t), testTimeout); !errors.Is(err, ErrNotSocket) {
		t.Errorf("a file: %v", err)
	}
	if text, _ := os.ReadFile(file); string(text) != "text" {
		t.Error("the file was replaced")
	}
}

// The reply of a program that is no sidecar is named in one line.
func TestUnexpectedReplies(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		says, want string
		is         error
	}{
		"a web server":        {"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n", `found "HTTP/1.1 400 Bad Request\r"`, ErrUnexpectedReply},
		"one that closes":     {"close", "found a closed connection", ErrUnexpectedReply},
		"one that is silent":  {"", "found none in time", ErrUnexpectedReply},
		"one without the fd":  {"give 3\nabc", "found no descriptor, wanted that of the listener", nil},
		"one that is endless": {strings.Repeat("y", 4096), "wanted a sidecar", ErrUnexpectedReply},
		"one with a bad size": {"give -4\n", `found "give -4"`, ErrUnexpectedReply},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "s")
			ln, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil || c.says == "close" {
					return
				}
				if _, err := io.WriteString(conn, c.says); err == nil {
					time.Sleep(time.Second)
				}
			}()
			_, err = Request(path, "127.0.0.1:1", 200*time.Millisecond)
			if err == nil || !strings.Contains(err.Error(), c.want) || c.is != nil && !errors.Is(err, c.is) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// Of two processes that request a handover, one succeeds and the other is rejected.
func TestOneHandoverAtATime(t *testing.T) {
	t.Parallel()
	s := newSource(t)
	o, path := offer(t, s, testTimeout)
	predecessor, err := Request(path, s.ln.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Request(path, s.ln.Addr().String(), testTimeout); !errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), "another process is taking over") {
		t.Errorf("the second: %v", err)
	}
	// The handover fails, and the offer binds its path anew.
	predecessor.Close()
	for deadline := time.Now().Add(testTimeout); o.isBusy(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the listener is not offered again")
		}
	}
}

// Guards against handovers whose Successor nobody receives, as in a process that ends:
// none leaves a goroutine, and the second is told that it failed.
func TestSuccessorThatNobodyReceives(t *testing.T) {
	t.Parallel()
	s := newSource(t)
	o, path := offer(t, s, testTimeout)
	takeOver := func() *Predecessor {
		predecessor, err := Request(path, s.ln.Addr().String(), testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(predecessor.AnnounceReady(), predecessor.AnnounceAccepting()); err != nil {
			t.Fatal(err)
		}
		return predecessor
	}
	first := takeOver()
	defer first.Close()
	if err := o.Open(); err != nil { // as after a successor that has gone
		t.Fatal(err)
	}
	second := takeOver()
	defer second.Close()
	for deadline := time.Now().Add(testTimeout); o.isBusy(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second handover waits for a receiver")
		}
	}
	successor := <-o.Successors()
	successor.Close()
}

// isBusy reports whether a handover is in progress.
func (o *Offer) isBusy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.busy
}

// FuzzLines looks for lines that exceed the bounds of the protocol.
func FuzzLines(f *testing.F) {
	for _, s := range []string{"", "\n", protocolVersion + " take 127.0.0.1:1\n", "give 3\n", "list 99999999999\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		br := bufio.NewReaderSize(strings.NewReader(text), maxLineBytes*2)
		line, err := readLine(br)
		if err == nil && len(line) > maxLineBytes {
			t.Errorf("a line of %d bytes", len(line))
		}
		if err == nil {
			readPayload(br, line, lineList, func(l []byte) {
				if len(l) > maxPayloadBytes {
					t.Errorf("a list of %d bytes", len(l))
				}
			})
		}
		_ = fmt.Sprint(shown(line))
	})
}
