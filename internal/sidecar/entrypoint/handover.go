package entrypoint

import (
	"errors"
	"log/slog"

	"otterspring/internal/sidecar"
	"otterspring/internal/sidecar/handover"
)

// contactPredecessor receives the sockets and the state of a process that offers its
// listener, if there is one, and puts them into the options.
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

// takeOver completes the handover from the predecessor, if there is one, and offers the
// listener to a successor.
func (p *process) takeOver(config *sidecar.Config) error {
	if p.predecessor != nil {
		if err := p.predecessor.AnnounceReady(); err != nil {
			return err
		}
	}
	// The path is this process's before the predecessor stops offering there: a process
	// that starts in between finds one of the two. If the path can't be had, nothing has
	// been accepted yet, and the predecessor continues.
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
		p.sidecar.DrainForSuccessor(nil) // what was accepted meanwhile
		return err
	}
	slog.Info("listener taken over", "listen", config.Listen)
	p.sidecar.OnEndpointList(p.predecessor.SendEndpointList)
	go p.awaitPredecessor(p.predecessor)
	return nil
}

// awaitPredecessor receives what is reported to the predecessor until that one ends. It
// runs in a separate goroutine.
func (p *process) awaitPredecessor(predecessor *handover.Predecessor) {
	predecessor.AwaitDrained(p.sidecar.ApplyEndpointList, p.sidecar.InheritCoAP)
	p.sidecar.PredecessorEnded()
	p.sidecar.OffEndpointList()
}

// detachPredecessor notifies the predecessor, if it still drains, that this process will
// end regularly or hand over itself.
func (p *process) detachPredecessor() {
	if p.predecessor != nil {
		p.predecessor.Settle()
		p.predecessor = nil
	}
}

// handOver drains for a successor that has taken over. It returns false if the successor
// ended meanwhile and this process serves again.
func (p *process) handOver(successor *handover.Successor) bool {
	slog.Info("listener handed over; draining")
	p.detachPredecessor()
	p.offer.Close()
	p.sidecar.OnEndpointList(successor.SendEndpointList)
	successor.SendEndpointList(p.sidecar.EndpointList()) // includes what has arrived since the handover began
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
	logNotifyError(p.notifier.Ready()) // this is the main process again
	return false
}
