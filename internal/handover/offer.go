package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/disk"
	"otterspring/internal/inject"
	"otterspring/internal/unixsocket"
)

// Source is what an offering process has to give.
type Source interface {
	Listener() *net.TCPListener
	Packets() *net.UDPConn // for CoAP; nil for none
	Held() []byte          // the list as it holds it
	Hear([]byte)           // takes the list that the other process holds
}

// Offer offers a listener at a path, to one process at a time.
type Offer struct {
	path     string
	src      Source
	patience time.Duration
	given    chan *Giving

	mu   sync.Mutex
	ln   *net.UnixListener
	busy bool
	wg   sync.WaitGroup
}

// Giving is a hand-over that the other process has taken, as the old one sees
// it.
type Giving struct {
	conn net.Conn
	gone chan struct{}
}

// NewOffer opens path, which may be left over from a process that has ended or
// be that of the process before, and offers there what src has. patience bounds
// how long a new process may take until it is ready.
func NewOffer(path string, src Source, patience time.Duration) (*Offer, error) {
	o := &Offer{path: path, src: src, patience: patience, given: make(chan *Giving)}
	return o, o.Open()
}

// Given delivers the hand-overs that were taken. The receiver drains then and
// calls Done or, if the other process is gone before, Open.
func (o *Offer) Given() <-chan *Giving { return o.given }

// Open binds the path, in place of whoever had it: a socket is bound beside it
// and renamed, so that the path is never away.
func (o *Offer) Open() error {
	tmp := fmt.Sprintf("%s.%d", o.path, os.Getpid())
	os.Remove(tmp)
	if info, err := os.Lstat(o.path); err == nil && info.Mode().Type() != os.ModeSocket {
		return fmt.Errorf("handover: %s: found a file that is no socket, wanted a free path", o.path)
	}
	u, err := unixsocket.Listen(tmp)
	if err != nil {
		return fmt.Errorf("handover: %s: %w", o.path, err)
	}
	u.SetUnlinkOnClose(false)
	if err := disk.Rename(tmp, o.path); err != nil {
		u.Close()
		os.Remove(tmp)
		return fmt.Errorf("handover: %w", err)
	}
	o.mu.Lock()
	before := o.ln
	o.ln, o.busy = u, false
	o.mu.Unlock()
	if before != nil {
		before.Close()
	}
	o.wg.Add(1)
	go o.serve(u)
	return nil
}

// Close offers no more; a hand-over that is under way goes on. The path stays: a process that finds nobody there
// listens anew.
func (o *Offer) Close() {
	o.mu.Lock()
	ln := o.ln
	o.ln = nil
	o.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
}

func (o *Offer) serve(ln *net.UnixListener) {
	defer o.wg.Done()
	for {
		c, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond) // out of descriptors, say
			continue
		}
		o.mu.Lock()
		busy := o.busy
		o.busy = true
		o.mu.Unlock()
		if busy {
			io.WriteString(c, "no another process is taking over just now\n")
			c.Close()
			continue
		}
		go func() {
			if err := o.give(c); err != nil {
				slog.Warn("handover: given up, this process goes on", "why", err)
				c.Close()
				// The new process may have the path by now.
				if err := o.Open(); err != nil {
					slog.Error("handover: no longer offered", "why", err)
					o.free()
				}
			}
		}()
	}
}

// free lets the next process ask.
func (o *Offer) free() {
	o.mu.Lock()
	o.busy = false
	o.mu.Unlock()
}

