package sidecar

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	mostBody = 64 << 10 // the protocol's bound
	chunk    = 8 << 10
)

var (
	errTooLarge = errors.New("body over 64 KiB")
	errNoRoom   = errors.New("no memory for another body")
)

// budget bounds the bytes of all request bodies held. When it is used up, a
// request is refused at once: a reader that waits for room holds its own part
// meanwhile, and those that wait for one another never end. It guards against
// any crowd of large or slow bodies; it might harm where bodies of the full
// size are the rule and memory is scarce.
type budget struct{ left atomic.Int64 }

func newBudget(size int) *budget {
	b := &budget{}
	b.left.Store(int64(size))
	return b
}

// take takes n bytes, or none and returns false.
func (b *budget) take(n int) bool {
	if b.left.Add(int64(-n)) < 0 {
		b.give(n)
		return false
	}
	return true
}

// give returns bytes.
func (b *budget) give(n int) { b.left.Add(int64(n)) }

// body is a request's body, whole in memory, since an attempt may be repeated.
type body struct {
	budget *budget
	came   *atomic.Int64 // counts the bytes that have come
	chunks [][]byte
	size   int
	taken  int
	users  atomic.Int32
}

var chunkPool = sync.Pool{New: func() any { return new([chunk]byte) }}

// readFrom reads a body of the given length, -1 for chunked. The budget is
// taken as the bytes arrive, so that a length that is only announced costs
// next to nothing.
func (y *body) readFrom(r io.Reader, length int) error {
	if length > mostBody {
		return errTooLarge
	}
	for {
		want := chunk
		if length >= 0 {
			want = min(want, length-y.size)
			if want == 0 {
				return nil
			}
		}
		if !y.budget.take(want) {
			return errNoRoom
		}
		y.taken += want
		n, err := y.readChunk(r, want)
		y.size += n
		switch {
		case y.size > mostBody:
			return errTooLarge
		case err == nil:
		case length < 0 && (err == io.EOF || err == errEnded):
			return nil
		default:
			return err
		}
	}
}

// errEnded is the end of a body within a chunk of ours; of one that broke off
// there the reader says io.ErrUnexpectedEOF.
var errEnded = errors.New("body ended")

// readChunk reads the next want bytes of a body, fewer with an error.
func (y *body) readChunk(r io.Reader, want int) (n int, err error) {
	var buf []byte
	if want == chunk {
		buf = chunkPool.Get().(*[chunk]byte)[:]
	} else {
		buf = make([]byte, want)
	}
	for n < want && err == nil {
		var k int
		k, err = r.Read(buf[n:])
		n += k
		y.came.Add(int64(k))
	}
	y.chunks = append(y.chunks, buf[:n])
	switch {
	case n == want:
		err = nil
	case err == io.EOF && n > 0:
		err = errEnded
	}
	return n, err
}

func (y *body) len() int {
	if y == nil {
		return 0
	}
	return y.size
}

// hold and release count who still uses the body.
func (y *body) hold() {
	if y != nil {
		y.users.Add(1)
	}
}

func (y *body) release() {
	if y == nil || y.users.Add(-1) > 0 {
		return
	}
	for _, c := range y.chunks {
		if cap(c) == chunk {
			chunkPool.Put((*[chunk]byte)(c[:chunk]))
		}
	}
	y.chunks = nil
	y.budget.give(y.taken)
	y.taken = 0
}
