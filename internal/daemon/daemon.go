// Package daemon runs a sidecar as a program: flags, signals, the operator's
// file, the hand-over and what a supervisor is told. It is a package of its own
// so that rigs and tests can run the very program.
package daemon

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"otterspring/internal/inject"
	"otterspring/internal/logs"
	"otterspring/internal/notify"
	"otterspring/internal/sidecar"
	"otterspring/internal/sidecar/handover"
	"otterspring/internal/sidecar/operatorconfig"
)

const usage = `usage: sandhinge [-operator FILE] [-log-format text|json] [-log-level LEVEL]

The sidecar. It reads the configuration that RELAY_CONFIG names and, with
-operator, the operator's file (docs/operate). Without one everything in it is
off. The log goes to standard error, lines of key=value or JSON, from the level
on: debug, info (the default), warn or error. Signals: SIGTERM and SIGINT drain and end, SIGHUP reads both files again.
`

// Main runs the program with its arguments, and returns its exit code: 0 after
// an orderly end, 1 where it could not start, 2 for a usage that is none.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("sandhinge", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	path := flags.String("operator", "", "")
	var form logs.Options
	form.Flags(flags)
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		if errors.Is(err, flag.ErrHelp) {
			fmt.Fprint(stderr, usage)
			return 0
		}
		if err == nil {
			err = fmt.Errorf("found %q, wanted no arguments", flags.Arg(0))
		}
		fmt.Fprintf(stderr, "sandhinge: %v; -help says more\n", err)
		return 2
	}
	// Caught first of all: by default SIGHUP would end the process.
	d := &daemon{path: *path, reload: make(chan os.Signal, 1), stop: make(chan os.Signal, 1)}
	signal.Notify(d.reload, syscall.SIGHUP)
	signal.Notify(d.stop, syscall.SIGTERM, syscall.SIGINT)
	slog.SetDefault(logs.New(stderr, form))
	if err := d.run(); err != nil {
		slog.Error("sandhinge ends", "why", err)
		return 1
	}
	return 0
}

// daemon is the running program. All of it belongs to one goroutine.
type daemon struct {
	path     string // of the operator's file
	reload   chan os.Signal
	stop     chan os.Signal
	settings operatorconfig.File
	side     *sidecar.Sidecar
	notify   *notify.Notifier      // nil where it is off
	offer    *handover.Offer       // nil where it is off
	taking   *handover.Predecessor // the hand-over this process came by; nil after its end
}

// run starts, and serves until SIGTERM, SIGINT or a hand-over, and the drain
// that follows.
func (d *daemon) run() error {
	cfg, err := sidecar.Load(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return err
	}
	if d.settings, err = operatorconfig.Load(d.path); err != nil {
		return err
	}
	if d.settings.Notify.Systemd {
		if d.notify, err = notify.FromEnvironment(); err != nil {
			return err
		}
	}
	inject.At("start")
	slog.SetDefault(slog.Default().With("instance", cfg.Name))
	if err := d.start(cfg); err != nil {
		return err
	}
	d.tell(d.notify.Ready())
	stopDog := d.watchdog()
	defer stopDog()
	return d.serve()
}

// start starts the sidecar: on the listener of the process before where there
// is one to take over from, else on a new one.
func (d *daemon) start(cfg sidecar.Config) error {
	h := d.settings.Handover
	var opt sidecar.Options
	if h.Socket != "" {
		t, err := handover.Request(h.Socket, cfg.Listen, h.StepTimeout)
		if err != nil && !errors.Is(err, handover.ErrNoPredecessor) {
			return err
		}
		if t != nil {
			d.taking = t
			opt = sidecar.Options{Listener: t.Listener, Held: t.EndpointList, Packets: t.CoAPSocket, Paused: true}
		}
	}
	if d.settings.CoAP.Listen != "" || d.settings.CoAP.Upstreams {
		opt.CoAP = &d.settings.CoAP
	}
	if l := d.settings.List; l.Proxy != "" {
		opt.ListProxy, opt.ListSource, opt.FailoverDelay = l.Proxy, l.Source, sidecar.FailoverDelay(cfg.Name, l.Jitter)
	}
	if d.settings.Configuration.Enabled() {
		opt.Configuration = &d.settings.Configuration
	}
	s, err := sidecar.StartWith(cfg, opt)
	if err != nil {
		return err
	}
	d.side = s
	s.SetFinish(d.settings.Drain.Timeout)
	if h.Socket == "" {
		return nil
	}
	if d.taking != nil {
		if err := d.taking.AnnounceReady(); err != nil {
			return err
		}
	}
	// The path is this process's before the old one stops offering there: who
	// comes in between finds one of the two. If it can't be had, nothing has been
	// accepted yet, and the old one goes on.
	if d.offer, err = handover.NewOffer(h.Socket, s, h.StepTimeout); err != nil {
		return err
	}
	if d.taking != nil {
		s.Resume()
		if err := d.taking.AnnounceAccepting(); err != nil {
			d.offer.Close()
			s.Retire(nil) // what it has accepted by now
			return err
		}
		slog.Info("handover: taken over", "listen", cfg.Listen)
		s.OnList(d.taking.SendEndpointList)
		go d.await(d.taking)
	}
	return nil
}

