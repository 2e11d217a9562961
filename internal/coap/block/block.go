// Package block carries bodies of more than one datagram (RFC 7959), both ways
// and in both roles. It does no I/O and has no clock. Every transfer has a bound
// in bytes, in time and in number.
package block

import (
	"errors"
	"fmt"
	"time"

	"otterspring/internal/coap/message"
)

// Limits bound what is held for transfers under way.
type Limits struct {
	MaxTransfers int           // at a time
	MaxBodySize  int           // bytes of one body
	MaxTotalSize int           // bytes of all
	IdleTimeout  time.Duration // a transfer that pauses this long is given up
	MaxBlockSize int           // largest block that is sent or asked for: 16 to 1,024
}

func (l *Limits) validate() error {
	if l.MaxTransfers < 1 || l.MaxBodySize < 1 || l.MaxTotalSize < l.MaxBodySize || l.IdleTimeout <= 0 || l.MaxBlockSize < 16 || l.MaxBlockSize > message.MaxBlockSize {
		return fmt.Errorf("block: limits %+v: wanted Transfers, Body, Idle above 0, Bytes of Body or more, Size 16 to 1024", *l)
	}
	return nil
}

// Key names a transfer: who it is with and what it is of (RFC 7959, section 2;
// RFC 9175, section 3, for Request-Tag).
func Key(peer string, m *message.Message) string {
	b := append([]byte(peer), 0, byte(m.Code))
	for _, o := range m.Options {
		switch o.Number {
		case message.Block1, message.Block2, message.Observe, message.Echo:
			continue
		}
		if o.Number.NoCacheKey() {
			continue
		}
		b = append(b, byte(o.Number>>8), byte(o.Number), byte(len(o.Value)>>8), byte(len(o.Value)))
		b = append(b, o.Value...)
	}
	return string(b)
}

// transfer is a body under way.
type transfer struct {
	key   string
	body  []byte
	size  int           // of the blocks, as the other side sends them
	seen  time.Duration // of the latest block
	code  message.Code  // of the answer that is sent in blocks
	opts  []message.Option
	older *transfer
	newer *transfer
}

// table holds transfers, the one longest idle first.
type table struct {
	lim         Limits
	byKey       map[string]*transfer
	first, last *transfer
	bytes       int
	Rejected    int
	Abandoned   int
}

func newTable(lim Limits) (*table, error) {
	if err := lim.validate(); err != nil {
		return nil, err
	}
	return &table{lim: lim, byKey: map[string]*transfer{}}, nil
}

func (t *table) unlink(x *transfer) {
	if x.older != nil {
		x.older.newer = x.newer
	} else {
		t.first = x.newer
	}
	if x.newer != nil {
		x.newer.older = x.older
	} else {
		t.last = x.older
	}
	x.older, x.newer = nil, nil
}

// touch makes a transfer the latest.
func (t *table) touch(now time.Duration, x *transfer) {
	if t.byKey[x.key] == x {
		t.unlink(x)
	}
	t.byKey[x.key] = x
	x.seen, x.older, x.newer = now, t.last, nil
	if t.last != nil {
		t.last.newer = x
	} else {
		t.first = x
	}
	t.last = x
}

func (t *table) drop(x *transfer) {
	if t.byKey[x.key] != x {
		return
	}
	t.unlink(x)
	delete(t.byKey, x.key)
	t.bytes -= len(x.body)
}

// expire gives up what has been idle too long.
func (t *table) expire(now time.Duration) {
	for t.first != nil && now-t.first.seen >= t.lim.IdleTimeout {
		t.Abandoned++
		t.drop(t.first)
	}
}

// room makes room for n more bytes of x, by giving up the transfers that have
// been idle longest; false if there is none even so.
func (t *table) room(x *transfer, n int) bool {
	if len(x.body)+n > t.lim.MaxBodySize {
		return false
	}
	for t.bytes+n > t.lim.MaxTotalSize || t.byKey[x.key] != x && len(t.byKey) >= t.lim.MaxTransfers {
		old := t.first
		if old == x {
			old = x.newer
		}
		if old == nil {
			return false
		}
		t.Abandoned++
		t.drop(old)
	}
	return true
}

// InFlight returns how many transfers are under way and how many bytes they hold.
func (t *table) InFlight() (transfers, bytes int) { return len(t.byKey), t.bytes }

// Receiver puts the bodies of requests together (Block1).
type Receiver struct{ *table }

