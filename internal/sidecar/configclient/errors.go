package configclient

import (
	"errors"
	"fmt"
	"os"

	"otterspring/internal/fleet/configuration"
)

// errConnectionClosed reports a connection that was closed before the first byte of the
// response.
var errConnectionClosed = errors.New("the connection was closed without a response")

// wrongRegionError reports a response from a relay of another region.
type wrongRegionError struct{ got, want string }

func (e *wrongRegionError) Error() string {
	return fmt.Sprintf("region: found a response of %.80q, wanted %q", e.got, e.want)
}

// noUpdateError reports a response without an update.
type noUpdateError struct {
	code   configuration.ErrorCode
	reason string
}

func (e *noUpdateError) Error() string {
	return fmt.Sprintf("found error code %.80q (%.*s), wanted an update", e.code, configuration.MaxReasonBytes, e.reason)
}

// connectionError wraps an error that occurred before the first byte of the response. It also
// wraps errConnectionClosed, unless the deadline has passed.
func connectionError(operation string, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%s: %w", operation, err)
	}
	return fmt.Errorf("%s: %w: %w", operation, errConnectionClosed, err)
}
