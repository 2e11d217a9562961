package clients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// MisbehavingClients are clients that send malformed or incomplete requests. The sidecar must
// answer each such request with an error or close its connection within Timeout.
type MisbehavingClients struct {
	Addr    string
	Count   int           // concurrent clients
	Timeout time.Duration // for an error answer or a close; 0 selects 3 s
	Pause   time.Duration // between two connections of a client; 0 selects 20 ms
	Seed    uint64
}

// MisuseCounts counts the reactions of a sidecar to misbehaving clients.
type MisuseCounts struct {
	Sent       int // connections opened and misused
	Answered   int // connections answered with a 4xx or 5xx status
	Closed     int // connections closed without an answer, by the sidecar or as part of the misuse
	Unanswered int // connections neither answered nor closed within the time-out
	Served     int // connections answered with another status, although the malformed request is lost
	Problems   []string
}

// Add adds the counts of o, and its problems up to a limit.
func (c *MisuseCounts) Add(o MisuseCounts) {
	c.Sent, c.Answered, c.Closed, c.Unanswered, c.Served = c.Sent+o.Sent, c.Answered+o.Answered, c.Closed+o.Closed, c.Unanswered+o.Unanswered, c.Served+o.Served
	if len(c.Problems) < 20 {
		c.Problems = append(c.Problems, o.Problems...)
	}
}

// misuse is one way to misuse a connection. Its text must never be a valid request. If
// closeAfter is set, the client closes the connection after it has sent the text, and expects
// no reaction.
type misuse struct {
	name       string
	text       func(rng *rand.Rand) string
	closeAfter bool
}

// validHead is the valid start of a request, to which a misuse appends an error.
const validHead = "POST /start-rec HTTP/1.1\r\nHost: service.internal\r\n"

func fixedText(text string) func(*rand.Rand) string { return func(*rand.Rand) string { return text } }

var misuses = []misuse{
	{name: "noise", text: func(rng *rand.Rand) string {
		b := make([]byte, 200)
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		return string(b) + "\r\n\r\n"
	}},
	{name: "silence", text: fixedText("")},
	{name: "endless head", text: func(*rand.Rand) string {
		return validHead + strings.Repeat("X-Pad: aaaaaaaaaaaaaaaaaaaaaaaa\r\n", 4000)
	}},
	{name: "slow head", text: fixedText(validHead + "X-Request-Id: rude")},
	{name: "negative length", text: fixedText(validHead + "X-Request-Id: rude\r\nX-Deadline: 0.5\r\nContent-Length: -5\r\n\r\nhello")},
	{name: "huge length", text: fixedText(validHead + "X-Request-Id: rude\r\nX-Deadline: 0.5\r\nContent-Length: 60000000\r\n\r\n")},
	{name: "length that is no number", text: fixedText(validHead + "X-Request-Id: rude\r\nX-Deadline: 0.5\r\nContent-Length: many\r\n\r\nhello")},
	{name: "length and chunks", text: fixedText(validHead + "X-Request-Id: rude\r\nX-Deadline: 0.5\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"POST /start-rec HTTP/1.1\r\nHost: x\r\nX-Request-Id: hidden\r\nX-Deadline: 0.5\r\nContent-Length: 0\r\n\r\n")},
	{name: "no such class", text: fixedText("POST /nothing HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: rude-class\r\nX-Deadline: 0.5\r\nContent-Length: 0\r\n\r\n")},
	{name: "deadline that is no number", text: fixedText(validHead + "X-Request-Id: rude-deadline\r\nX-Deadline: soon\r\nContent-Length: 0\r\n\r\n")},
	{name: "no id", text: fixedText(validHead + "X-Deadline: 0.5\r\nContent-Length: 0\r\n\r\n")},
	{name: "half a request and a close", text: fixedText(validHead + "X-Request-Id: rude-half\r\nX-Deadline: 0.5\r\nContent-Length: 500\r\n\r\nhalf"), closeAfter: true},
}

// Run misuses connections until ctx ends, and waits for the open ones.
func (r *MisbehavingClients) Run(ctx context.Context) MisuseCounts {
	timeout, pause := r.Timeout, r.Pause
	if timeout == 0 {
		timeout = 3 * time.Second
	}
	if pause == 0 {
		pause = 20 * time.Millisecond
	}
	var (
		mu    sync.Mutex
		total MisuseCounts
		wg    sync.WaitGroup
	)
	for i := range r.Count {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(i)))
		wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				got := r.misuseConn(&misuses[n%len(misuses)], rng, timeout)
				mu.Lock()
				total.Add(got)
				mu.Unlock()
				select {
				case <-ctx.Done():
				case <-time.After(pause):
				}
			}
		})
	}
	wg.Wait()
	return total
}

// misuseConn misuses one connection and returns the sidecar's reaction.
func (r *MisbehavingClients) misuseConn(m *misuse, rng *rand.Rand, timeout time.Duration) (c MisuseCounts) {
	nc, err := net.DialTimeout("tcp", r.Addr, time.Second)
	if err != nil {
		return c // the sidecar is restarting or at its connection limit
	}
	defer nc.Close()
	c.Sent = 1
	nc.SetDeadline(time.Now().Add(timeout))
	io.WriteString(nc, m.text(rng)) // a write error also shows at the read below
	if m.closeAfter {
		c.Closed = 1
		return c
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	var proto string
	code := 0
	fmt.Sscanf(line, "%s %d", &proto, &code)
	var t net.Error
	switch {
	case code >= 400 && code < 600:
		c.Answered = 1
	case code != 0:
		c.Served = 1
		c.Problems = append(c.Problems, fmt.Sprintf("misuse %q was answered with status %d", m.name, code))
	case errors.As(err, &t) && t.Timeout():
		c.Unanswered = 1
		c.Problems = append(c.Problems, fmt.Sprintf("misuse %q got neither an answer nor a close within %v", m.name, timeout))
	default:
		c.Closed = 1
	}
	return c
}
