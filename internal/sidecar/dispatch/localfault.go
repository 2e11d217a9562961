package dispatch

import (
	"errors"
	"syscall"
)

// IsLocalFault reports whether an upstream could not be contacted because this machine lacks
// file descriptors, memory, ports or a route. Such a failure is not the upstream's: ejecting
// the upstream would reduce the number of servers just when resources are scarce.
func IsLocalFault(err error) bool {
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
