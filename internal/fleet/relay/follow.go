package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/council/ask"
	"otterspring/internal/logs"
)

// Times of the calls to the council. With them what is held is at most 0.95 s old
// while one member falls silent and another answers: a call that waited in full, one
// that was given up, and the next, which does not wait.
const (
	followWait   = 350 * time.Millisecond // for how long a call waits for news
	callGrace    = 250 * time.Millisecond // how much longer its answer may take
	maxCallGrace = 2 * time.Second        // once all members have failed several times
	memberPause  = 20 * time.Millisecond  // mean, before the next member is asked
	roundPause   = 200 * time.Millisecond // mean, once all members have failed
	idleCall     = time.Minute            // until an unused connection to a member is closed
)

// ForeignError is a member of another council than the one that is wanted.
type ForeignError struct {
	File, Address, Found, Wanted string
}

func (e *ForeignError) Error() string {
	return fmt.Sprintf("%s: members: %s: found council %q, wanted %q", e.File, e.Address, e.Found, e.Wanted)
}

// follower follows the council into a feed. It belongs to one goroutine.
type follower struct {
	file    *File
	feed    *feed
	log     *slog.Logger
	client  http.Client
	council string // name and number of the council that answered, empty at first
	member  int    // index of the one that is asked
	settled bool   // it has answered the call before
	failed  int    // calls in a row that failed
}

func newFollower(file *File, feed *feed, log *slog.Logger) *follower {
	return &follower{
		file: file, feed: feed, log: log, member: rand.IntN(len(file.Members)),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleCall}},
	}
}

// run follows until ctx ends. It returns an error where the first council that
// answers is another one.
func (f *follower) run(ctx context.Context) error {
	defer f.client.CloseIdleConnections()
	for ctx.Err() == nil {
		address := f.file.Members[f.member]
		err := f.call(ctx, address)
		if err == nil {
			f.succeeded(address)
			continue
		}
		var foreign *ForeignError
		if errors.As(err, &foreign) && f.council == "" {
			return foreign
		}
		if ctx.Err() == nil {
			f.fails(ctx, address, err)
		}
	}
	return nil
}

// call asks one member once for what is newer than what is held. The first call to
// a member does not wait, so that one that stands still is noticed soon.
func (f *follower) call(ctx context.Context, address string) error {
	held, _ := f.feed.state()
	question := ask.Question{Kind: ask.Follow, Version: held}
	if f.settled {
		question.WaitMS = int(followWait.Milliseconds())
	}
	timeout := time.Duration(question.WaitMS)*time.Millisecond + f.grace()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := bootclock.Now()
	answer, err := ask.Call(ctx, &f.client, address, f.file.Region, question)
	if err != nil {
		return err
	}
	return f.take(address, sent, answer)
}

// grace is how much longer than its wait a call may take: more each time that all
// members have failed, so that a large answer on a slow network arrives in the end.
func (f *follower) grace() time.Duration {
	rounds := min(f.failed/len(f.file.Members), 8)
	return min(callGrace<<rounds, maxCallGrace)
}

func (f *follower) take(address string, sent time.Duration, answer *ask.Answer) error {
	region, _, _ := strings.Cut(answer.Council, "#")
	if region != f.file.Region {
		return f.foreign(address, region, f.file.Region)
	}
	switch {
	case answer.No != "":
		return errors.New(answer.No)
	case answer.Refused != "":
		return errors.New(answer.Refused)
	case answer.Update == nil:
		return errors.New("found an answer without an update, wanted one")
	}
	if err := f.checkCouncil(address, answer); err != nil {
		return err
	}
	if err := f.feed.take(sent, *answer.Update); err != nil {
		return err
	}
	f.council = answer.Council
	return nil
}

// checkCouncil refuses a second council that was given the same name by mistake. A
// council that was restored has a new number, too, and versions of a newer space.
func (f *follower) checkCouncil(address string, answer *ask.Answer) error {
	held, _ := f.feed.state()
	if f.council == "" || answer.Council == f.council || answer.Update.Version.TokenSpace() > held.TokenSpace() {
		return nil
	}
	return f.foreign(address, answer.Council, f.council)
}

func (f *follower) foreign(address, found, wanted string) error {
	return &ForeignError{File: f.file.Path, Address: address, Found: found, Wanted: wanted}
}

func (f *follower) succeeded(address string) {
	if !f.settled {
		version, _ := f.feed.state()
		f.log.Info(fmt.Sprintf("follows %s at %s, version %v", f.council, address, version), logs.Cause("follows"))
	}
	f.settled, f.failed = true, 0
}

// fails turns to the next member after a pause.
func (f *follower) fails(ctx context.Context, address string, err error) {
	f.settled = false
	f.failed++
	f.member = (f.member + 1) % len(f.file.Members)
	level := slog.LevelDebug
	var foreign *ForeignError
	if errors.As(err, &foreign) {
		level = slog.LevelWarn // an operator's mistake, whatever the other members say
	}
	f.log.Log(ctx, level, fmt.Sprintf("%s: %v", address, err), logs.Cause("member "+address))
	mean := memberPause
	if f.failed%len(f.file.Members) == 0 {
		mean = roundPause
		f.log.Warn(fmt.Sprintf("found no member of council %q that answers and has a leader, wanted one of %v: goes on by version %s; the last said: %v",
			f.file.Region, f.file.Members, f.heldText(), err), logs.Cause("no member"))
	}
	select {
	case <-ctx.Done():
	case <-time.After(jitter(mean)):
	}
}

func (f *follower) heldText() string {
	held, heard := f.feed.state()
	if !heard.known {
		return "none"
	}
	return configuration.Version.String(held)
}

// jitter draws from half of a mean to one and a half of it.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + rand.Float64()))
}
