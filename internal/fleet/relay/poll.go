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

const (
	// catchUpWait is for how long a relay that knows less than a subscriber waits to
	// hear the same: one that is not cut off is behind for some milliseconds only.
	catchUpWait = 200 * time.Millisecond
)

// buffers are those of polls and of answers.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxKeptBuffer bounds a buffer that is kept for another poll.
const maxKeptBuffer = configuration.MaxPollBytes

func releaseBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxKeptBuffer {
		buffer.Reset()
		buffers.Put(buffer)
	}
}

// servePoll answers one poll of a subscriber.
func (r *Relay) servePoll(w http.ResponseWriter, req *http.Request) {
	r.counts.polls.Add(1)
	poll, err := readPoll(w, req)
	if err != nil {
		answer := r.refuse(configuration.CodeInvalid, err.Error())
		r.writeReply(w, http.StatusBadRequest, answer)
		return
	}
	answer := r.admitPoll(poll)
	if answer == nil {
		answer = r.waitForNews(req, poll)
	}
	if answer == nil {
		r.counts.gone.Add(1) // the subscriber has closed its connection
		return
	}
	r.writeReply(w, http.StatusOK, answer)
}

// readPoll reads a poll and checks it.
func readPoll(w http.ResponseWriter, req *http.Request) (*configuration.Poll, error) {
	body := buffers.Get().(*bytes.Buffer)
	defer releaseBuffer(body)
	if _, err := body.ReadFrom(http.MaxBytesReader(w, req.Body, configuration.MaxPollBytes)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, fmt.Errorf("poll: found more than %d bytes, wanted %d at most", tooLarge.Limit, tooLarge.Limit)
		}
		return nil, fmt.Errorf("poll: %w", err)
	}
	poll := &configuration.Poll{}
	decoder := json.NewDecoder(body) // a newer sidecar's poll may say more
	if err := decoder.Decode(poll); err != nil {
		return nil, fmt.Errorf("poll: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("poll: found something behind its end, wanted one object")
	}
	return poll, poll.Validate()
}

// admitPoll takes note of a poll. It returns a refusal, or nil where the poll may be
// answered.
func (r *Relay) admitPoll(poll *configuration.Poll) *reply {
	if poll.Region != r.file.Region {
		return r.refuse(configuration.CodeWrongRegion, fmt.Sprintf("region: found %.80q, wanted %q", poll.Region, r.file.Region))
	}
	if r.isDraining() {
		return r.refuse(configuration.CodeDraining, "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.registry.ResolveDigest(poll) {
		return r.refuse(configuration.CodeUnknownServices, "")
	}
	if !r.registry.Record(bootclock.Now(), poll) {
		return r.refuse(configuration.CodeFull, fmt.Sprintf("found %d subscribers, wanted %d at most", r.registry.Len(), configuration.MaxSubscribers))
	}
	return nil
}

// expectedRetries is a poll that waits for its answer.
type waiting struct {
	waiter
	start, end   time.Duration // it is answered at the end though there is no news
	acknowledged bool          // its version has been taken note of
}

// waitForNews waits until there is an answer to a poll; nil where the subscriber
// has gone meanwhile.
func (r *Relay) waitForNews(req *http.Request, poll *configuration.Poll) *reply {
	wait := &waiting{waiter: waiter{poll: poll, news: make(chan struct{}, 1)}, start: bootclock.Now()}
	defer r.feed.forget(&wait.waiter)
	wait.end = wait.start + poll.Wait()
	draining := r.draining
	timer := time.NewTimer(configuration.MaxWait)
	defer timer.Stop()
	for {
		now := bootclock.Now()
		if draining == nil && now >= wait.end {
			return r.refuse(configuration.CodeDraining, "")
		}
		answer, until := r.decide(wait, now)
		if answer != nil {
			return answer
		}
		timer.Reset(until - now)
		select {
		case <-wait.news:
		case <-timer.C:
		case <-draining:
			draining = nil
			wait.end = min(wait.end, bootclock.Now()+time.Duration(rand.Float64()*float64(r.file.Drain)))
		case <-req.Context().Done():
			return nil
		}
	}
}

// decide returns the answer to a poll, or nil where it is to wait: until a time, or
// until it is woken.
func (r *Relay) decide(wait *waiting, now time.Duration) (answer *reply, until time.Duration) {
	seen := r.feed.look(&wait.waiter)
	switch seen.stands {
	case notReady:
		return r.refuse(configuration.CodeNotReady, ""), 0
	case behind:
		if until := wait.start + catchUpWait; now < until {
			return nil, until
		}
		return r.refuse(configuration.CodeBehind, ""), 0
	case lacksSnapshot:
		return r.snapshot(wait.poll, now, seen), 0
	}
	if !wait.acknowledged {
		r.acknowledge(wait.poll)
		wait.acknowledged = true
	}
	if seen.stands == current && now < wait.end {
		return nil, wait.end
	}
	r.counts.count(seen.update)
	return r.update(seen), 0
}

// snapshot answers a subscriber that lacks everything, if there is a place.
func (r *Relay) snapshot(poll *configuration.Poll, now time.Duration, seen view) *reply {
	r.mu.Lock()
	admitted, retry := r.admission.admit(now, poll.Subscriber)
	r.mu.Unlock()
	if !admitted {
		answer := r.refuse(configuration.CodeBusy, "")
		answer.RetryAfterMS = retry.Milliseconds()
		return answer
	}
	r.counts.snapshots.Add(1)
	return r.update(seen)
}

// acknowledge frees the place of a subscriber that holds a version.
func (r *Relay) acknowledge(poll *configuration.Poll) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.acknowledged(poll.Subscriber)
}

func (r *Relay) update(seen view) *reply {
	return &reply{PollResponse: configuration.PollResponse{Region: r.file.Region, Update: &seen.update}, heard: seen.heard}
}

func (r *Relay) refuse(refusal configuration.ErrorCode, reason string) *reply {
	r.counts.refused(refusal)
	_, heard := r.feed.state()
	return &reply{PollResponse: configuration.PollResponse{Region: r.file.Region, ErrorCode: refusal, Reason: reason}, heard: heard}
}

func (r *Relay) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}
