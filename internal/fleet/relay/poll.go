package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/configuration"
)

// catchUpWait is how long a poll waits if the subscriber has a newer version than the relay.
// A relay that is connected to the cluster catches up within milliseconds.
const catchUpWait = 200 * time.Millisecond

// bufferPool holds buffers for the bodies of polls and responses.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBufferBytes limits the capacity of the buffers that are returned to bufferPool.
const maxPooledBufferBytes = configuration.MaxPollBytes

func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBufferBytes {
		buffer.Reset()
		bufferPool.Put(buffer)
	}
}

// servePoll handles one poll of a subscriber.
func (r *Relay) servePoll(w http.ResponseWriter, req *http.Request) {
	r.counters.update(func(counts *Counts) { counts.Polls++ })
	poll, err := readPoll(w, req)
	if err != nil {
		response := r.errorResponse(configuration.CodeInvalid, err.Error())
		r.writeResponse(w, http.StatusBadRequest, response)
		return
	}
	response := r.admitPoll(poll)
	if response == nil {
		response = r.waitForUpdate(req, poll)
	}
	if response == nil {
		r.counters.update(func(counts *Counts) { counts.Disconnected++ })
		return
	}
	r.writeResponse(w, http.StatusOK, response)
}

// errTrailingData reports a poll whose body has more than one JSON value.
var errTrailingData = errors.New("poll: found data after its end, wanted one object")

// readPoll reads and validates a poll.
func readPoll(w http.ResponseWriter, req *http.Request) (*configuration.Poll, error) {
	body := bufferPool.Get().(*bytes.Buffer)
	defer releaseBuffer(body)
	if _, err := body.ReadFrom(http.MaxBytesReader(w, req.Body, configuration.MaxPollBytes)); err != nil {
		if tooLarge, ok := errors.AsType[*http.MaxBytesError](err); ok {
			return nil, fmt.Errorf("poll: found more than %d bytes, wanted %d at most", tooLarge.Limit, tooLarge.Limit)
		}
		return nil, fmt.Errorf("poll: %w", err)
	}
	poll := &configuration.Poll{}
	decoder := json.NewDecoder(body) // accepts unknown keys, which newer sidecars may send
	if err := decoder.Decode(poll); err != nil {
		return nil, fmt.Errorf("poll: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailingData
	}
	return poll, poll.Validate()
}

// admitPoll registers a poll. It returns nil if the poll is admitted, or else a response with
// an error code.
func (r *Relay) admitPoll(poll *configuration.Poll) *pollResponse {
	if poll.Region != r.config.Region {
		return r.errorResponse(configuration.CodeWrongRegion, fmt.Sprintf("region: found %.80q, wanted %q", poll.Region, r.config.Region))
	}
	if r.isDraining() {
		return r.errorResponse(configuration.CodeDraining, "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.registry.ResolveDigest(poll) {
		return r.errorResponse(configuration.CodeUnknownServices, "")
	}
	if !r.registry.Record(bootclock.Now(), poll) {
		return r.errorResponse(configuration.CodeFull, fmt.Sprintf("found %d subscribers, wanted %d at most", r.registry.Len(), configuration.MaxSubscribers))
	}
	return nil
}

// pendingPoll is a poll that waits for its response. Only the goroutine of its handler uses
// it, except for the waiter, which the feed wakes.
type pendingPoll struct {
	waiter
	start        time.Duration // time at which the wait started, on the bootclock
	deadline     time.Duration // time at which the poll gets a response even if nothing has changed
	acknowledged bool          // whether the slot of the subscriber's snapshot was released
}

// waitForUpdate waits until there is a response to a poll. It returns nil if the subscriber
// disconnects first.
func (r *Relay) waitForUpdate(req *http.Request, poll *configuration.Poll) *pollResponse {
	pending := &pendingPoll{waiter: waiter{poll: poll, wakeup: make(chan struct{}, 1)}, start: bootclock.Now()}
	defer r.feed.removeWaiter(&pending.waiter)
	pending.deadline = pending.start + poll.Wait()
	draining := r.draining
	timer := time.NewTimer(configuration.MaxPollWait)
	defer timer.Stop()
	for {
		now := bootclock.Now()
		if draining == nil && now >= pending.deadline {
			return r.errorResponse(configuration.CodeDraining, "")
		}
		response, until := r.decide(pending, now)
		if response != nil {
			return response
		}
		timer.Reset(until - now)
		select {
		case <-pending.wakeup:
		case <-timer.C:
		case <-draining:
			draining = nil
			pending.deadline = min(pending.deadline, bootclock.Now()+time.Duration(rand.Float64()*float64(r.config.DrainTime)))
		case <-req.Context().Done():
			return nil
		}
	}
}

// decide returns the response to a poll, or nil if the poll has to wait until the returned
// time or until it is woken.
func (r *Relay) decide(pending *pendingPoll, now time.Duration) (response *pollResponse, until time.Duration) {
	view := r.feed.view(&pending.waiter)
	switch view.state {
	case feedNotReady:
		return r.errorResponse(configuration.CodeNotReady, ""), 0
	case feedBehind:
		if until := pending.start + catchUpWait; now < until {
			return nil, until
		}
		return r.errorResponse(configuration.CodeBehind, ""), 0
	case needsSnapshot:
		return r.snapshotResponse(pending.poll, now, view), 0
	}
	if !pending.acknowledged {
		r.acknowledge(pending.poll)
		pending.acknowledged = true
	}
	if view.state == upToDate && now < pending.deadline {
		return nil, pending.deadline
	}
	r.counters.countUpdate(view.update)
	return r.updateResponse(view), 0
}

// snapshotResponse returns a snapshot if a slot is free, or else CodeBusy with a retry delay.
func (r *Relay) snapshotResponse(poll *configuration.Poll, now time.Duration, view feedView) *pollResponse {
	r.mu.Lock()
	admitted, retryDelay := r.admission.admit(now, poll.Subscriber)
	r.mu.Unlock()
	if !admitted {
		response := r.errorResponse(configuration.CodeBusy, "")
		response.RetryAfterMS = retryDelay.Milliseconds()
		return response
	}
	r.counters.update(func(counts *Counts) { counts.Snapshots++ })
	return r.updateResponse(view)
}

// acknowledge releases the snapshot slot of a subscriber that has acknowledged a version.
func (r *Relay) acknowledge(poll *configuration.Poll) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.release(poll.Subscriber)
}

func (r *Relay) updateResponse(view feedView) *pollResponse {
	return &pollResponse{PollResponse: configuration.PollResponse{Region: r.config.Region, Update: &view.update}, contact: view.contact}
}

func (r *Relay) errorResponse(code configuration.ErrorCode, reason string) *pollResponse {
	r.counters.countError(code)
	_, last := r.feed.state()
	return &pollResponse{PollResponse: configuration.PollResponse{Region: r.config.Region, ErrorCode: code, Reason: reason}, contact: last}
}

func (r *Relay) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}
