// Package handover passes a listening socket from a running process to the one
// that takes its place, over a Unix socket. The protocol is of lines; the
// descriptor travels beside the line "give":
//
//	new: otterspring-handover/1 take ADDRESS   the address that it is to serve
//	old: give N, then N bytes                  the listener and, where it has one, the socket for CoAP, and the
//	                                           list as the old one holds it
//	new: ready                                 it could serve now
//	old: yours                                 it may accept
//	new: taken                                 it accepts
//	old: agreed                                the old one accepts no more, and drains
//	new: settled                               the old one must not come back any more
//	both: list N, then N bytes                 the list as this side holds it now, at each change
//	old: coap N, then N bytes                  it reads that socket no more, and what it remembers
//	old: done                                  it has answered everything and ends
//
// Both processes are one instance: what discovery tells the one the other must
// heed within the same grace, so lists pass both ways until "done".
//
// Whatever ends the connection before "agreed", the old process goes on as if
// nothing had been, and the new one, should it live, ends. After "agreed" and before "settled", an end of the
// connection means that the new process is gone: the old one, if it still
// drains, accepts again. At no time does nobody hold the socket, so no
// connection is refused, and what waits in its queue is taken by whoever
// accepts.
package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/inject"
)

const (
	version    = "otterspring-handover/1"
	mostState  = 64 << 20 // bytes of the list, or of what is remembered of CoAP
	mostLine   = 256
	wordWithin = time.Second // for a line that needs no work
)

// ErrNobody is what Take returns where no process offers its listener: the
// address is to be listened on anew.
var ErrNobody = errors.New("nobody to take over from")

// readLine reads one line of the protocol.
func readLine(br *bufio.Reader) (string, error) {
	line, err := br.ReadSlice('\n')
	if err == bufio.ErrBufferFull || len(line) > mostLine {
		return "", fmt.Errorf("found a line over %d bytes", mostLine)
	}
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(string(line), "\n"), nil
}

// shown is a line as it may stand in a message.
func shown(line string) string {
	if len(line) > 60 {
		line = line[:57] + "..."
	}
	return strconv.Quote(line)
}

// Taking is a hand-over as the new process sees it.
type Taking struct {
	Listener *net.TCPListener
	Held     []byte       // the list as the old process held it
	Packets  *net.UDPConn // for CoAP; nil where the old process has none
	conn     *net.UnixConn
	br       *bufio.Reader
	path     string
	patience time.Duration
}

// Take asks the process that offers its listener at path for it, and checks
// that it listens on addr. ErrNobody means that there is none: no such path, or
// a socket that nobody listens on any more. patience bounds each of the steps
// that follow.
func Take(path, addr string, patience time.Duration) (*Taking, error) {
	c, err := net.DialTimeout("unix", path, wordWithin)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNobody
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", path, err)
	}
	t := &Taking{conn: c.(*net.UnixConn), path: path, patience: patience}
	t.br = bufio.NewReaderSize(t.conn, mostLine*2)
	if err := t.take(addr); err != nil {
		t.Close()
		return nil, fmt.Errorf("handover: %s: %w", path, err)
	}
	return t, nil
}

// take asks, and reads what is given.
func (t *Taking) take(addr string) error {
	t.conn.SetDeadline(time.Now().Add(t.patience))
	// One that is busy says so and closes, perhaps before this is written: what
	// it said is there to be read all the same.
	fmt.Fprintf(t.conn, "%s take %s\n", version, addr)
	inject.At("handover-asked")
	line, fds, err := t.receive()
	if err != nil {
		return err
	}
	fd := -1
	if len(fds) > 0 {
		fd = fds[0]
	}
	defer func() {
		for _, extra := range fds[min(2, len(fds)):] {
			closeFD(extra)
		}
	}()
	packets := -1
	if len(fds) > 1 {
		packets = fds[1]
	}
	size, ok := strings.CutPrefix(line, "give ")
	n, err := strconv.Atoi(size)
	if !ok || err != nil || n < 0 || n > mostState {
		closeFD(fd)
		closeFD(packets)
		if why, no := strings.CutPrefix(line, "no "); no {
			return fmt.Errorf("turned away: %s", why)
		}
		return fmt.Errorf("found %s, wanted a sidecar that gives its listener", shown(line))
	}
	if fd < 0 {
		return errors.New("found no descriptor, wanted that of the listener")
	}
	if t.Listener, err = listener(fd, addr); err != nil {
		closeFD(packets)
		return err
	}
	if packets >= 0 {
		if t.Packets, err = packetConn(packets); err != nil {
			return err
		}
	}
	t.Held = make([]byte, n)
	if _, err := io.ReadFull(t.br, t.Held); err != nil {
		return fmt.Errorf("reading the list: %w", err)
	}
	return nil
}

// receive reads the first answer: a line, with the descriptors beside it.
func (t *Taking) receive() (line string, fds []int, err error) {
	closeAll := func() {
		for _, fd := range fds {
			closeFD(fd)
		}
		fds = nil
	}
	buf, oob := make([]byte, mostLine), make([]byte, unix.CmsgSpace(4*4))
	var got []byte
	for len(got) < mostLine {
		n, oobn, _, _, err := t.conn.ReadMsgUnix(buf[:1], oob)
		fds = append(fds, rights(oob[:oobn])...)
		if err != nil || n == 0 {
			closeAll()
			if err == nil || errors.Is(err, io.EOF) {
				return "", nil, errors.New("found a close, wanted a sidecar that gives its listener")
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return "", nil, errors.New("found silence, wanted a sidecar that gives its listener")
			}
			return "", nil, err
		}
		if buf[0] == '\n' {
			return string(got), fds, nil
		}
		got = append(got, buf[0])
	}
	closeAll()
	return "", nil, fmt.Errorf("found %s, wanted a sidecar that gives its listener", shown(string(got)))
}

