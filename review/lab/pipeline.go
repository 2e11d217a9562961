package lab

import (
	"bufio"
	"io"
	"net"
	"strings"
	"time"
)

// Command is one request of a batch.
type Command struct {
	Class    Class
	Deadline time.Duration
}

// BatchClient sends batches of requests at once over a connection that it keeps.
type BatchClient struct {
	record  *Record
	address string
	conn    *clientConn
}

// NewBatchClient returns a client without a connection.
func NewBatchClient(record *Record, address string) *BatchClient {
	return &BatchClient{record: record, address: address}
}

// Close closes the connection.
func (b *BatchClient) Close() {
	if b.conn != nil {
		b.conn.Close()
		b.conn = nil
	}
}

// Send writes the requests of a batch at once and reads their answers, in order. A request
// without a whole answer has status 0. Its End is the time at which the connection ended, or at
// which the client gave up, patience after the longest deadline. taken is false if the
// connection could not be opened or ended before any answer: such a batch may have crossed the
// close of a resting connection.
func (b *BatchClient) Send(commands []Command, patience time.Duration) (outcomes []Outcome, taken bool) {
	if b.conn == nil {
		conn, err := net.DialTimeout("tcp", b.address, time.Second)
		if err != nil {
			return nil, false
		}
		b.conn = &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
	}
	outcomes = make([]Outcome, len(commands))
	var text strings.Builder
	longest := time.Duration(0)
	for i, c := range commands {
		outcomes[i].ID, outcomes[i].Class = NewID(), c.Class.Name
		text.WriteString(Encode(c.Class, outcomes[i].ID, c.Deadline))
		longest = max(longest, c.Deadline)
	}
	_, failed := io.WriteString(b.conn, text.String())
	sent := time.Now()
	_ = b.conn.SetReadDeadline(sent.Add(longest + patience))
	b.conn.since = sent
	for i := range outcomes {
		o := &outcomes[i]
		o.Sent = sent
		if failed == nil {
			failed = o.read(b.conn)
		}
		o.Err, o.End = failed, time.Now()
		taken = taken || failed == nil
		b.record.AddAt(sent, "client %s: sent %s id %s, command %d of %d at once", b.conn.LocalAddr(), o.Class, o.ID, i+1, len(commands))
		b.record.AddAt(o.End, "client %s: id %s got status %d body %q err %v", b.conn.LocalAddr(), o.ID, o.Status, o.Body, o.Err)
	}
	if failed != nil || b.conn.since.IsZero() {
		b.Close()
	}
	return outcomes, taken
}