// give carries a hand-over through to "taken".
func (o *Offer) give(c *net.UnixConn) error {
	if err := sameUser(c); err != nil {
		return err
	}
	br := bufio.NewReaderSize(c, mostLine*2)
	c.SetDeadline(time.Now().Add(wordWithin))
	line, err := readLine(br)
	if err != nil {
		return fmt.Errorf("found no request: %w", err)
	}
	want := version + " take " + o.src.Listener().Addr().String()
	if line != want {
		io.WriteString(c, "no wanted "+want+"\n")
		return fmt.Errorf("found %s, wanted %q", shown(line), want)
	}
	c.SetDeadline(time.Now().Add(o.patience))
	inject.At("handover-gives")
	if err := sendListener(c, o.src.Listener(), o.src.Packets(), o.src.Held()); err != nil {
		return err
	}
	inject.At("handover-gave")
	for _, step := range []struct{ hear, say, point string }{{"ready", "yours\n", "handover-let"}, {"taken", "agreed\n", "handover-agreed"}} {
		line, err := readLine(br)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("the new process was not %s within %v", step.hear, o.patience)
		}
		if err != nil {
			return fmt.Errorf("the new process ended before it was %s: %w", step.hear, err)
		}
		if line != step.hear {
			return fmt.Errorf("found %s, wanted %q", shown(line), step.hear)
		}
		if _, err := io.WriteString(c, step.say); err != nil {
			return fmt.Errorf("the new process ended: %w", err)
		}
		inject.At(step.point)
	}
	c.SetDeadline(time.Time{})
	g := &Giving{conn: c, gone: make(chan struct{})}
	go g.watch(br, o.src.Hear)
	o.given <- g
	return nil
}

// sendListener sends the line "give" with the descriptor beside it, then the
// list. The descriptor is used in place: no other is needed for it, so this
// works with all of them in use.
func sendListener(c *net.UnixConn, ln *net.TCPListener, packets *net.UDPConn, held []byte) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	send := func(fds ...int) {
		_, _, sendErr = c.WriteMsgUnix(fmt.Appendf(nil, "give %d\n", len(held)), unix.UnixRights(fds...), nil)
	}
	err = raw.Control(func(fd uintptr) {
		if packets == nil {
			send(int(fd))
			return
		}
		second, err := packets.SyscallConn()
		if err == nil {
			err = second.Control(func(fd2 uintptr) { send(int(fd), int(fd2)) })
		}
		if err != nil {
			sendErr = err
		}
	})
	if err != nil {
		return err
	}
	if sendErr != nil {
		return fmt.Errorf("giving the listener: %w", sendErr)
	}
	if _, err := c.Write(held); err != nil {
		return fmt.Errorf("giving the list: %w", err)
	}
	return nil
}

// sameUser turns away processes of other users.
func sameUser(c *net.UnixConn) error {
	cred, err := peer(c)
	if err != nil {
		return err
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("found a process of user %d, wanted %d", cred.Uid, os.Getuid())
	}
	return nil
}

// peer tells which process is at the other end.
func peer(c *net.UnixConn) (*unix.Ucred, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var cred *unix.Ucred
	var credErr error
	if err := raw.Control(func(fd uintptr) { cred, credErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); err != nil {
		return nil, err
	}
	return cred, credErr
}

// watch waits for the end of the new process, or its word that it is settled,
// and hears the lists that it is told.
func (g *Giving) watch(br *bufio.Reader, hear func([]byte)) {
	settled := false
	for {
		line, err := readLine(br)
		if err == nil && line == "settled" {
			settled = true
			continue
		}
		if err == nil && readList(br, line, hear) {
			continue
		}
		if !settled {
			close(g.gone)
		}
		return
	}
}

// Tell passes the list on to the new process.
func (g *Giving) Tell(list []byte) { tell(g.conn, list) }

// Coap passes on what this process remembers of CoAP. It reads that socket no
// more. One that can't be written leaves the other process as after a kill.
func (g *Giving) Coap(text []byte) {
	g.conn.SetWriteDeadline(time.Now().Add(wordWithin))
	g.conn.Write(append(fmt.Appendf(nil, "coap %d\n", len(text)), text...))
}

// Gone is closed if the new process ends before it has settled.
func (g *Giving) Gone() <-chan struct{} { return g.gone }

// Done tells the new process that this one has answered everything.
func (g *Giving) Done() {
	inject.At("handover-drained")
	g.conn.SetWriteDeadline(time.Now().Add(wordWithin))
	io.WriteString(g.conn, "done\n")
	g.conn.Close()
}

// Drop ends the connection to a new process that is gone.
func (g *Giving) Drop() { g.conn.Close() }
