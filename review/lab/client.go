package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Outcome is what a client got for a request.
type Outcome struct {
	ID, Class string
	Sent, End time.Time
	Status    int // 0 if no whole answer came
	Body      string
	Err       error
}

// Clients send requests to a sidecar over kept connections, one at a time on each.
type Clients struct {
	record  *Record
	address string

	mu       sync.Mutex
	idle     []*clientConn
	outcomes []Outcome
	wait     sync.WaitGroup
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
}

// NewClients returns the clients of the sidecar at an address.
func NewClients(record *Record, address string) *Clients {
	return &Clients{record: record, address: address}
}

// NewID returns a new request ID.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Encode returns a request of a class.
func Encode(class Class, id string, deadline time.Duration) string {
	head := fmt.Sprintf("Host: service.internal\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\n", id, deadline.Seconds())
	switch class.Effect {
	case "free":
		return fmt.Sprintf("GET /%s HTTP/1.1\r\n%s\r\n", class.Name, head)
	case "guarded":
		head += "Idempotency-Key: " + NewID() + NewID() + "\r\n"
	}
	body := "about " + id
	return fmt.Sprintf("POST /%s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", class.Name, head, len(body), body)
}

// Send sends one request in the background.
func (c *Clients) Send(class Class, deadline time.Duration) { c.SendID(class, NewID(), deadline) }

// SendID sends one request with the given id in the background.
func (c *Clients) SendID(class Class, id string, deadline time.Duration) {
	c.wait.Go(func() {
		o := c.do(class, id, deadline)
		c.record.AddAt(o.Sent, "client: sent %s id %s", class.Name, id)
		c.record.AddAt(o.End, "client: id %s got status %d body %q err %v", id, o.Status, o.Body, o.Err)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	})
}

func (c *Clients) do(class Class, id string, deadline time.Duration) Outcome {
	o := Outcome{ID: id, Class: class.Name}
	for try := 0; try < 2; try++ {
		conn, kept, err := c.take(try > 0)
		if err != nil {
			o.Sent, o.End, o.Err = time.Now(), time.Now(), err
			return o
		}
		o.Sent = time.Now()
		_ = conn.SetDeadline(o.Sent.Add(deadline + 550*time.Millisecond))
		_, err = io.WriteString(conn, Encode(class, id, deadline))
		if err == nil {
			_, err = conn.reader.Peek(1)
		}
		if err != nil && kept && time.Since(o.Sent) < deadline {
			conn.Close()
			continue // the close of a resting connection crossed the request
		}
		if err == nil {
			err = o.read(conn)
		}
		o.End, o.Err = time.Now(), err
		if err != nil {
			conn.Close()
		} else {
			c.put(conn)
		}
		return o
	}
	return o // not reached: a new connection is not kept
}

func (o *Outcome) read(conn *clientConn) error {
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.Close {
		conn.since = time.Time{}
	}
	o.Status, o.Body = response.StatusCode, string(body)
	return nil
}

// take returns a kept connection, or a new one if there is none or if fresh is set.
func (c *Clients) take(fresh bool) (conn *clientConn, kept bool, err error) {
	c.mu.Lock()
	for len(c.idle) > 0 && !fresh {
		conn = c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.since) < 1500*time.Millisecond {
			c.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw), since: time.Now()}, false, nil
}

func (c *Clients) put(conn *clientConn) {
	if conn.since.IsZero() {
		conn.Close()
		return
	}
	conn.since = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

// Load sends requests at a rate until stop is closed.
func (c *Clients) Load(perSecond float64, stop <-chan struct{}, next func() Class) {
	c.wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			class := next()
			c.Send(class, time.Duration(class.DeadlineUS)*time.Microsecond*7/10)
		}
	})
}

// Wait waits for all requests and returns their outcomes.
func (c *Clients) Wait() []Outcome {
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
	return c.outcomes
}
