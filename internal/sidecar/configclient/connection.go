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

// readBufferBytes is the size of the buffer that a connection keeps while a poll waits. The
// header of a response must fit into it.
const readBufferBytes = 2 << 10

// connection is the single connection of a client. The zero value is a closed connection.
// One goroutine at a time may use it, but close is safe for concurrent use.
type connection struct {
	dial   func(ctx context.Context, address string) (net.Conn, error) // nil for TCP
	reader *bufio.Reader                                               // reused for the next connection

	mu      sync.Mutex // guards the following fields
	conn    net.Conn   // nil if closed
	address string     // remote address of conn
}

// currentConn returns the open connection to an address, or nil if there is none.
func (c *connection) currentConn(address string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address != address {
		return nil
	}
	return c.conn
}

// close closes the connection if it is open.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and decodes its response, both before the deadline. It opens the
// connection if necessary and closes it on an error.
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

// roundTrip sends a request and decodes its response on an open connection.
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

// open returns the open connection to an address. If there is none, or if the open connection
// has unread data, it opens a new connection.
func (c *connection) open(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	if conn := c.currentConn(address); conn != nil && c.reader.Buffered() == 0 {
		return conn, nil
	}
	c.close()
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	dial := c.dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil { // the close on cancellation may have run already, and conn would stay open
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
	dialer := net.Dialer{KeepAlive: -1} // the timeouts of the polls detect broken connections
	return dialer.DialContext(ctx, "tcp", address)
}

// read reads a response whose first byte has arrived. The body is read into a pooled buffer,
// so that a client holds no body buffer while its poll waits.
func (c *connection) read(decoded *configuration.PollResponse) error {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := response.ReadLimitBody(c.reader, configuration.MaxResponseBytes); err != nil {
		return fmt.Errorf("reading the response: %w", err)
	}
	const untilClose = -2 // fasthttp's content length of a body that ends with the connection
	if response.ConnectionClose() || response.Header.ContentLength() == untilClose {
		c.close()
	}
	if err := json.Unmarshal(response.Body(), decoded); err != nil {
		return fmt.Errorf("response of status %d: %w", response.StatusCode(), err)
	}
	return nil
}
