package main

import (
	"context"
	"os"
	"syscall"
)

// notifyContext is signal.NotifyContext.
type notifyContext func(context.Context, ...os.Signal) (context.Context, context.CancelFunc)

// untilFirstSignal returns a context that is canceled by the first SIGTERM or SIGINT, and a
// function that releases its resources. When the context is canceled, the signals have their
// default action again, so that a second signal ends the process.
func untilFirstSignal(parent context.Context, notify notifyContext) (context.Context, context.CancelFunc) {
	received, restoreDefault := notify(parent, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.WithoutCancel(received))
	context.AfterFunc(received, func() {
		restoreDefault()
		cancel()
	})
	return ctx, restoreDefault
}
