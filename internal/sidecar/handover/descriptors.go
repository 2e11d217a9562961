package handover

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// maxDescriptors is the number of descriptors that the buffer for a received message can
// hold. Only the first two descriptors are used.
const maxDescriptors = 4

// receivedDescriptors returns the file descriptors in control messages.
func receivedDescriptors(controlMessages []byte) []int {
	var descriptors []int
	messages, err := unix.ParseSocketControlMessage(controlMessages)
	if err != nil {
		return nil
	}
	for i := range messages {
		if rights, err := unix.ParseUnixRights(&messages[i]); err == nil {
			descriptors = append(descriptors, rights...)
		}
	}
	return descriptors
}

func closeDescriptors(descriptors []int) {
	for _, fd := range descriptors {
		_ = unix.Close(fd) // Linux closes the descriptor even if it returns an error
	}
}

// listenerFromFD returns a listener for a received descriptor. The descriptor must refer to a
// TCP socket that listens on address. listenerFromFD takes ownership of the descriptor, even
// if it returns an error.
func listenerFromFD(fd int, address string) (*net.TCPListener, error) {
	unix.CloseOnExec(fd)
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening != 1 {
		closeDescriptors([]int{fd})
		return nil, errors.New("received descriptor is not a listening socket")
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer closeIgnoringError(file) // FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("first descriptor: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok || tcp.Addr().String() != address {
		listener.Close()
		return nil, fmt.Errorf("found a listener on %s, wanted one on %s", listener.Addr(), address)
	}
	return tcp, nil
}

// udpConnFromFD returns the UDP socket that a received descriptor refers to. It takes
// ownership of the descriptor, even if it returns an error.
func udpConnFromFD(fd int) (*net.UDPConn, error) {
	unix.CloseOnExec(fd)
	file := os.NewFile(uintptr(fd), "packets")
	defer closeIgnoringError(file) // FilePacketConn duplicates the descriptor
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, fmt.Errorf("second descriptor: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		closeIgnoringError(conn)
		return nil, errors.New("second descriptor is not a UDP socket")
	}
	return udp, nil
}

// sendWithDescriptors sends a message together with the descriptor of the listener. If
// coapSocket is not nil, the descriptor of coapSocket is sent as well. The descriptors are
// not duplicated, so the function works even if the process has reached its limit of open
// files.
func sendWithDescriptors(conn *net.UnixConn, message []byte, listener *net.TCPListener, coapSocket *net.UDPConn) error {
	rawListener, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	send := func(descriptors ...int) {
		_, _, sendErr = conn.WriteMsgUnix(message, unix.UnixRights(descriptors...), nil)
	}
	err = rawListener.Control(func(listenerFD uintptr) {
		if coapSocket == nil {
			send(int(listenerFD))
			return
		}
		rawSocket, err := coapSocket.SyscallConn()
		if err == nil {
			err = rawSocket.Control(func(socketFD uintptr) { send(int(listenerFD), int(socketFD)) })
		}
		if err != nil {
			sendErr = err
		}
	})
	return errors.Join(err, sendErr)
}

// checkSameUser returns an error if the peer runs as another user.
func checkSameUser(conn *net.UnixConn) error {
	credentials, err := peerCredentials(conn)
	if err != nil {
		return err
	}
	if int(credentials.Uid) != os.Getuid() {
		return fmt.Errorf("peer runs as user %d, wanted %d", credentials.Uid, os.Getuid())
	}
	return nil
}

// peerCredentials returns the process ID, user and group of the peer.
func peerCredentials(conn *net.UnixConn) (*unix.Ucred, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var credentials *unix.Ucred
	var credentialsErr error
	if err := raw.Control(func(fd uintptr) {
		credentials, credentialsErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err != nil {
		return nil, err
	}
	return credentials, credentialsErr
}
