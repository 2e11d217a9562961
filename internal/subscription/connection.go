package subscription

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/internal/fleet/configuration"
)

// readBufferBytes is what a connection keeps while a poll waits. An answer's header
// has to fit in.
const readBufferBytes = 2 << 10

// errShut is a connection that ended before the first byte of an answer.
var errShut = errors.New("the connection was shut without an answer")

// connection is the one connection of a client, on which it makes one exchange at a
// time. The zero connection is closed; close may be called by any goroutine.
type connection struct {
	dial   func(ctx context.Context, address string) (net.Conn, error) // nil for TCP
	reader *bufio.Reader                                               // kept over connections

	mu      sync.Mutex
	conn    net.Conn // nil where it is closed
	address string   // of conn
}

// openTo returns the connection where it is open and to address, else nil.
func (c *connection) openTo(address string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address != address {
		return nil
	}
	return c.conn
}

// close closes the connection, if there is one.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and reads its answer, all until the deadline. It closes
// the connection where that can't be used any more.
func (c *connection) exchange(ctx context.Context, address string, request []byte, deadline time.Time, into *configuration.PollResponse) error {
	conn, err := c.open(ctx, address, deadline)
	if err != nil {
		return err
	}
	if err = c.converse(conn, request, deadline, into); err != nil {
		c.close()
	}
	return err
}

// converse makes an exchange on an open connection.
func (c *connection) converse(conn net.Conn, request []byte, deadline time.Time, into *configuration.PollResponse) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("connection: %w", err)
	}
	if _, err := conn.Write(request); err != nil {
		return shutOr("sending the poll", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return shutOr("waiting for the answer", err)
	}
	return c.read(into)
}

// open returns the connection to address; a new one where there is none.
func (c *connection) open(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	if conn := c.openTo(address); conn != nil && c.reader.Buffered() == 0 {
		return conn, nil
	}
	c.close()
	dialing, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	dial := c.dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(dialing, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil { // close was called already
		conn.Close()
		return nil, ctx.Err()
	}
	c.conn, c.address = conn, address
	if c.reader == nil {
		c.reader = bufio.NewReaderSize(conn, readBufferBytes)
	} else {
		c.reader.Reset(conn)
	}
	return conn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1} // polls are frequent enough
	return dialer.DialContext(ctx, "tcp", address)
}

// read reads an answer whose first byte is there. The buffer for its body is borrowed
// meanwhile only.
func (c *connection) read(into *configuration.PollResponse) error {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := response.ReadLimitBody(c.reader, configuration.MaxResponseBytes); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	if response.ConnectionClose() || response.Header.ContentLength() == -2 {
		c.close()
	}
	if err := json.Unmarshal(response.Body(), into); err != nil {
		return fmt.Errorf("answer of status %d: %w", response.StatusCode(), err)
	}
	return nil
}

// shutOr tells a connection that was shut from one on which time has run out.
func shutOr(doing string, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%s: %w", doing, err)
	}
	return fmt.Errorf("%s: %w: %w", doing, errShut, err)
}
