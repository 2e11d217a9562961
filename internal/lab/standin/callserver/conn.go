package callserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/internal/lab/standin/stamp"
)

// serverConn is an HTTP connection from a sidecar.
type serverConn struct {
	srv     *Server
	nc      *net.TCPConn
	br      *bufio.Reader
	reader  *stamp.Reader
	newConn bool // the cost of the handshake has not been charged yet
	once    sync.Once
	closed  chan struct{} // closed with the connection
}

// accept accepts connections until the listener closes.
func (s *Server) accept(ln *net.TCPListener) {
	defer s.wg.Done()
	for {
		nc, err := ln.AcceptTCP()
		if err != nil {
			s.signalAcceptStopped()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &serverConn{srv: s, nc: nc, newConn: true, closed: make(chan struct{})}
		if c.reader, err = stamp.NewReader(nc); err != nil {
			nc.Close()
			continue
		}
		c.br = bufio.NewReaderSize(c.reader, 4<<10)
		s.mu.Lock()
		if s.stopped || s.ln != ln {
			s.mu.Unlock()
			c.reset()
			continue
		}
		s.conns[c] = true
		s.countConn()
		overLimit := len(s.conns) > s.cfg.MaxConns
		s.wg.Add(1)
		s.mu.Unlock()
		go c.run(overLimit)
	}
}

// signalAcceptStopped tells Isolate that the accept loop has stopped accepting.
func (s *Server) signalAcceptStopped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptStopped != nil {
		close(s.acceptStopped)
		s.acceptStopped = nil
	}
}

// reset closes the connection with a TCP reset.
func (c *serverConn) reset() {
	c.nc.SetLinger(0)
	c.close()
}

func (c *serverConn) close() {
	c.once.Do(func() {
		c.nc.Close()
		close(c.closed)
		c.srv.mu.Lock()
		delete(c.srv.conns, c)
		c.srv.mu.Unlock()
	})
}

// incoming is a received request.
type incoming struct {
	id, key, idem string
	class         *Class
	first, last   time.Duration // when the kernel received its first and its last byte
}

