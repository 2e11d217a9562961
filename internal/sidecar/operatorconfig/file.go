package operatorconfig

import (
	"errors"
	"net/netip"
	"time"

	"otterspring/internal/strictconfig"
)

// File is the content of an operator's file. Features without a section are disabled.
type File struct {
	Drain         Drain         `toml:"drain"`
	Handover      Handover      `toml:"handover"`
	Notify        Notify        `toml:"notify"`
	CoAP          CoAP          `toml:"coap"`
	EndpointList  EndpointList  `toml:"list"`
	Configuration Configuration `toml:"configuration"`
}

// EndpointList is the section on the endpoint list: the sidecar watches the list at a proxy on
// its host that relays the list of discovery (docs/operate/list.md). Changes of the section
// require a restart.
type EndpointList struct {
	// Proxy is the address of the proxy. If it is empty, the sidecar watches discovery directly.
	Proxy string `toml:"near"`
	// Source is the name of the discovery service whose list the proxy relays.
	Source string `toml:"source"`
	// Jitter is the upper bound of the delay between a failure of the proxy and the fail-over to
	// discovery. Each sidecar derives its delay from its name, so that the fail-overs of
	// different sidecars are spread over this time.
	Jitter time.Duration `toml:"spread" min:"0s" max:"5m"`
}

// Drain is the section on graceful shutdown. A reload applies changes of the section: they take
// effect at the next drain.
type Drain struct {
	// Timeout is how long after the signal the sidecar waits for requests in flight. Requests
	// that are still pending then get an error response that says whether a retry is safe. If
	// 0, the timeout is derived from the longest deadline of the classes and the time during
	// which new connections still arrive.
	Timeout time.Duration `toml:"finish" min:"1s" max:"10m"`
}

// Handover is the section on handovers, in which a new process receives the listening socket
// of a running one. Changes of the section require a restart.
type Handover struct {
	// Socket is the path of the Unix socket at which a process offers its listener to a successor
	// and requests the listener of its predecessor. If it is empty, handovers are disabled.
	Socket string `toml:"socket"`
	// StepTimeout bounds the time from the request of the new process until it is ready, and each
	// later step of the handover. If a step takes longer, the old process continues to serve.
	StepTimeout time.Duration `toml:"ready_within" min:"100ms" max:"5m"`
}

// Notify is the section on notifications of the service manager with systemd's protocol,
// sd_notify(3). Changes of the section require a restart.
type Notify struct {
	// Systemd enables notifications to the socket in $NOTIFY_SOCKET, if that is set.
	Systemd bool `toml:"systemd"`
}

// CoAP is the section on CoAP: a server that accepts requests, and a client for call servers
// that use CoAP. Changes of the section require a restart.
type CoAP struct {
	// Listen is the UDP address of the server, with neither an unspecified nor a multicast IP
	// address. If it is empty, the server is disabled.
	Listen string `toml:"listen"`
	// MaxPendingRequests bounds the requests without a response. MaxDedupEntries bounds the
	// exchanges that are kept with their responses to detect duplicates. Each exchange is kept
	// for at most 247 s (EXCHANGE_LIFETIME in RFC 7252, section 4.8.2) and takes about 360 bytes
	// in addition to its response. MaxDedupBytes bounds the total size of these responses.
	MaxPendingRequests int               `toml:"open" min:"8" max:"4096"`
	MaxDedupEntries    int               `toml:"kept" min:"64" max:"262144"`
	MaxDedupBytes      strictconfig.Size `toml:"kept_bytes" min:"0B" max:"64MiB"`
	// MaxCompletedUnsafe bounds the unsafe requests that are kept without their responses,
	// about 40 bytes each. It limits how many unsafe requests can be accepted within 247 s.
	MaxCompletedUnsafe int `toml:"settled" min:"0" max:"4194304"`
	// MaxTransfers bounds the block-wise transfers (RFC 7959) in progress. MaxTransferBytes
	// bounds the total size of their bodies. Both apply to each direction separately.
	MaxTransfers     int               `toml:"transfers" min:"1" max:"1024"`
	MaxTransferBytes strictconfig.Size `toml:"transfer_bytes" min:"64KiB" max:"64MiB"`
	// MaxObservers bounds the observations (RFC 7641); 0 disables them. An observed resource
	// is requested again every ObserveInterval.
	MaxObservers    int           `toml:"observers" min:"0" max:"4096"`
	ObserveInterval time.Duration `toml:"observe_every" min:"100ms" max:"10m"`
	// TrustedNetworks are networks in which source addresses can't be forged. A client outside
	// these networks is sent at most three times the number of bytes received from it, until the
	// client has proven its address with an Echo option.
	TrustedNetworks []Network `toml:"trusted" max:"64"`
	// Upstreams enables call servers whose address in the endpoint list starts with "coap://". A
	// confirmable message to such a server is retransmitted for the first time after a delay
	// between AckTimeout and 1.5 times AckTimeout. It is retransmitted at most four times (RFC
	// 7252, section 4.8).
	Upstreams  bool          `toml:"servers"`
	AckTimeout time.Duration `toml:"ack_timeout" min:"20ms" max:"10s"`
	// StatePath is the file in which a process stores the state of its exchanges at exit for
	// the next process. A missing file means that no process has run before.
	StatePath string `toml:"state"`
	// FirstRun declares that no earlier process has run here. Unsafe requests are then
	// executed from the start. Otherwise unsafe requests without an Echo option are rejected
	// for the first 247 s, since an earlier process may have executed them.
	FirstRun bool `toml:"first"`
}

// Network is an address prefix like "10.1.0.0/16".
type Network struct{ netip.Prefix }

// UnmarshalText parses a prefix and rejects one with bits set beyond its length. The error text
// is the wanted form, as strictconfig requires it.
func (n *Network) UnmarshalText(text []byte) error {
	prefix, err := netip.ParsePrefix(string(text))
	if err != nil || prefix != prefix.Masked() {
		return errors.New(`a network like "10.1.0.0/16"`)
	}
	n.Prefix = prefix
	return nil
}
