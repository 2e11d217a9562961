package main

import (
	"context"
	"os"
	"testing"
	"time"
)

// Guards against a second signal that is ignored because it arrives after the drain has begun
// and before the default action is restored.
func TestDefaultActionIsRestoredBeforeTheDrain(t *testing.T) {
	restoring, restored := make(chan struct{}), make(chan struct{})
	var deliverSignal context.CancelFunc
	notify := func(parent context.Context, _ ...os.Signal) (context.Context, context.CancelFunc) {
		received, cancel := context.WithCancel(parent)
		deliverSignal = cancel
		return received, func() {
			close(restoring)
			<-restored
		}
	}
	ctx, _ := untilFirstSignal(context.Background(), notify)
	deliverSignal()
	<-restoring
	select {
	case <-ctx.Done():
		t.Error("the context is canceled before the default action is restored")
	case <-time.After(50 * time.Millisecond):
	}
	close(restored)
	<-ctx.Done()
}
