package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that has reached a call server.
type Arrival struct {
	Server, Method, Path, ID, Key string
	First, Last                   time.Time // of its bytes
	IDs                           []string  // all values of X-Request-Id; ID is the first
	Body                          string
	Conn                          net.Conn
	Record                        *Record
	// Waiting reports whether bytes of a further request have come on the connection.
	Waiting func() bool
}

// Answer is the body that a call server makes for a request.
func Answer(id string) string { return "answer for " + id }

// CallServer is a stand-in for a call server. Handle answers a request; it returns false if
// the connection is to be closed.
type CallServer struct {
	Name     string
	Handle   func(*Arrival) bool
	record   *Record
	listener net.Listener

	mu       sync.Mutex
	arrivals []Arrival
}

// NewCallServer starts a call server that does each request in the given time.
func NewCallServer(record *Record, name string, work time.Duration) (*CallServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &CallServer{Name: name, record: record, listener: listener}
	s.Handle = func(a *Arrival) bool {
		time.Sleep(work)
		return a.Reply(Answer(a.ID))
	}
	return s, nil
}

// Serve accepts connections. It is called once Handle is set.
func (s *CallServer) Serve() {
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

// Address returns the address of the call server.
func (s *CallServer) Address() string { return s.listener.Addr().String() }

// Arrivals returns the requests that have come so far.
func (s *CallServer) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Reply writes a 200 answer with a length.
func (a *Arrival) Reply(body string) bool {
	_, err := fmt.Fprintf(a.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// TurnAway writes a 503 answer that says that the request has not run.
func (a *Arrival) TurnAway() bool {
	_, err := fmt.Fprint(a.Conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// countingConn counts the bytes that were read.
type countingConn struct {
	net.Conn
	count atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (s *CallServer) serve(raw net.Conn) {
	defer raw.Close()
	c := &countingConn{Conn: raw}
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := Arrival{Server: s.Name, First: time.Now(), Conn: raw, Record: s.record}
		if err := a.read(reader); err != nil {
			return
		}
		a.Last = time.Now()
		received := c.count.Load()
		a.Waiting = func() bool { return c.count.Load() > received }
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		s.record.AddAt(a.Last, "%s: request %s %s id %s", s.Name, a.Method, a.Path, strings.Join(a.IDs, " and id "))
		if a.ID == "" {
			fmt.Fprint(raw, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !s.Handle(&a) {
			return
		}
	}
}

// read reads a request.
func (a *Arrival) read(reader *bufio.Reader) error {
	line, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return fmt.Errorf("bad request line %q", line)
	}
	a.Method, a.Path = fields[0], fields[1]
	length := 0
	for {
		header, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		name, value, _ := strings.Cut(strings.TrimSpace(header), ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "":
			body := make([]byte, length)
			if _, err := io.ReadFull(reader, body); err != nil {
				return err
			}
			a.Body = string(body)
			return nil
		case "x-request-id":
			if a.IDs = append(a.IDs, value); len(a.IDs) == 1 {
				a.ID = value
			}
		case "idempotency-key":
			a.Key = value
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil {
				return err
			}
		}
	}
}
