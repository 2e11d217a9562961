package entrypoint

import (
	"errors"
	"log/slog"

	"otterspring/internal/sidecar"
	"otterspring/internal/sidecar/handover"
)

// contactPredecessor requests the listener of a running process, if such a process offers its
// listener. It sets the options to the sockets and the endpoint list that it receives.
func (p *process) contactPredecessor(config *sidecar.Config, options *sidecar.Options) error {
	settings := p.operatorFile.Handover
	predecessor, err := handover.Request(settings.Socket, config.Listen, settings.StepTimeout)
	if err != nil && !errors.Is(err, handover.ErrNoPredecessor) {
		return err
	}
	if predecessor != nil {
		p.predecessor = predecessor
		options.Listener, options.CoAPSocket = predecessor.Listener, predecessor.CoAPSocket
		options.EndpointList, options.Paused = predecessor.EndpointList, true
	}
	return nil
}

// takeOver completes the handover from the predecessor, if there is one. It also offers the
// listener to successors.
func (p *process) takeOver(config *sidecar.Config) error {
	if p.predecessor != nil {
		if err := p.predecessor.AnnounceReady(); err != nil {
			return err
		}
	}
	// This process binds the path of the handover socket before the predecessor stops offering
	// its listener there, so that a third process that starts meanwhile finds one of the two
	// processes there. If binding fails, no connection has been accepted yet and the predecessor
	// continues to serve.
	settings := p.operatorFile.Handover
	var err error
	if p.offer, err = handover.NewOffer(settings.Socket, p.sidecar, settings.StepTimeout); err != nil {
		return err
	}
	if p.predecessor == nil {
		return nil
	}
	p.sidecar.Resume()
	if err := p.predecessor.AnnounceAccepting(); err != nil {
		p.offer.Close()
		p.sidecar.DrainForSuccessor(nil) // answers requests on connections accepted since Resume
		return err
	}
	slog.Info("listener taken over", "listen", config.Listen)
	p.sidecar.OnEndpointList(p.predecessor.SendEndpointList)
	go p.awaitPredecessor(p.predecessor)
	return nil
}

// awaitPredecessor applies the endpoint lists and the CoAP state that the predecessor sends, until
// the predecessor has drained or exited. It runs in its own goroutine.
func (p *process) awaitPredecessor(predecessor *handover.Predecessor) {
	predecessor.AwaitDrained(p.sidecar.ApplyEndpointList, p.sidecar.InheritCoAP)
	p.sidecar.PredecessorEnded()
	p.sidecar.OffEndpointList()
}

// detachPredecessor tells a predecessor that is still draining not to accept connections again
// when this process exits. It is called before this process drains, after a signal or for its own
// successor.
func (p *process) detachPredecessor() {
	if p.predecessor != nil {
		p.predecessor.Settle()
		p.predecessor = nil
	}
}

// handOver drains this process after a successor has taken over the listener. It returns false
// if the successor exited before the drain was complete, in which case this process serves
// again.
func (p *process) handOver(successor *handover.Successor) bool {
	slog.Info("listener handed over; draining")
	p.detachPredecessor()
	p.offer.Close()
	p.sidecar.OnEndpointList(successor.SendEndpointList)
	successor.SendEndpointList(p.sidecar.EndpointList()) // includes updates received since the handover started
	if state := p.sidecar.HandOverCoAP(); state != nil {
		successor.SendCoAPState(state)
	}
	if p.sidecar.DrainForSuccessor(successor.Disconnected()) {
		successor.AnnounceDrained()
		return true
	}
	p.sidecar.OffEndpointList()
	successor.Close()
	slog.Warn("successor ended before the drain was complete; serving again")
	if err := p.offer.Open(); err != nil {
		slog.Error("listener is not offered to a successor any more", "error", err)
	}
	logNotifyError(p.notifier.Ready()) // makes this process the main process again
	return false
}