// run serves the requests of a connection one at a time. On a connection over the limit every
// request is rejected.
func (c *serverConn) run(overLimit bool) {
	defer c.srv.wg.Done()
	defer c.close()
	for {
		c.nc.SetReadDeadline(time.Now().Add(c.srv.cfg.IdleTimeout))
		if _, err := c.br.Peek(1); err != nil {
			if isTimeout(err) && c.isolated() {
				<-c.peerClosed()
			}
			return
		}
		c.nc.SetReadDeadline(time.Time{})
		first := c.receivedAt()
		f := c.srv.drawFault()
		if f.ResetRequestAt > 0 {
			// Reset the connection after byte ResetRequestAt of the request, whether or not
			// the request is complete by then.
			io.CopyN(io.Discard, c.br, int64(f.ResetRequestAt))
			c.reset()
			return
		}
		in, status := c.read(first)
		if status == 0 && overLimit {
			status = fasthttp.StatusServiceUnavailable
		}
		if c.isolated() {
			<-c.peerClosed()
			return
		}
		switch {
		case status == fasthttp.StatusServiceUnavailable || f.Reject && status == 0:
			if !c.reject() {
				return
			}
			continue
		case status < 0:
			return
		case status > 0:
			fmt.Fprintf(c.nc, "HTTP/1.1 %d x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status)
			return
		}
		if !c.serve(in, f) {
			return
		}
	}
}

// receivedAt returns when the kernel received the last byte that was read so far.
func (c *serverConn) receivedAt() time.Duration {
	return c.srv.log.Now() - c.reader.Age()
}

// isolated reports whether the server's host is unreachable. Nothing more is sent while it is.
func (c *serverConn) isolated() bool {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	return c.srv.fault.Isolated
}

// reject answers that the request was not executed. It returns false if the connection failed.
func (c *serverConn) reject() bool {
	_, err := io.WriteString(c.nc, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// read reads a complete request. The second result is 0 for a valid request, the HTTP status
// of an error response, or negative if the connection is to be closed.
func (c *serverConn) read(first time.Duration) (incoming, int) {
	var h fasthttp.RequestHeader
	in := incoming{first: first}
	if err := h.Read(c.br); err != nil {
		return in, -1
	}
	if n := h.ContentLength(); n > 0 {
		if _, err := io.CopyN(io.Discard, c.br, int64(n)); err != nil {
			return in, -1
		}
	}
	in.last = max(first, c.receivedAt())
	in.id, in.key, in.idem = string(h.Peek("X-Request-Id")), string(h.Peek("X-Key")), string(h.Peek("Idempotency-Key"))
	path := string(h.RequestURI())
	for i := 1; i < len(path); i++ {
		if path[i] == '/' || path[i] == '?' {
			path = path[:i]
		}
	}
	if len(path) > 0 {
		in.class = c.srv.classes[path[1:]]
	}
	if in.id == "" || in.class == nil {
		return in, fasthttp.StatusNotFound
	}
	return in, 0
}

// serve executes a request and answers it. It returns false if the connection is to be closed.
func (c *serverConn) serve(in incoming, f Fault) bool {
	// The work of the handshake is charged to the first request of a connection.
	handshake := time.Duration(0)
	if c.newConn {
		c.newConn, handshake = false, c.srv.cfg.HandshakeWork
	}
	j := c.srv.submit(in, handshake)
	if j == nil {
		return c.reject()
	}
	if f.ResetRunning {
		c.srv.cancel(j)
		c.reset()
		return false
	}
	// Read while the request runs, to cancel the request when the connection closes. The peer
	// does not pipeline requests, so the only thing that can be read here is the end of the
	// connection.
	startedAt := time.Now()
	readDone := make(chan struct{})
	peerGone := make(chan bool, 1)
	go func() {
		_, err := c.br.Peek(1)
		peerGone <- err != nil && !isTimeout(err)
		close(readDone)
	}()
	select {
	case <-j.done:
		c.nc.SetReadDeadline(time.Unix(1, 0)) // ends the read
		<-readDone
		<-peerGone
		c.nc.SetReadDeadline(time.Time{})
		if threshold := c.srv.cfg.ErrorsAfter; threshold > 0 && time.Since(startedAt) > threshold {
			f = Fault{Error: true}
		}
		return c.answer(in, f)
	case <-readDone:
		c.srv.cancel(j)
		return false
	case <-c.closed:
		<-readDone
		c.srv.cancel(j)
		return false
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// Body returns the response body for a request. The body is unique to the request's ID.
func Body(id, server string) string { return "done " + id + " at " + server + "\n" }

// IsBodyFor reports whether body is a call server's response to the request with the given ID.
func IsBodyFor(id, body string) bool {
	prefix := "done " + id + " at "
	return len(body) > len(prefix) && body[:len(prefix)] == prefix && body[len(body)-1] == '\n'
}

// answer writes the response, altered by the fault. It returns false if the connection is to
// be closed.
func (c *serverConn) answer(in incoming, f Fault) bool {
	if c.isolated() || c.srv.hung() {
		<-c.peerClosed()
		return false
	}
	body := Body(in.id, c.srv.cfg.Name)
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	switch {
	case f.Error:
		_, err := io.WriteString(c.nc, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case f.ResetResponseAt > 0:
		text := head + body
		io.WriteString(c.nc, text[:min(f.ResetResponseAt, len(text)-1)])
		c.reset()
		return false
	case f.Corruption != Intact:
		io.WriteString(c.nc, f.Corruption.text(in.id, body))
		if f.Corruption == EndlessBody {
			c.sendEndlessBody()
		}
		// Keep the connection open until the peer closes it. It cannot carry another response.
		<-c.peerClosed()
		return false
	}
	_, err := io.WriteString(c.nc, head+body)
	return err == nil
}

// sendEndlessBody sends data until the peer closes the connection, for at most 4 MiB or 2 s.
func (c *serverConn) sendEndlessBody() {
	chunk := make([]byte, 1<<10)
	for i := range chunk {
		chunk[i] = 'x'
	}
	c.nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
	for range 4 << 10 {
		if _, err := c.nc.Write(chunk); err != nil {
			return
		}
	}
}

// peerClosed returns a channel that is closed when either side closes the connection.
func (c *serverConn) peerClosed() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.nc.SetReadDeadline(time.Time{})
		io.Copy(io.Discard, c.br)
	}()
	return done
}

// hung reports whether the server accepts requests without answering.
func (s *Server) hung() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Hang
}
