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

// Errors of the new process.
var (
	// ErrNoPredecessor is returned where no process offers its listener: the address is
	// to be listened on by a new socket.
	ErrNoPredecessor = errors.New("no process offers its listener")
	// ErrRejected is returned where a process offers its listener, but not to this one.
	ErrRejected = errors.New("handover was rejected")
	// ErrUnexpectedReply is returned where the peer does not speak the protocol.
	ErrUnexpectedReply = errors.New("unexpected reply, wanted a sidecar that hands its listener over")
	// ErrPredecessorContinues is returned where the old process continues to serve, so
	// that this one has to exit.
	ErrPredecessorContinues = errors.New("the old process continues to serve")
)

// Predecessor is the old process as the new one sees it. The steps of the handover are
// for one goroutine; SendEndpointList and Settle are safe for concurrent use with
// AwaitDrained.
type Predecessor struct {
	Listener     *net.TCPListener
	CoAPSocket   *net.UDPConn // nil where the old process has none
	EndpointList []byte       // of the old process
	conn         *net.UnixConn
	reader       *bufio.Reader
	path         string
	stepTimeout  time.Duration
}

// Request requests the listener of the process that offers it at path, and checks that
// it listens on address. stepTimeout bounds this and each of the steps that follow.
// ErrNoPredecessor means that there is none: the path does not exist, or nobody listens
// on the socket any more. Other errors are ErrRejected, ErrUnexpectedReply, and those
// of the connection.
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

// receiveState requests the listener and reads what the old process sends.
func (p *Predecessor) receiveState(address string) error {
	if err := setTimeout(p.conn, p.stepTimeout); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(p.conn, "%s\n", request(address)); err != nil {
		// A busy process rejects and closes, perhaps before this is written. Its reply can
		// be read all the same.
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
		return fmt.Errorf("%w: found %s", ErrUnexpectedReply, shown(line))
	}
	if err := p.useDescriptors(descriptors, address); err != nil {
		return err
	}
	p.EndpointList = make([]byte, size)
	if _, err := io.ReadFull(p.reader, p.EndpointList); err != nil {
		return fmt.Errorf("reading the endpoint list: %w", err)
	}
	return nil
}

// useDescriptors makes the listener and the CoAP socket, and closes what is too many.
func (p *Predecessor) useDescriptors(descriptors []int, address string) (err error) {
	if len(descriptors) == 0 {
		return errors.New("found no descriptor, wanted that of the listener")
	}
	if len(descriptors) > 2 {
		closeDescriptors(descriptors[2:])
		descriptors = descriptors[:2]
	}
	if p.Listener, err = listenerOf(descriptors[0], address); err != nil {
		closeDescriptors(descriptors[1:])
		return err
	}
	if len(descriptors) > 1 {
		p.CoAPSocket, err = packetConnOf(descriptors[1])
	}
	return err
}

// receiveReply reads the reply to the request: a line, with the descriptors beside it.
// It reads byte by byte, since what follows the line belongs to the reader.
func (p *Predecessor) receiveReply() (string, []int, error) {
	var line []byte
	var descriptors []int
	one, controlMessages := make([]byte, 1), make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for len(line) < maxLineBytes {
		n, controlBytes, _, _, err := p.conn.ReadMsgUnix(one, controlMessages)
		descriptors = append(descriptors, receivedDescriptors(controlMessages[:controlBytes])...)
		if err != nil || n == 0 {
			closeDescriptors(descriptors)
			return "", nil, replyError(err)
		}
		if one[0] == '\n' {
			return string(line), descriptors, nil
		}
		line = append(line, one[0])
	}
	closeDescriptors(descriptors)
	return "", nil, fmt.Errorf("%w: found %s", ErrUnexpectedReply, shown(string(line)))
}

// replyError words why a reply has no end; err is nil for an end of the connection.
func replyError(err error) error {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return fmt.Errorf("%w: found a closed connection", ErrUnexpectedReply)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: found none in time", ErrUnexpectedReply)
	}
	return err
}

// AnnounceReady tells the old process that this one could serve, and waits until it may
// accept connections. After an error it must exit without having accepted any: the old
// process continues.
func (p *Predecessor) AnnounceReady() error {
	faultinjection.At("handover-given")
	line, err := p.exchange(lineReady)
	if err != nil {
		return fmt.Errorf("handover: %s: the old process has exited or its timeout has passed: %w", p.path, err)
	}
	if line != lineYours {
		return fmt.Errorf("handover: %s: found %s, wanted %q", p.path, shown(line), lineYours)
	}
	faultinjection.At("handover-yours")
	return nil
}

// AnnounceAccepting tells the old process that this one accepts connections, and waits
// for its agreement. From then on this process serves alone, whatever becomes of the
// old one. After an error, which is ErrPredecessorContinues, it must drain and exit.
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
	// Either it did not agree, or it has exited. Only the first leaves two processes.
	if peer, peerErr := peerCredentials(p.conn); peerErr == nil && errors.Is(unix.Kill(int(peer.Pid), 0), unix.ESRCH) {
		return nil
	}
	err = errors.Join(ErrPredecessorContinues, err)
	return fmt.Errorf("handover: %s: found %s, wanted %q: %w", p.path, shown(line), lineAgreed, err)
}

// exchange sends a line and reads the next one.
func (p *Predecessor) exchange(line string) (string, error) {
	if err := setTimeout(p.conn, p.stepTimeout); err != nil {
		return "", err
	}
	if _, err := io.WriteString(p.conn, line+"\n"); err != nil {
		return "", err
	}
	return readLine(p.reader)
}

// Settle tells the old process not to accept connections again if this one exits.
func (p *Predecessor) Settle() { sendLine(p.conn, lineSettled) }

// AwaitDrained returns when the old process has drained or has exited. Meanwhile it
// passes on each endpoint list that the old process has received, and the state of its
// CoAP exchanges.
func (p *Predecessor) AwaitDrained(onEndpointList, onCoAPState func(payload []byte)) {
	defer discard(p.conn)
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

// SendEndpointList sends a list to the old process, which has discovery of its own if
// the list does not arrive.
func (p *Predecessor) SendEndpointList(list []byte) { sendPayload(p.conn, lineList, list) }

// Close ends the handover and closes the received sockets.
func (p *Predecessor) Close() {
	discard(p.conn)
	if p.Listener != nil {
		discard(p.Listener)
	}
	if p.CoAPSocket != nil {
		discard(p.CoAPSocket)
	}
}