// NewReceiver returns a Receiver that holds nothing.
func NewReceiver(lim Limits) (*Receiver, error) {
	t, err := newTable(lim)
	return &Receiver{t}, err
}

// Progress is what became of a request with a Block1 option.
type Progress struct {
	Complete    bool          // Body is the whole body: the request is to be run
	Body        []byte        // not shared with anything that is kept
	Code        message.Code  // else the answer's code
	Block       message.Block // to go into the answer; of the last block, too
	MaxBodySize int           // with 4.13: the most that is taken; else 0
}

// Receive takes a request with a Block1 option. key is Key of it.
func (r *Receiver) Receive(now time.Duration, key string, m *message.Message) Progress {
	r.expire(now)
	b, _, good := m.Block(message.Block1)
	if !good || b.More && len(m.Payload) != b.Size || len(m.Payload) > b.Size {
		// Section 2.2: the reserved size, and a block that is not full though
		// more follow.
		return Progress{Code: message.BadRequest}
	}
	part := Progress{Block: message.Block{Num: b.Num, More: b.More, Size: b.Size}}
	x := r.byKey[key]
	offset := int(b.Num) * b.Size
	switch {
	case b.Num == 0:
		if x != nil {
			r.drop(x) // begun anew
		}
		x = &transfer{key: key}
	case x == nil || offset != len(x.body):
		// A repeat of the block before is no new block: message IDs tell those.
		part.Code = message.RequestEntityIncomplete
		if x != nil {
			r.drop(x)
		}
		return part
	}
	if size, there := m.Uint(message.Size1); there && int(size) > r.lim.MaxBodySize || !r.room(x, len(m.Payload)) {
		r.Rejected++
		r.drop(x)
		part.Code, part.MaxBodySize = message.RequestEntityTooLarge, r.lim.MaxBodySize
		return part
	}
	x.body = append(x.body, m.Payload...)
	r.bytes += len(m.Payload)
	if !b.More {
		r.touch(now, x)
		r.drop(x)
		part.Complete, part.Body = true, x.body
		return part
	}
	r.touch(now, x)
	part.Code = message.Continue
	// A smaller size is asked for with the first block only (section 2.3).
	part.Block.Size = min(b.Size, r.lim.MaxBlockSize)
	return part
}

// Sender gives large answers out in blocks (Block2).
type Sender struct{ *table }

// NewSender returns a Sender that holds nothing.
func NewSender(lim Limits) (*Sender, error) {
	t, err := newTable(lim)
	return &Sender{t}, err
}

// FirstBlock returns the first block of an answer, or the whole of one that fits. It
// keeps the rest for the requests that follow. key is Key of the request.
func (s *Sender) FirstBlock(now time.Duration, key string, req *message.Message, resp message.Message) message.Message {
	s.expire(now)
	size := s.lim.MaxBlockSize
	b, there, good := req.Block(message.Block2)
	if there && good {
		size = min(size, b.Size)
	}
	if len(resp.Payload) <= size && !(there && good) {
		return resp
	}
	if there && good && b.Num > 0 {
		// Asked for from the middle on, and nothing was kept: the answer was made
		// anew, which only what is safe to repeat may have been.
		return s.slice(resp, resp.Payload, b.Num, size)
	}
	if old := s.byKey[key]; old != nil {
		s.drop(old)
	}
	x := &transfer{key: key, size: size}
	if len(resp.Payload) > size {
		if !s.room(x, len(resp.Payload)) {
			s.Rejected++
			return message.Message{Code: message.InternalServerError}
		}
		x.body, x.code = resp.Payload, resp.Code
		x.opts = append([]message.Option(nil), resp.Options...)
		s.bytes += len(x.body)
		s.touch(now, x)
	}
	return s.slice(resp, resp.Payload, 0, size)
}

// NextBlock returns a further block of an answer that was kept; false if none is.
func (s *Sender) NextBlock(now time.Duration, key string, req *message.Message) (message.Message, bool) {
	s.expire(now)
	b, there, good := req.Block(message.Block2)
	x := s.byKey[key]
	if !there || !good || b.Num == 0 || x == nil {
		return message.Message{}, false
	}
	s.touch(now, x)
	size := min(b.Size, s.lim.MaxBlockSize)
	if size < b.Size {
		// It asks for larger blocks than were given: the number counts its own.
		b.Num = uint32(int(b.Num) * b.Size / size)
	}
	r := s.slice(message.Message{Code: x.code, Options: append([]message.Option(nil), x.opts...)}, x.body, b.Num, size)
	if last, _, _ := r.Block(message.Block2); !last.More && r.Code == x.code {
		// The last block may be asked for again if it is lost: it is kept until
		// it has been idle too long, or its room is needed.
		x.seen = now
	}
	return r, true
}

