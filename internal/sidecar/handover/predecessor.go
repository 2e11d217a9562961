package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/faultinjection"
)

// Errors of Request and of the steps that follow.
var (
	// ErrNoPredecessor is returned if no process offers its listener; the caller has to
	// listen on a new socket.
	ErrNoPredecessor = errors.New("no process offers its listener")
	// ErrRejected is returned if the process that offers its listener rejects the request.
	ErrRejected = errors.New("handover was rejected")
	// ErrUnexpectedReply is returned if the peer does not speak the protocol.
	ErrUnexpectedReply = errors.New("unexpected reply, wanted a sidecar that hands its listener over")
	// ErrPredecessorContinues is returned if the old process continues to serve. The new
	// process then has to exit.
	ErrPredecessorContinues = errors.New("the old process continues to serve")
)

// Predecessor represents the old process in the new one. The steps of the handover must be
// called from one goroutine; SendEndpointList and Settle are safe for concurrent use with
// AwaitDrained.
type Predecessor struct {
	Listener     *net.TCPListener
	CoAPSocket   *net.UDPConn // nil if the old process has none
	EndpointList []byte       // endpoint list that the old process has sent with its listener
	conn         *net.UnixConn
	reader       *bufio.Reader
	path         string
	stepTimeout  time.Duration
}

// Request connects to the process that offers its listener at path, requests the listener,
// and checks that the listener has the given address. stepTimeout bounds the wait for the
// listener and each of the following steps. Request returns ErrNoPredecessor if the path does
// not exist or no process listens on the socket at path. Other errors include ErrRejected,
// ErrUnexpectedReply and errors of the connection.
func Request(path, address string, stepTimeout time.Duration) (*Predecessor, error) {
	conn, err := net.DialTimeout("unix", path, messageTimeout)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", path, err)
	}
	p := &Predecessor{conn: conn.(*net.UnixConn), reader: newReader(conn), path: path, stepTimeout: stepTimeout}
	if err := p.receiveState(address); err != nil {
		p.Close()
		return nil, fmt.Errorf("handover: %s: %w", path, err)
	}
	return p, nil
}

// receiveState requests the listener and reads the descriptors and the endpoint list of the
// old process.
func (p *Predecessor) receiveState(address string) error {
	if err := setTimeout(p.conn, p.stepTimeout); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(p.conn, "%s\n", requestLine(address)); err != nil {
		// If another handover is in progress, the old process sends a rejection and closes
		// the connection, possibly before the request is written. The rejection can still be
		// read.
		slog.Debug("handover request was not sent; reading the reply", "error", err)
	}
	faultinjection.At("handover-asked")
	line, descriptors, err := p.receiveReply()
	if err != nil {
		return err
	}
	argument, found := strings.CutPrefix(line, lineGive)
	size, valid := parseSize(argument)
	if !found || !valid {
		closeDescriptors(descriptors)
		if reason, rejected := strings.CutPrefix(line, lineRejected); rejected {
			return fmt.Errorf("%w: %s", ErrRejected, reason)
		}
		return fmt.Errorf("%w: found %s", ErrUnexpectedReply, quoteTruncated(line))
	}
	if err := p.adoptDescriptors(descriptors, address); err != nil {
		return err
	}
	p.EndpointList = make([]byte, size)
	if _, err := io.ReadFull(p.reader, p.EndpointList); err != nil {
		return fmt.Errorf("reading the endpoint list: %w", err)
	}
	return nil
}

// adoptDescriptors creates the listener and the CoAP socket from the first two received
// descriptors and closes all further descriptors.
func (p *Predecessor) adoptDescriptors(descriptors []int, address string) (err error) {
	if len(descriptors) == 0 {
		return errors.New("found no descriptor, wanted that of the listener")
	}
	if len(descriptors) > 2 {
		closeDescriptors(descriptors[2:])
		descriptors = descriptors[:2]
	}
	if p.Listener, err = listenerFromFD(descriptors[0], address); err != nil {
		closeDescriptors(descriptors[1:])
		return err
	}
	if len(descriptors) > 1 {
		p.CoAPSocket, err = udpConnFromFD(descriptors[1])
	}
	return err
}