// serve handles signals and hand-overs until the end.
func (d *daemon) serve() error {
	var given <-chan *handover.Successor
	if d.offer != nil {
		given = d.offer.Successors()
	}
	for {
		select {
		case <-d.stop:
			d.tell(d.notify.Stopping())
			d.settle()
			if d.offer != nil {
				d.offer.Close()
			}
			d.side.Drain()
			return nil
		case <-d.reload:
			d.tell(d.notify.Reloading())
			d.reloadAll()
			d.tell(d.notify.Ready())
		case g := <-given:
			if d.giveAway(g) {
				return nil
			}
		}
	}
}

// await hears what the old process is told, until that one ends.
func (d *daemon) await(t *handover.Predecessor) {
	t.AwaitDrained(d.side.Hear, d.side.InheritCoAP)
	d.side.AloneOverCoAP()
	d.side.OffList()
}

// settle tells the process before, where it still drains, that this one will
// end in good order or hand over itself.
func (d *daemon) settle() {
	if d.taking != nil {
		d.taking.Settle()
		d.taking = nil
	}
}

// giveAway drains for the process that has taken over. It returns false if that
// one ended meanwhile and this one goes on.
func (d *daemon) giveAway(g *handover.Successor) bool {
	slog.Info("handover: given to another process; draining")
	d.settle()
	d.offer.Close()
	d.side.OnList(g.SendEndpointList)
	g.SendEndpointList(d.side.Held()) // what came since it was given
	if table := d.side.GiveCoAP(); table != nil {
		g.SendCoAPState(table)
	}
	if d.side.Retire(g.Disconnected()) {
		g.AnnounceDrained()
		return true
	}
	d.side.OffList()
	g.Close()
	slog.Warn("handover: the new process ended before this one had; this one goes on")
	if err := d.offer.Open(); err != nil {
		slog.Error("handover: no longer offered", "why", err)
	}
	d.tell(d.notify.Ready()) // the main process again
	return false
}

// reloadAll reads both files anew, and takes both or neither: a bad one is
// named, and what was stays.
func (d *daemon) reloadAll() {
	cfg, err := sidecar.Load(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		slog.Error("reload: the old configuration stays", "why", err)
		d.side.NoteReload(false)
		return
	}
	f, err := operatorconfig.Load(d.path)
	if err != nil {
		slog.Error("reload: the old configuration and operator's file stay", "why", err)
		d.side.NoteReload(false)
		return
	}
	d.side.Reload(cfg)
	if later := d.settings.RestartRequired(&f); len(later) > 0 {
		slog.Warn("reload: operator's file: changed but used from the next start on only", "keys", strings.Join(later, ", "))
	}
	d.settings.Drain = f.Drain
	d.side.SetFinish(f.Drain.Timeout)
	d.side.NoteReload(true)
}

// tell notes in the log that a supervisor could not be told.
func (d *daemon) tell(err error) {
	if err != nil {
		slog.Warn("the supervisor could not be told", "why", err)
	}
}

// watchdog feeds the supervisor's watchdog as long as decisions are being made.
func (d *daemon) watchdog() (stop func()) {
	every := d.notify.Watchdog()
	if every <= 0 {
		return func() {}
	}
	end := make(chan struct{})
	go func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-end:
				return
			case <-tick.C:
				if d.side.Alive(every) {
					d.notify.Alive()
				}
			}
		}
	}()
	return func() { close(end) }
}
