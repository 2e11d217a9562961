package dispatch

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// Guards against ejecting servers that work for momentary faults of this machine.
func TestLocalFaultsOfADial(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true, syscall.EADDRNOTAVAIL: true, syscall.ENETUNREACH: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ECONNRESET: false,
	} {
		err := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		if got := IsLocalFault(err); got != local {
			t.Errorf("%v: local %t, want %t", errno, got, local)
		}
	}
}
