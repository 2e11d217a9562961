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

// acceptRetryInterval is the pause after a failed accept, for example when the process is
// out of file descriptors.
const acceptRetryInterval = 50 * time.Millisecond

// ErrNotSocket is returned if a file other than a socket exists at the path of an offer.
var ErrNotSocket = errors.New("found a file that is no socket, wanted a free path")

// errSuccessorPending ends a handover if the process no longer receives from the channel that
// Offer.Successors returns.
var errSuccessorPending = errors.New("the previous successor has not been received")

// Source provides the state of the offering process. An Offer calls the methods of its Source
// from the goroutines that the Offer starts.
type Source interface {
	// Listener returns the listening socket.
	Listener() *net.TCPListener
	// CoAPSocket returns the socket of the CoAP server, or nil if there is none.
	CoAPSocket() *net.UDPConn
	// EndpointList returns the current endpoint list in the format of discovery.
	EndpointList() []byte
	// ApplyEndpointList applies an endpoint list that the other process received, if it is
	// newer than the current one.
	ApplyEndpointList(list []byte)
}

// Offer offers a listener on a Unix socket to one process at a time. One goroutine accepts
// connections until Close or the next Open. Another goroutine runs the handover in progress.
// At most one Successor is queued in the channel that Successors returns.
type Offer struct {
	path        string
	source      Source
	stepTimeout time.Duration
	successors  chan *Successor

	mu       sync.Mutex
	listener net.Listener // Unix socket at path; nil after Close
	busy     bool         // a handover is in progress
}

// NewOffer binds a Unix socket at path and offers the listener of source there. It replaces a
// socket that a process that has exited, or the predecessor, has bound at path. If there is a
// file of another kind at path, NewOffer returns ErrNotSocket. stepTimeout bounds the time
// from the request of a new process until the new process accepts connections.
func NewOffer(path string, source Source, stepTimeout time.Duration) (*Offer, error) {
	o := &Offer{path: path, source: source, stepTimeout: stepTimeout, successors: make(chan *Successor, 1)}
	return o, o.Open()
}

// Successors returns a channel that delivers a Successor for each process that has taken over
// the listener. The caller that receives a Successor must drain this process and then call
// Successor.AnnounceDrained. If the successor disconnects before the drain is complete, the
// caller must call Open instead, which offers the listener again.
func (o *Offer) Successors() <-chan *Successor { return o.successors }

// Open binds the path and replaces the socket that another process may have bound there. It
// binds a temporary path and renames it, so that the path exists at any time.
func (o *Offer) Open() error {
	temporaryPath := fmt.Sprintf("%s.%d", o.path, os.Getpid())
	if err := os.Remove(temporaryPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		slog.Debug("stale handover socket was not removed", "error", err)
	}
	if info, err := os.Lstat(o.path); err == nil && info.Mode().Type() != os.ModeSocket {
		return fmt.Errorf("handover: %s: %w", o.path, ErrNotSocket)
	}
	listener, err := unixsocket.Listen(temporaryPath)
	if err != nil {
		return fmt.Errorf("handover: %s: %w", o.path, err)
	}
	listener.SetUnlinkOnClose(false)
	if err := disk.Rename(temporaryPath, o.path); err != nil {
		closeIgnoringError(listener)
		return fmt.Errorf("handover: %w", errors.Join(err, os.Remove(temporaryPath)))
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

// Close ends the offer; a handover in progress continues. The path is not removed. A new
// process that cannot connect to the path opens a listening socket of its own.
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
			closeIgnoringError(conn)
			continue
		}
		go o.serveConn(conn)
	}
}

// serveConn runs a handover and, if it fails, offers the listener again.
func (o *Offer) serveConn(conn *net.UnixConn) {
	err := o.handOver(conn)
	if err == nil {
		return
	}
	slog.Warn("handover failed; this process continues to serve", "error", err)
	closeIgnoringError(conn)
	// The new process may have bound the path already.
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

// handOver runs a handover until the line "agreed" is sent.
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
		return fmt.Errorf("reading the request: %w", err)
	}
	if want := requestLine(o.source.Listener().Addr().String()); line != want {
		reject(conn, "wanted "+want)
		return fmt.Errorf("found %s, wanted %q", quoteTruncated(line), want)
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
			return fmt.Errorf("found %s, wanted %q", quoteTruncated(line), step.receive)
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
	default: // the previous successor is still queued, so this process is exiting
		return errSuccessorPending
	}
}

// sendState sends the line "give" with the descriptors, then the endpoint list.
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