// slice cuts a block out of a body.
func (s *Sender) slice(r message.Message, body []byte, num uint32, size int) message.Message {
	from := int(num) * size
	if from >= len(body) && from > 0 {
		return message.Message{Code: message.BadOption} // behind the end
	}
	to := min(from+size, len(body))
	r.Payload = body[from:to]
	r.AddBlock(message.Block2, message.Block{Num: num, More: to < len(body), Size: size})
	if num == 0 {
		r.AddUint(message.Size2, uint32(len(body)))
	}
	return r
}

// Upload gives a request's body out in blocks (Block1), as a client.
type Upload struct {
	body   []byte
	size   int
	offset int // of the block that is out
}

// NewUpload begins an upload in blocks of size at most.
func NewUpload(body []byte, size int) *Upload { return &Upload{body: body, size: size} }

// Block returns the block that is to be sent.
func (u *Upload) Block() ([]byte, message.Block) {
	to := min(u.offset+u.size, len(u.body))
	return u.body[u.offset:to], message.Block{Num: uint32(u.offset / u.size), More: to < len(u.body), Size: u.size}
}

// IsLast tells whether the block that is out is the last: from then on the request
// may run.
func (u *Upload) IsLast() bool { return u.offset+u.size >= len(u.body) }

// Errors of transfers.
var (
	ErrUnexpectedBlock = errors.New("block: an answer with another block than the one that was asked for")
	ErrBodyTooLarge    = errors.New("block: a body over its bound")
	ErrBodyChanged     = errors.New("block: the body changed between blocks")
	ErrMalformedBlock  = errors.New("block: a block that is not full, or of the reserved size")
)

// HandleResponse takes the answer to the block that is out. It returns true where the
// next one is to be sent, and false where the answer is the request's.
func (u *Upload) HandleResponse(m *message.Message) (bool, error) {
	b, there, good := m.Block(message.Block1)
	switch {
	case m.Code == message.Continue && (!there || !good):
		return false, ErrUnexpectedBlock
	case m.Code == message.Continue:
		if int(b.Num) != u.offset/u.size || u.IsLast() {
			return false, ErrUnexpectedBlock
		}
		u.offset += u.size
		// A smaller size holds from the next block on; the offset is a multiple
		// of it, since sizes are powers of two.
		if b.Size < u.size {
			u.size = b.Size
		}
		return true, nil
	case m.Code == message.RequestEntityTooLarge && there && good && b.Size < u.size && u.offset == 0:
		u.size = b.Size // section 2.9.3: once more in smaller blocks
		return true, nil
	}
	return false, nil
}

// Download puts an answer together (Block2), as a client.
type Download struct {
	most int
	body []byte
	etag []byte
}

// NewDownload begins a download of at most so many bytes.
func NewDownload(most int) *Download { return &Download{most: most} }

// Receive takes an answer. It returns the block to ask for next, or false where the
// body is whole.
func (d *Download) HandleResponse(m *message.Message) (next message.Block, more bool, err error) {
	b, there, good := m.Block(message.Block2)
	if !there {
		if len(d.body) > 0 {
			return next, false, ErrUnexpectedBlock
		}
		if len(m.Payload) > d.most {
			return next, false, ErrBodyTooLarge
		}
		d.body = append(d.body, m.Payload...)
		return next, false, nil
	}
	if !good || b.More && len(m.Payload) != b.Size || len(m.Payload) > b.Size {
		return next, false, ErrMalformedBlock
	}
	if int(b.Num)*b.Size != len(d.body) {
		return next, false, ErrUnexpectedBlock
	}
	etag, _ := m.Get(message.ETag)
	if len(d.body) > 0 && string(etag) != string(d.etag) {
		return next, false, ErrBodyChanged
	}
	d.etag = append(d.etag[:0], etag...)
	if len(d.body)+len(m.Payload) > d.most {
		return next, false, ErrBodyTooLarge
	}
	d.body = append(d.body, m.Payload...)
	return message.Block{Num: b.Num + 1, Size: b.Size}, b.More, nil
}

// MaxBodySize is what has come so far.
func (d *Download) Body() []byte { return d.body }
