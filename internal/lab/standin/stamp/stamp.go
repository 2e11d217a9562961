// Package stamp reads from TCP connections and UDP sockets and reports when the kernel
// received the data. A time taken in user space depends on when the goroutine runs. On a
// loaded machine the goroutine can run several tenths of a second after the receipt. A request
// that was sent in time would then be taken for a late request.
package stamp

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// controlSize is the size in bytes of the buffer for the control messages of one read.
const controlSize = 64

// Reader reads from a TCP connection. It is not safe for concurrent use.
type Reader struct {
	received
	raw syscall.RawConn
	oob [controlSize]byte
}

// NewReader enables receive timestamps on a connection. They apply to data received from now
// on.
func NewReader(c *net.TCPConn) (*Reader, error) {
	raw, err := enableTimestamps(c)
	return &Reader{raw: raw}, err
}

// enableTimestamps has the kernel record when a socket receives data.
func enableTimestamps(c syscall.Conn) (syscall.RawConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var setErr error
	if err := raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1) }); err != nil {
		return nil, err
	}
	return raw, setErr
}

// Read implements io.Reader and observes the read deadline of the connection.
func (r *Reader) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	var oobn int
	var recvErr error
	err = r.raw.Read(func(fd uintptr) bool {
		for {
			n, oobn, _, _, recvErr = unix.Recvmsg(int(fd), b, r.oob[:], 0)
			if !errors.Is(recvErr, unix.EINTR) {
				return !errors.Is(recvErr, unix.EAGAIN)
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case recvErr != nil:
		return 0, recvErr
	case n == 0:
		return 0, io.EOF
	}
	r.parseTimestamp(r.oob[:oobn])
	return n, nil
}

// DatagramReader reads from a UDP socket. It is not safe for concurrent use.
type DatagramReader struct {
	received
	conn *net.UDPConn
	oob  [controlSize]byte
}

// NewDatagramReader enables receive timestamps on a socket. They apply to datagrams received
// from now on.
func NewDatagramReader(c *net.UDPConn) (*DatagramReader, error) {
	_, err := enableTimestamps(c)
	return &DatagramReader{conn: c}, err
}

// Read reads one datagram and returns its sender.
func (d *DatagramReader) Read(b []byte) (int, netip.AddrPort, error) {
	n, oobn, _, peer, err := d.conn.ReadMsgUDPAddrPort(b, d.oob[:])
	if err == nil {
		d.parseTimestamp(d.oob[:oobn])
	}
	return n, peer, err
}

// received holds the time at which the kernel received the data of the latest read.
type received struct {
	at time.Time // zero if the kernel supplied no timestamp
}

// parseTimestamp takes the timestamp from the control messages of a read.
func (r *received) parseTimestamp(oob []byte) {
	r.at = time.Time{}
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= 16 {
			r.at = time.Unix(int64(binary.NativeEndian.Uint64(m.Data)), int64(binary.NativeEndian.Uint64(m.Data[8:])))
		}
	}
}

// maxAge is the largest plausible age. Kernel timestamps use the wall clock, so a clock
// adjustment between receipt and read can make the age wrong.
const maxAge = 10 * time.Second

// Age returns how long ago the kernel received the last byte of the latest read. It returns 0
// if there is no timestamp or the age is implausible.
func (r *received) Age() time.Duration {
	if r.at.IsZero() {
		return 0
	}
	if d := time.Now().Round(0).Sub(r.at); d > 0 && d < maxAge {
		return d
	}
	return 0
}
