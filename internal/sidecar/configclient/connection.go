package configclient

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/internal/fleet/configuration"
)

// readBufferBytes is the buffer of a connection while a poll waits. The header of a
// response has to fit into it.
const readBufferBytes = 2 << 10

// connection is the one connection of a client, for one exchange at a time by one
// goroutine. The zero connection is closed; close may be called by any goroutine.
type connection struct {
	dial   func(ctx context.Context, address string) (net.Conn, error) // nil for TCP
	reader *bufio.Reader                                               // reused for the next connection

	mu      sync.Mutex // guards the following
	conn    net.Conn   // nil if it is closed
	address string     // of conn
}

// openTo returns the open connection to an address; nil if there is none.
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

// exchange sends a request and decodes its response by the deadline. It closes the
// connection on an error.
func (c *connection) exchange(ctx context.Context, address string, request []byte, deadline time.Time, response *configuration.PollResponse) error {
	conn, err := c.open(ctx, address, deadline)
	if err != nil {
		return err
	}
	if err = c.roundTrip(conn, request, deadline, response); err != nil {
		c.close()
	}
	return err
}

// roundTrip makes an exchange on an open connection.
func (c *connection) roundTrip(conn net.Conn, request []byte, deadline time.Time, response *configuration.PollResponse) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("connection: %w", err)
	}
	if _, err := conn.Write(request); err != nil {
		return connectionError("sending the poll", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return connectionError("waiting for the response", err)
	}
	return c.read(response)
}

// open returns the open connection to an address, or a new one.
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
	dialer := net.Dialer{KeepAlive: -1} // polls detect a broken connection
	return dialer.DialContext(ctx, "tcp", address)
}

// read reads a response whose first byte has arrived. It uses a pooled buffer for the
// body, so that a waiting client has none.
func (c *connection) read(decoded *configuration.PollResponse) error {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := response.ReadLimitBody(c.reader, configuration.MaxResponseBytes); err != nil {
		return fmt.Errorf("reading the response: %w", err)
	}
	const untilClose = -2 // fasthttp's length of a body that ends with the connection
	if response.ConnectionClose() || response.Header.ContentLength() == untilClose {
		c.close()
	}
	if err := json.Unmarshal(response.Body(), decoded); err != nil {
		return fmt.Errorf("response of status %d: %w", response.StatusCode(), err)
	}
	return nil
}
