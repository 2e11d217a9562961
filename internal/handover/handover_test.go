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

const patience = 20 * time.Second

// source gives a listener and a list.
type source struct {
	ln      *net.TCPListener
	packets *net.UDPConn

	mu    sync.Mutex
	held  string
	heard []string
}

func (s *source) Listener() *net.TCPListener { return s.ln }
func (s *source) Packets() *net.UDPConn      { return s.packets }
func (s *source) Held() []byte               { s.mu.Lock(); defer s.mu.Unlock(); return []byte(s.held) }
func (s *source) Hear(l []byte) {
	s.mu.Lock()
	s.heard = append(s.heard, string(l))
	s.mu.Unlock()
}

func newSource(t *testing.T) *source {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &source{ln: ln.(*net.TCPListener), held: strings.Repeat("list ", 30000)}
}

func offer(t *testing.T, s *source, patience time.Duration) (*Offer, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	o, err := NewOffer(path, s, patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return o, path
}

func TestWholeHandOver(t *testing.T) {
	t.Parallel()
	s := newSource(t)
	o, path := offer(t, s, patience)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	tk, err := Take(path, s.ln.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer tk.Close()
	if string(tk.Held) != s.held {
		t.Errorf("a list of %d bytes came, want %d", len(tk.Held), len(s.held))
	}
	if err := tk.Ready(); err != nil {
		t.Fatal(err)
	}
	taken := make(chan error, 1)
	go func() { taken <- tk.Taken() }()
	g := <-o.Given()
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
	s.ln.Close()
	got, err := tk.Listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()

	// Lists pass both ways until the end.
	heard := make(chan string, 2)
	go func() {
		tk.Await(func(l []byte) { heard <- string(l) }, func(c []byte) { heard <- "coap " + string(c) })
		heard <- "over"
	}()
	g.Tell([]byte("from the old one"))
	if l := <-heard; l != "from the old one" {
		t.Errorf("heard %q", l)
	}
	tk.Tell([]byte("from the new one"))
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := len(s.heard)
		s.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the old one heard nothing")
		}
	}
	g.Done()
	if l := <-heard; l != "over" {
		t.Errorf("heard %q", l)
	}
}

// Whatever breaks before the old one has agreed leaves it as it was, ready for
// the next.
func TestBreaksBeforeItIsTaken(t *testing.T) {
	t.Parallel()
	for name, breaks := range map[string]func(t *testing.T, path, addr string){
		"ends at once": func(t *testing.T, path, addr string) {
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		},
		"says nothing": func(t *testing.T, path, addr string) {
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		},
		"says nonsense": func(t *testing.T, path, addr string) {
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
		},
		"says too much": func(t *testing.T, path, addr string) {
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, strings.Repeat("x", 10000))
		},
		"is of another address": func(t *testing.T, path, addr string) {
			if _, err := Take(path, "127.0.0.1:1", patience); err == nil || !strings.Contains(err.Error(), "turned away: wanted") {
				t.Errorf("taken: %v", err)
			}
		},
		"ends before it is ready": func(t *testing.T, path, addr string) {
			tk, err := Take(path, addr, patience)
			if err != nil {
				t.Fatal(err)
			}
			tk.Close()
		},
		"is never ready": func(t *testing.T, path, addr string) {
			tk, err := Take(path, addr, patience)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(tk.Close)
			// The old one gives up, and says so by the close.
			tk.conn.SetReadDeadline(time.Now().Add(patience))
			if _, err := tk.br.ReadByte(); err != io.EOF {
				t.Errorf("not given up: %v", err)
			}
			if err := tk.Ready(); err == nil {
				t.Error("it may accept all the same")
			}
		},
		"ends between ready and taken": func(t *testing.T, path, addr string) {
			tk, err := Take(path, addr, patience)
			if err != nil {
				t.Fatal(err)
			}
			if err := tk.Ready(); err != nil {
				t.Fatal(err)
			}
			tk.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSource(t)
			o, path := offer(t, s, 300*time.Millisecond)
			breaks(t, path, s.ln.Addr().String())
			// The next one gets it, as soon as the old one is free again.
			for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
				tk, err := Take(path, s.ln.Addr().String(), patience)
				if err == nil {
					defer tk.Close()
					if err = tk.Ready(); err == nil {
						go tk.Taken()
						break
					}
				}
				if time.Now().After(end) {
					t.Fatalf("the next one: %v", err)
				}
			}
			select {
			case g := <-o.Given():
				g.Drop()
			case <-time.After(patience):
				t.Error("never given")
			}
		})
	}
}

