package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/coapfront"
	"otterspring/internal/coapupstream"
	"otterspring/internal/discovery"
	"otterspring/internal/httpfront"
	"otterspring/internal/httpupstream"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/operatorconfig"
	"otterspring/internal/subscription"
)

// The shares of the descriptors: some for the process itself and discovery,
// two fifths of the rest for upstreams and three for clients. Clients ask on a
// third of all at most, but keep more: those that asked once, and those that
// never will.
const ownSockets = 16

func upstreamShare(sockets int) int { return (sockets - ownSockets) * 2 / 5 }

// clientShares returns how many client connections are served, and how many
// more are taken on while others are being closed or only to be refused.
func clientShares(sockets int) (serve, refuse int) {
	n := sockets - ownSockets - upstreamShare(sockets)
	return n - n/8, n / 8
}

// Sidecar is a running sidecar.
type Sidecar struct {
	eng   *dispatch.Dispatcher
	pool  *httpupstream.Pool
	front *httpfront.Front
	coap  *coapfront.Front // nil where it is off
	disc  *discovery.Follower
	// control follows the configuration of services; nil where it is off.
	control *subscription.Client
	cfg     Config // as last loaded; only Reload touches it
	stop    context.CancelFunc
	finish  atomic.Int64 // bound of the drain, in nanoseconds; 0 for the usual one

	reloads [2]atomic.Int64 // that went well, and that did not
}

// reloadCounts is what /up says of reloads: how many went well, and how many not.
func (s *Sidecar) reloadCounts() string {
	return fmt.Sprintf("%d/%d", s.reloads[0].Load(), s.reloads[1].Load())
}

// listed is what /up says of the list: its version.
func (s *Sidecar) listed() string {
	index, _ := s.eng.EndpointVersion()
	return strconv.FormatInt(index, 10)
}

// NoteReload counts a reload, for who asks at /up.
func (s *Sidecar) NoteReload(well bool) {
	if well {
		s.reloads[0].Add(1)
	} else {
		s.reloads[1].Add(1)
	}
}

// Options are what a start may bring beside the configuration.
type Options struct {
	// Listener is the listening socket of the process before; nil to listen
	// anew. It is used as it is: connections that wait in its queue are served.
	Listener *net.TCPListener
	// Held is the list as the process before held it, in discovery's form; it
	// takes the place of the configuration's, which is older.
	Held []byte
	// CoAP is what the operator's file says of clients over CoAP; nil for none.
	CoAP *operatorconfig.CoAP
	// Packets is the socket for CoAP of the process before; nil to listen anew.
	Packets *net.UDPConn
	// ListProxy is a local proxy that relays the list of the discovery ListSource, and
	// FailoverDelay how long after it has failed discovery itself is watched. Empty for
	// none.
	ListProxy, ListSource string
	FailoverDelay         time.Duration
	// Configuration is what the operator's file says of the configuration of services;
	// nil for none. It begins with cfg's settings, whatever the process before had.
	Configuration *operatorconfig.Configuration
	// Paused starts without accepting, until Resume.
	Paused bool
}

// Start listens, and serves until Drain.
func Start(cfg Config) (*Sidecar, error) { return StartWith(cfg, Options{}) }

// StartWith starts with what the process before has handed over.
func StartWith(cfg Config, opt Options) (*Sidecar, error) {
	if opt.Held != nil {
		held, err := discovery.ParseText(opt.Held, coapupstream.Scheme)
		if err != nil {
			return nil, fmt.Errorf("list handed over: %w", err)
		}
		cfg.Known = held
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	// The limit leaves room for stacks and what the kernel counts; the usual
	// percentage keeps the heap flat instead of letting it drift up to there.
	debug.SetMemoryLimit(int64(cfg.Memory) * 6 / 10)
	debug.SetGCPercent(100)

	p := httpupstream.New(cfg.Conns, upstreamShare(cfg.Sockets))
	open, schemes, err := ways(&cfg, opt.CoAP, p)
	if err != nil {
		return nil, err
	}
	d := discovery.New(cfg.Discovery, !cfg.Settings.Subscribe, cfg.Known.Version, schemes...)
	d.UseProxy(opt.ListProxy, opt.ListSource, opt.FailoverDelay)
	eng, err := dispatch.New(dispatch.Settings{Balance: cfg.Settings, Seed: cfg.Seed, DialTimeout: cfg.Conns.Dial, OpenUpstream: open}, d.Ask)
	if err != nil {
		return nil, err
	}
	ln := opt.Listener
	if ln == nil {
		if ln, err = listenTCP(cfg.Listen); err != nil {
			return nil, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Sidecar{eng: eng, pool: p, disc: d, cfg: cfg, stop: stop}
	serve, refuse := clientShares(cfg.Sockets)
	front := httpfront.Settings{
		Serve: serve, Refuse: refuse, Spare: cfg.Sockets / 6, Bodies: cfg.Memory / 8, Reloads: s.reloadCounts, Listed: s.listed,
	}
	if opt.Configuration != nil {
		s.control = newControl(&cfg, opt.Configuration, eng.Reconfigure)
		front.Configured = s.configured
	}
	s.front = httpfront.New(ln, eng, front)
	if opt.CoAP != nil && opt.CoAP.Listen != "" {
		set := coapfront.FromOperator(opt.CoAP, cfg.Settings.Classes, httpfront.DeadlineSlack, cfg.Seed, s.front.Budget())
		set.Conn = opt.Packets
		if s.coap, err = coapfront.Listen(set, eng); err != nil {
			stop()
			return nil, err
		}
		go s.coap.Serve()
	} else if opt.Packets != nil {
		opt.Packets.Close() // CoAP is off from here on
	}
	eng.UpdateEndpoints(balance.ListSaved, cfg.Known, 0)
	if opt.Paused {
		s.front.Pause()
	}
	if opt.Held != nil {
		// The process before was on a watch: what it is told from now on this one
		// must know, too. The module would ask later, spread over seconds.
		d.Ask()
	}
	go d.Run(ctx, eng)
	if s.control != nil {
		go s.control.Run(ctx)
	}
	go p.Sweep(ctx.Done())
	go s.front.Sweep(ctx.Done())
	go func() {
		if err := s.front.Serve(); err != nil {
			slog.Error("serving ended", "why", err)
		}
	}()
	return s, nil
}

// listenTCP opens the address for clients.
func listenTCP(addr string) (*net.TCPListener, error) {
	var lc net.ListenConfig
	lc.KeepAlive = -1
	lc.SetMultipathTCP(false)
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln.(*net.TCPListener), nil
}

// Reload takes a configuration that was read anew and checked. Discovery moves
// at once; what else differs holds from the next start on, and the log says so.
// It must not be called by two at a time.
func (s *Sidecar) Reload(cfg Config) {
	s.disc.Move(cfg.Discovery)
	slog.Info("reload: taken", "discovery", cfg.Discovery)
	if later := s.cfg.differs(&cfg); len(later) > 0 {
		slog.Warn("reload: changed but used from the next start on only", "keys", strings.Join(later, ", "))
	}
	s.cfg.Discovery = cfg.Discovery
}

// Addr is where the sidecar listens.
func (s *Sidecar) Addr() string { return s.front.Addr().String() }

// FailoverDelay is the part of a jitter that is a sidecar's own, by its name. It is
// the same in each of its processes, and even over names that count up.
func FailoverDelay(name string, jitter time.Duration) time.Duration {
	if jitter <= 0 {
		return 0
	}
	sum := sha256.Sum256([]byte(name))
	return time.Duration(binary.BigEndian.Uint64(sum[:8]) % uint64(jitter))
}
