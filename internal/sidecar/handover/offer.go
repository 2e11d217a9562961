package handover

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"otterspring/internal/disk"
	"otterspring/internal/faultinjection"
	"otterspring/internal/unixsocket"
)

// acceptRetryInterval is the pause after a failed accept, as for want of descriptors.
const acceptRetryInterval = 50 * time.Millisecond

// ErrNotSocket is returned where the path of an offer is taken by another kind of file.
var ErrNotSocket = errors.New("found a file that is no socket, wanted a free path")

// errNotReceived is the end of a handover in a process that receives no Successor any
// more.
var errNotReceived = errors.New("the successor before this one was not received")

// Source is the state of an offering process. Its methods are called by goroutines of
// the Offer.
type Source interface {
	// Listener returns the listening socket.
	Listener() *net.TCPListener
	// CoAPSocket returns the socket of the CoAP server, nil for none.
	CoAPSocket() *net.UDPConn
	// EndpointList returns the current list, in discovery's form.
	EndpointList() []byte
	// ApplyEndpointList applies a list that the other process received, if it is newer.
	ApplyEndpointList(list []byte)
}

// Offer offers a listener at a path, to one process at a time. It has a goroutine that
// accepts, until Close or the next Open, and one for the handover in progress, which
// ends with that. One Successor waits to be received.
type Offer struct {
	path        string
	source      Source
	stepTimeout time.Duration
	successors  chan *Successor

	mu       sync.Mutex
	listener net.Listener // at the path; nil once closed
	busy     bool         // a handover is in progress
}

// NewOffer binds path and offers the source's listener there. The path may be left over
// from a process that has exited, or be that of the predecessor. stepTimeout bounds how
// long a new process may take until it is ready, and until it accepts connections.
// Where the path is no socket its error is ErrNotSocket.
func NewOffer(path string, source Source, stepTimeout time.Duration) (*Offer, error) {
	o := &Offer{path: path, source: source, stepTimeout: stepTimeout, successors: make(chan *Successor, 1)}
	return o, o.Open()
}

// Successors delivers each process that the listener was handed over to. The receiver
// drains then and calls AnnounceDrained or, if the Successor is disconnected before,
// Open.
func (o *Offer) Successors() <-chan *Successor { return o.successors }

// Open binds the path in place of the process that has it: a socket is bound beside it
// and renamed, so that the path always exists.
func (o *Offer) Open() error {
	temporary := fmt.Sprintf("%s.%d", o.path, os.Getpid())
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		slog.Debug("handover socket of an earlier process was not removed", "error", err)
	}
	if info, err := os.Lstat(o.path); err == nil && info.Mode().Type() != os.ModeSocket {
		return fmt.Errorf("handover: %s: %w", o.path, ErrNotSocket)
	}
	listener, err := unixsocket.Listen(temporary)
	if err != nil {
		return fmt.Errorf("handover: %s: %w", o.path, err)
	}
	listener.SetUnlinkOnClose(false)
	if err := disk.Rename(temporary, o.path); err != nil {
		discard(listener)
		return fmt.Errorf("handover: %w", errors.Join(err, os.Remove(temporary)))
	}
	o.mu.Lock()
	previous := o.listener
	o.listener, o.busy = listener, false
	o.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
	go o.serve(listener)
	return nil
}

// Close ends the offer; a handover in progress continues. The path stays: a process
// that finds nobody there listens on a new socket.
func (o *Offer) Close() {
	o.mu.Lock()
	listener := o.listener
	o.listener = nil
	o.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
}

func (o *Offer) serve(listener *net.UnixListener) {
	for {
		conn, err := listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		o.mu.Lock()
		busy := o.busy
		o.busy = true
		o.mu.Unlock()
		if busy {
			reject(conn, "another process is taking over just now")
			discard(conn)
			continue
		}
		go o.serveConn(conn)
	}
}

// serveConn hands the listener over, and offers it anew if that fails.
func (o *Offer) serveConn(conn *net.UnixConn) {
	err := o.handOver(conn)
	if err == nil {
		return
	}
	slog.Warn("handover failed; this process continues to serve", "error", err)
	discard(conn)
	// The new process may have the path by now.
	if err := o.Open(); err != nil {
		slog.Error("handover is no longer offered", "error", err)
		o.mu.Lock()
		o.busy = false
		o.mu.Unlock()
	}
}

func reject(conn net.Conn, reason string) {
	if _, err := io.WriteString(conn, lineRejected+reason+"\n"); err != nil {
		slog.Debug("handover rejection was not sent", "error", err)
	}
}

// handOver carries a handover through to its agreement.
func (o *Offer) handOver(conn *net.UnixConn) error {
	if err := checkSameUser(conn); err != nil {
		return err
	}
	reader := newReader(conn)
	if err := setTimeout(conn, messageTimeout); err != nil {
		return err
	}
	line, err := readLine(reader)
	if err != nil {
		return fmt.Errorf("found no request: %w", err)
	}
	if want := request(o.source.Listener().Addr().String()); line != want {
		reject(conn, "wanted "+want)
		return fmt.Errorf("found %s, wanted %q", shown(line), want)
	}
	if err := setTimeout(conn, o.stepTimeout); err != nil {
		return err
	}
	faultinjection.At("handover-gives")
	if err := o.sendState(conn); err != nil {
		return err
	}
	faultinjection.At("handover-gave")
	for _, step := range []struct{ receive, reply, point string }{{lineReady, lineYours, "handover-let"}, {lineTaken, lineAgreed, "handover-agreed"}} {
		line, err := readLine(reader)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("the new process was not %s within %v: %w", step.receive, o.stepTimeout, err)
		}
		if err != nil {
			return fmt.Errorf("the new process exited before it was %s: %w", step.receive, err)
		}
		if line != step.receive {
			return fmt.Errorf("found %s, wanted %q", shown(line), step.receive)
		}
		if _, err := io.WriteString(conn, step.reply+"\n"); err != nil {
			return fmt.Errorf("the new process exited: %w", err)
		}
		faultinjection.At(step.point)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		slog.Debug("handover connection has ended", "error", err)
	}
	successor := &Successor{conn: conn, disconnected: make(chan struct{})}
	select {
	case o.successors <- successor:
		go successor.receive(reader, o.source.ApplyEndpointList)
		return nil
	default: // the one before was not received: this process ends
		return errNotReceived
	}
}

// sendState sends the descriptors and the endpoint list.
func (o *Offer) sendState(conn *net.UnixConn) error {
	list := o.source.EndpointList()
	announcement := fmt.Appendf(nil, "%s%d\n", lineGive, len(list))
	if err := sendWithDescriptors(conn, announcement, o.source.Listener(), o.source.CoAPSocket()); err != nil {
		return fmt.Errorf("sending the listener: %w", err)
	}
	if _, err := conn.Write(list); err != nil {
		return fmt.Errorf("sending the endpoint list: %w", err)
	}
	return nil
}
