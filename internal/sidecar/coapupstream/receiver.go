package coapupstream

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/coap/message"
)

const (
	// quoteSize is the maximum number of bytes read of a quoted datagram: more than the header
	// and the token of a request.
	quoteSize = 64
	// errorControlSize is the size in bytes of the buffer for the control message of an entry
	// of the error queue: header, error and the address of the host that sent the ICMP message.
	errorControlSize = 128
	// extendedErrorOriginOffset is the offset in bytes of the origin in a sock_extended_err. The
	// error number precedes it (ip(7)).
	extendedErrorOriginOffset = 4
	// pollPause is the pause after which a socket is read again on which the runtime can't wait.
	pollPause = 5 * time.Millisecond
)

// eventKind is the kind of an event.
type eventKind int

const (
	noEvent          eventKind = iota
	datagramReceived           // data is the datagram
	datagramRefused            // a datagram that was sent was refused; data is the part of it that the ICMP message quotes
)

// event is what a receiver has read. data is valid until the next read.
type event struct {
	kind eventKind
	data []byte
}

// receiver reads a connected UDP socket and its error queue (IP_RECVERR in ip(7)). For each
// ICMP message, the error queue has an entry with the beginning of the datagram that the
// message is about. The socket's pending error, by contrast, does not tell which datagram it
// is about, and a second error replaces the first.
//
// A receiver is not safe for concurrent use.
type receiver struct {
	raw      syscall.RawConn
	tryRead  func(fd uintptr) bool // sets received and reports whether there is an event
	received event
	buffer   [message.MaxDatagramSize + 1]byte
	quote    [quoteSize]byte
	control  [errorControlSize]byte
}

// newReceiver enables the error queue of a socket that is connected to peer. No datagram may
// have been sent on it before.
func newReceiver(conn *net.UDPConn, peer netip.AddrPort) (*receiver, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	level, option := unix.IPPROTO_IP, unix.IP_RECVERR
	if peer.Addr().Unmap().Is6() {
		level, option = unix.IPPROTO_IPV6, unix.IPV6_RECVERR
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), level, option, 1) }); err != nil {
		return nil, err
	}
	r := &receiver{raw: raw}
	r.tryRead = func(fd uintptr) bool {
		r.received = r.poll(int(fd))
		return r.received.kind != noEvent
	}
	return r, optionErr
}

// receive waits for the next event. It returns an error that wraps net.ErrClosed after the
// socket is closed. It may return noEvent.
func (r *receiver) receive() (event, error) {
	r.received = event{}
	err := r.raw.Read(r.tryRead)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return r.received, err
	}
	// The runtime does not wait for a socket that has an error and can't be written to.
	err = r.raw.Control(func(fd uintptr) { r.tryRead(fd) })
	if err == nil && r.received.kind == noEvent {
		time.Sleep(pollPause)
	}
	return r.received, err
}

// poll returns the next event without waiting. Datagrams come first: a response that arrived
// before a refusal precedes it. The socket's pending error hides datagrams until a read has
// returned and cleared it.
func (r *receiver) poll(fd int) event {
	for {
		n, err := unix.Read(fd, r.buffer[:])
		if err == nil {
			return event{datagramReceived, r.buffer[:n]}
		}
		if !errors.Is(err, unix.EAGAIN) {
			continue // interrupted, or the pending error
		}
		entry, err := r.readErrorQueue(fd)
		if entry.kind != noEvent {
			return entry
		}
		if err != nil && !errors.Is(err, unix.EINTR) {
			return event{}
		}
	}
}

// readErrorQueue removes an entry of the error queue. The event is noEvent if the entry is
// about something else than a refused datagram. The error is EAGAIN if the queue is empty.
func (r *receiver) readErrorQueue(fd int) (event, error) {
	n, controlSize, _, _, err := unix.Recvmsg(fd, r.quote[:], r.control[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
	if err != nil || !isRefusal(r.control[:controlSize]) {
		return event{}, err
	}
	return event{datagramRefused, r.quote[:n]}, nil
}

// isRefusal reports whether the control messages of an entry of the error queue are those of
// an ICMP message that reports a port as unreachable.
func isRefusal(control []byte) bool {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return false
	}
	for _, m := range messages {
		isIPv4 := m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_RECVERR
		isIPv6 := m.Header.Level == unix.IPPROTO_IPV6 && m.Header.Type == unix.IPV6_RECVERR
		if !isIPv4 && !isIPv6 || len(m.Data) <= extendedErrorOriginOffset {
			continue
		}
		number := syscall.Errno(binary.NativeEndian.Uint32(m.Data))
		origin := m.Data[extendedErrorOriginOffset]
		return number == syscall.ECONNREFUSED && (origin == unix.SO_EE_ORIGIN_ICMP || origin == unix.SO_EE_ORIGIN_ICMP6)
	}
	return false
}