// receiveReply reads the reply to the request: a line and the descriptors in its ancillary
// data. It reads one byte at a time, because the bytes after the line are left to p.reader.
func (p *Predecessor) receiveReply() (string, []int, error) {
	var line []byte
	var descriptors []int
	nextByte, controlBuffer := make([]byte, 1), make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for len(line) < maxLineBytes {
		n, controlSize, _, _, err := p.conn.ReadMsgUnix(nextByte, controlBuffer)
		descriptors = append(descriptors, receivedDescriptors(controlBuffer[:controlSize])...)
		if err != nil || n == 0 {
			closeDescriptors(descriptors)
			return "", nil, replyReadError(err)
		}
		if nextByte[0] == '\n' {
			return string(line), descriptors, nil
		}
		line = append(line, nextByte[0])
	}
	closeDescriptors(descriptors)
	return "", nil, fmt.Errorf("%w: found %s", ErrUnexpectedReply, quoteTruncated(string(line)))
}

// replyReadError returns the error for a reply that could not be read completely. err is nil
// if the peer closed the connection.
func replyReadError(err error) error {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return fmt.Errorf("%w: found a closed connection", ErrUnexpectedReply)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: found none in time", ErrUnexpectedReply)
	}
	return err
}

// AnnounceReady tells the old process that the new process is ready to serve, and waits for
// the permission to accept connections. After an error the new process must exit without
// accepting connections, because the old process continues to serve.
func (p *Predecessor) AnnounceReady() error {
	faultinjection.At("handover-given")
	line, err := p.exchange(lineReady)
	if err != nil {
		return fmt.Errorf("handover: %s: the old process has exited or its timeout has passed: %w", p.path, err)
	}
	if line != lineYours {
		return fmt.Errorf("handover: %s: found %s, wanted %q", p.path, quoteTruncated(line), lineYours)
	}
	faultinjection.At("handover-yours")
	return nil
}

// AnnounceAccepting tells the old process that the new process accepts connections, and waits
// for the agreement of the old process. After the agreement the new process serves on its
// own, even if the old process exits. AnnounceAccepting also returns nil if the old process
// has exited without an agreement. All errors wrap ErrPredecessorContinues. After an error the
// new process must drain and exit.
func (p *Predecessor) AnnounceAccepting() error {
	faultinjection.At("handover-accepts")
	line, err := p.exchange(lineTaken)
	if err == nil && line == lineAgreed {
		faultinjection.At("handover-taken")
		if err := p.conn.SetDeadline(time.Time{}); err != nil {
			slog.Debug("handover connection has ended", "error", err)
		}
		return nil
	}
	// The old process did not agree or has exited. If it has exited, this process is the
	// only one that serves, and continues.
	if peer, peerErr := peerCredentials(p.conn); peerErr == nil && errors.Is(unix.Kill(int(peer.Pid), 0), unix.ESRCH) {
		return nil
	}
	err = errors.Join(ErrPredecessorContinues, err)
	return fmt.Errorf("handover: %s: found %s, wanted %q: %w", p.path, quoteTruncated(line), lineAgreed, err)
}

// exchange sends a line and reads the reply.
func (p *Predecessor) exchange(line string) (string, error) {
	if err := setTimeout(p.conn, p.stepTimeout); err != nil {
		return "", err
	}
	if _, err := io.WriteString(p.conn, line+"\n"); err != nil {
		return "", err
	}
	return readLine(p.reader)
}

// Settle tells the old process not to accept connections again if the new process exits.
func (p *Predecessor) Settle() { sendLine(p.conn, lineSettled) }

// AwaitDrained returns when the old process has drained or exited. Until then it calls
// onEndpointList for each endpoint list that the old process sends. It calls onCoAPState when
// the old process sends the state of its CoAP exchanges.
func (p *Predecessor) AwaitDrained(onEndpointList, onCoAPState func(payload []byte)) {
	defer closeIgnoringError(p.conn)
	if err := p.conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	for {
		line, err := readLine(p.reader)
		if err != nil || line == lineDone {
			return
		}
		if !readPayload(p.reader, line, lineCoAP, onCoAPState) && !readPayload(p.reader, line, lineList, onEndpointList) {
			return
		}
	}
}

// SendEndpointList sends an endpoint list to the old process. If the list is lost, the old
// process learns of the change from its own discovery.
func (p *Predecessor) SendEndpointList(list []byte) { sendPayload(p.conn, lineList, list) }

// Close ends the handover and closes the received sockets.
func (p *Predecessor) Close() {
	closeIgnoringError(p.conn)
	if p.Listener != nil {
		closeIgnoringError(p.Listener)
	}
	if p.CoAPSocket != nil {
		closeIgnoringError(p.CoAPSocket)
	}
}
