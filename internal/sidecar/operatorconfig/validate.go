package operatorconfig

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"otterspring/internal/strictconfig"
)

// maxSocketPathBytes is below the 107 bytes that the address of a Unix socket holds, because
// the socket is bound at a temporary path with a suffix and then renamed.
const maxSocketPathBytes = 100

// reportFunc records an error of a key.
type reportFunc func(key, found, wanted string)

// validate checks the rules that the struct tags can't express.
func (f *File) validate(path string, lines strictconfig.Lines) (faults []*strictconfig.Error) {
	report := func(key, found, wanted string) {
		faults = append(faults, &strictconfig.Error{File: path, Line: lines[key], Key: key, Found: found, Wanted: wanted})
	}
	f.Handover.validate(report)
	f.EndpointList.validate(report)
	f.Configuration.validate(report)
	f.CoAP.validate(report)
	return faults
}

func (h *Handover) validate(report reportFunc) {
	const key = "handover.socket"
	if n := len(h.Socket); n > maxSocketPathBytes {
		report(key, fmt.Sprintf("a path of %d bytes", n), fmt.Sprintf("%d at most", maxSocketPathBytes))
	}
	if h.Socket != "" && !strings.HasPrefix(h.Socket, "/") {
		report(key, strconv.Quote(h.Socket), "an absolute path")
	}
}

func (l *EndpointList) validate(report reportFunc) {
	if l.Proxy == "" {
		return
	}
	if _, ok := parseAddress(l.Proxy); !ok {
		report("list.near", strconv.Quote(l.Proxy), "an IP address and a port")
	}
}

func (c *CoAP) validate(report reportFunc) {
	if c.Listen == "" {
		return
	}
	if address, err := netip.ParseAddrPort(c.Listen); err != nil || address.Addr().IsMulticast() || address.Addr().IsUnspecified() {
		report("coap.listen", strconv.Quote(c.Listen), "one machine's IP address and a port")
	}
	if c.MaxDedupEntries < c.MaxPendingRequests {
		report("coap.kept", strconv.Itoa(c.MaxDedupEntries), fmt.Sprintf("%d (coap.open) or more", c.MaxPendingRequests))
	}
	if c.StatePath != "" && !strings.HasPrefix(c.StatePath, "/") {
		report("coap.state", strconv.Quote(c.StatePath), "an absolute path")
	}
	if c.StatePath != "" && c.FirstRun {
		report("coap.first", "both coap.first and coap.state", "at most one of them")
	}
}

// parseAddress parses an IP address and a port other than 0, and reports whether text is valid.
// IPv4-mapped IPv6 addresses are converted to IPv4, so that both forms compare equal.
func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), err == nil && address.Port() != 0
}