// After it was taken, the end of the new process shows, unless it has settled.
func TestGone(t *testing.T) {
	t.Parallel()
	for _, settles := range []bool{false, true} {
		s := newSource(t)
		o, path := offer(t, s, patience)
		tk, err := Take(path, s.ln.Addr().String(), patience)
		if err != nil {
			t.Fatal(err)
		}
		if err := tk.Ready(); err != nil {
			t.Fatal(err)
		}
		go func() {
			tk.Taken()
			if settles {
				tk.Settle()
			}
			tk.Close()
		}()
		g := <-o.Given()
		select {
		case <-g.Gone():
			if settles {
				t.Error("one that has settled counts as gone")
			}
		case <-time.After(map[bool]time.Duration{false: patience, true: 100 * time.Millisecond}[settles]):
			if !settles {
				t.Error("its end did not show")
			}
		}
		g.Drop()
	}
}

func TestNobodyThere(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	if _, err := Take(filepath.Join(dir, "none"), "127.0.0.1:1", patience); !errors.Is(err, ErrNobody) {
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
	if _, err := Take(dead, "127.0.0.1:1", patience); !errors.Is(err, ErrNobody) {
		t.Errorf("a dead socket: %v", err)
	}
	o, err := NewOffer(dead, newSource(t), patience)
	if err != nil {
		t.Errorf("a dead socket can't be replaced: %v", err)
	} else {
		o.Close()
	}
	file := filepath.Join(dir, "file")
	os.WriteFile(file, []byte("text"), 0o600)
	if _, err := NewOffer(file, newSource(t), patience); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("a file: %v", err)
	}
	if text, _ := os.ReadFile(file); string(text) != "text" {
		t.Error("the file was replaced")
	}
}

// A program that is no sidecar at the other end is named in one line.
func TestForeignPrograms(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ says, want string }{
		"a web server":        {"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n", `found "HTTP/1.1 400 Bad Request\r", wanted a sidecar`},
		"one that closes":     {"close", "found a close, wanted a sidecar"},
		"one that is silent":  {"", "found silence, wanted a sidecar"},
		"one without the fd":  {"give 3\nabc", "found no descriptor, wanted that of the listener"},
		"one that is endless": {strings.Repeat("y", 4096), "wanted a sidecar"},
		"one with a bad size": {"give -4\n", `found "give -4", wanted`},
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
				bufio.NewReader(conn).ReadString('\n')
				if c.says != "close" {
					io.WriteString(conn, c.says)
					time.Sleep(time.Second)
				}
				conn.Close()
			}()
			_, err = Take(path, "127.0.0.1:1", 200*time.Millisecond)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// Two ask at once: one gets it, the other is told so.
func TestOneAtATime(t *testing.T) {
	t.Parallel()
	s := newSource(t)
	_, path := offer(t, s, patience)
	tk, err := Take(path, s.ln.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer tk.Close()
	if _, err := Take(path, s.ln.Addr().String(), patience); err == nil || !strings.Contains(err.Error(), "another process is taking over") {
		t.Errorf("the second: %v", err)
	}
}

// FuzzLines looks for first lines that the offering side takes for a request
// without being one.
func FuzzLines(f *testing.F) {
	for _, s := range []string{"", "\n", version + " take 127.0.0.1:1\n", "give 3\n", "list 99999999999\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		br := bufio.NewReaderSize(strings.NewReader(text), mostLine*2)
		line, err := readLine(br)
		if err == nil && len(line) > mostLine {
			t.Errorf("a line of %d bytes", len(line))
		}
		if err == nil {
			readList(br, line, func(l []byte) {
				if len(l) > mostState {
					t.Errorf("a list of %d bytes", len(l))
				}
			})
		}
		_ = fmt.Sprint(shown(line))
	})
}