// rights returns the descriptors of control messages.
func rights(oob []byte) []int {
	var fds []int
	msgs, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range msgs {
		if got, err := unix.ParseUnixRights(&msgs[i]); err == nil {
			fds = append(fds, got...)
		}
	}
	return fds
}

func closeFD(fd int) {
	if fd >= 0 {
		unix.Close(fd)
	}
}

// listener makes a listener of a descriptor that was given, if it is what it
// is said to be: a TCP socket that listens on addr.
func listener(fd int, addr string) (*net.TCPListener, error) {
	unix.CloseOnExec(fd)
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on != 1 {
		closeFD(fd)
		return nil, errors.New("found a descriptor that does not listen, wanted a listener")
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close() // FileListener has its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("the descriptor given: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok || tcp.Addr().String() != addr {
		ln.Close()
		return nil, fmt.Errorf("found a listener on %s, wanted one on %s", ln.Addr(), addr)
	}
	return tcp, nil
}

// packetConn makes a socket for datagrams of a descriptor that was given.
func packetConn(fd int) (*net.UDPConn, error) {
	unix.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "packets")
	defer f.Close() // FilePacketConn has its own
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil, fmt.Errorf("the second descriptor given: %w", err)
	}
	u, ok := c.(*net.UDPConn)
	if !ok {
		c.Close()
		return nil, errors.New("found a second descriptor that is no UDP socket, wanted one")
	}
	return u, nil
}

// Ready tells that the new process could serve, and waits until it may accept.
// After an error it must end without having accepted anything: the old process
// goes on.
func (t *Taking) Ready() error {
	inject.At("handover-given")
	t.conn.SetDeadline(time.Now().Add(t.patience))
	if _, err := io.WriteString(t.conn, "ready\n"); err != nil {
		return fmt.Errorf("handover: %s: the old process is gone or has given up waiting: %w", t.path, err)
	}
	line, err := readLine(t.br)
	if err != nil {
		return fmt.Errorf("handover: %s: the old process is gone or has given up waiting: %w", t.path, err)
	}
	if line != "yours" {
		return fmt.Errorf("handover: %s: found %s, wanted \"yours\"", t.path, shown(line))
	}
	inject.At("handover-yours")
	return nil
}

// Taken tells that the new process accepts, and waits for the old one to agree.
// From then on it goes on alone, whatever becomes of the old one. After an error
// the old one lives and goes on: this one must drain and end.
func (t *Taking) Taken() error {
	inject.At("handover-accepts")
	t.conn.SetDeadline(time.Now().Add(t.patience))
	_, err := io.WriteString(t.conn, "taken\n")
	line := ""
	if err == nil {
		line, err = readLine(t.br)
	}
	if err == nil && line == "agreed" {
		inject.At("handover-taken")
		t.conn.SetDeadline(time.Time{})
		return nil
	}
	// It did not agree, or it died. Only the first leaves two of us.
	if cred, e := peer(t.conn); e == nil && unix.Kill(int(cred.Pid), 0) == unix.ESRCH {
		return nil
	}
	return fmt.Errorf("handover: %s: the old process goes on: found %s, wanted \"agreed\" (%v)", t.path, shown(line), err)
}

// Settle tells the old process not to come back if this one ends.
func (t *Taking) Settle() {
	t.conn.SetWriteDeadline(time.Now().Add(wordWithin))
	io.WriteString(t.conn, "settled\n")
}

// Await returns when the old process has ended its drain or is gone. Meanwhile
// it hands every list that the old one was told to hear, and what that one
// remembers of CoAP to coap.
func (t *Taking) Await(hear, coap func(text []byte)) {
	defer t.conn.Close()
	t.conn.SetReadDeadline(time.Time{})
	for {
		line, err := readLine(t.br)
		if err != nil || line == "done" {
			return
		}
		into := hear
		if rest, ok := strings.CutPrefix(line, "coap "); ok {
			line, into = "list "+rest, coap
		}
		if !readList(t.br, line, into) {
			return
		}
	}
}

// Tell passes the list on to the old process.
func (t *Taking) Tell(list []byte) { tell(t.conn, list) }

// tell writes a list. One that can't be written within a second is left out:
// the other side has discovery of its own.
func tell(c net.Conn, list []byte) {
	c.SetWriteDeadline(time.Now().Add(wordWithin))
	c.Write(append(fmt.Appendf(nil, "list %d\n", len(list)), list...))
}

// readList reads the list that a line announces; false if it announces none.
func readList(br *bufio.Reader, line string, hear func([]byte)) bool {
	size, ok := strings.CutPrefix(line, "list ")
	n, err := strconv.Atoi(size)
	if !ok || err != nil || n < 0 || n > mostState {
		return false
	}
	list := make([]byte, n)
	if _, err := io.ReadFull(br, list); err != nil {
		return false
	}
	hear(list)
	return true
}

// Close ends the hand-over.
func (t *Taking) Close() {
	t.conn.Close()
	if t.Listener != nil {
		t.Listener.Close()
	}
	if t.Packets != nil {
		t.Packets.Close()
	}
}
