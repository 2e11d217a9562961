package entrypoint

import (
	"log/slog"
	"os"
	"strings"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/sidecar"
	"otterspring/internal/sidecar/handover"
	"otterspring/internal/sidecar/operatorconfig"
	"otterspring/internal/sidecar/sdnotify"
)

// configPathVariable is the environment variable that holds the path of the configuration file.
const configPathVariable = "RELAY_CONFIG"

// process is the state of the running program. Its fields are confined to the goroutine of run,
// except sidecar and notifier, which other goroutines read after the start.
type process struct {
	operatorPath string // path of the operator's file; empty if there is none
	reload       chan os.Signal
	stop         chan os.Signal
	operatorFile operatorconfig.File // content as loaded at the start, except that Drain is as last reloaded
	sidecar      *sidecar.Sidecar
	notifier     *sdnotify.Notifier    // nil if disabled
	offer        *handover.Offer       // nil if disabled
	predecessor  *handover.Predecessor // process whose listener was taken over; nil if none or after detachPredecessor
}

// run starts the sidecar and returns when a drain is complete. SIGTERM, SIGINT or a handover to a
// successor starts the drain.
func (p *process) run() error {
	config, err := sidecar.Load(os.Getenv(configPathVariable))
	if err != nil {
		return err
	}
	if p.operatorFile, err = operatorconfig.Load(p.operatorPath); err != nil {
		return err
	}
	if p.operatorFile.Notify.Systemd {
		if p.notifier, err = sdnotify.FromEnvironment(); err != nil {
			return err
		}
	}
	faultinjection.At("start")
	slog.SetDefault(slog.Default().With("instance", config.Name))
	if err := p.start(config); err != nil {
		return err
	}
	logNotifyError(p.notifier.Ready())
	stopWatchdog := p.startWatchdog()
	defer stopWatchdog()
	return p.serve()
}

// start starts the sidecar with the listener of the predecessor, if there is one, or a new
// listener.
func (p *process) start(config sidecar.Config) error {
	var options sidecar.Options
	handoverEnabled := p.operatorFile.Handover.Socket != ""
	if handoverEnabled {
		if err := p.contactPredecessor(&config, &options); err != nil {
			return err
		}
	}
	if p.operatorFile.CoAP.Listen != "" || p.operatorFile.CoAP.Upstreams {
		options.CoAP = &p.operatorFile.CoAP
	}
	if list := p.operatorFile.EndpointList; list.Proxy != "" {
		options.ListProxy, options.ListSource, options.FailoverDelay = list.Proxy, list.Source, sidecar.FailoverDelay(config.Name, list.Jitter)
	}
	if p.operatorFile.Configuration.Enabled() {
		options.Configuration = &p.operatorFile.Configuration
	}
	started, err := sidecar.StartWith(config, options)
	if err != nil {
		return err
	}
	p.sidecar = started
	p.sidecar.SetDrainTimeout(p.operatorFile.Drain.Timeout)
	if !handoverEnabled {
		return nil
	}
	return p.takeOver(&config)
}

// serve handles signals and handovers until a drain is complete.
func (p *process) serve() error {
	var successors <-chan *handover.Successor
	if p.offer != nil {
		successors = p.offer.Successors()
	}
	for {
		select {
		case <-p.stop:
			logNotifyError(p.notifier.Stopping())
			p.detachPredecessor()
			if p.offer != nil {
				p.offer.Close()
			}
			p.sidecar.Drain()
			return nil
		case <-p.reload:
			logNotifyError(p.notifier.Reloading())
			p.reloadFiles()
			logNotifyError(p.notifier.Ready())
		case successor := <-successors:
			if p.handOver(successor) {
				return nil
			}
		}
	}
}

// reloadFiles loads the configuration file and the operator's file again and applies both. If one
// of them is invalid, reloadFiles logs the error and applies neither.
func (p *process) reloadFiles() {
	config, err := sidecar.Load(os.Getenv(configPathVariable))
	if err != nil {
		slog.Error("reload failed; configuration is unchanged", "error", err)
		p.sidecar.CountReload(false)
		return
	}
	file, err := operatorconfig.Load(p.operatorPath)
	if err != nil {
		slog.Error("reload failed; configuration and operator file are unchanged", "error", err)
		p.sidecar.CountReload(false)
		return
	}
	p.sidecar.Reload(config)
	if keys := p.operatorFile.RestartRequired(&file); len(keys) > 0 {
		slog.Warn("operator file changed; keys take effect at the next start", "keys", strings.Join(keys, ", "))
	}
	p.operatorFile.Drain = file.Drain
	p.sidecar.SetDrainTimeout(file.Drain.Timeout)
	p.sidecar.CountReload(true)
}

// logNotifyError logs an error of the notifier, unless it is nil.
func logNotifyError(err error) {
	if err != nil {
		slog.Warn("notifying the service manager failed", "error", err)
	}
}

// startWatchdog starts a goroutine that pings the service manager's watchdog as long as the
// sidecar is responsive. stop ends the goroutine.
func (p *process) startWatchdog() (stop func()) {
	interval := p.notifier.WatchdogInterval()
	if interval <= 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if p.sidecar.Responsive(interval) {
					logNotifyError(p.notifier.PingWatchdog())
				}
			}
		}
	}()
	return func() { close(done) }
}
