package engine

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// MostBody is the protocol's bound on a body, in bytes.
	MostBody = 64 << 10
	chunk    = 8 << 10
)

// Why a body is turned away.
var (
	ErrTooLarge = errors.New("body over 64 KiB")
	ErrNoRoom   = errors.New("no memory for another body")
)

// Budget bounds the bytes of all request bodies held. When it is used up, a
// request is refused at once: a reader that waits for room holds its own part
// meanwhile, and those that wait for one another never end. It guards against
// any crowd of large or slow bodies; it might harm where bodies of the full
// size are the rule and memory is scarce.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of size bytes.
func NewBudget(size int) *Budget {
	b := &Budget{}
	b.left.Store(int64(size))
	return b
}

// Left is how many bytes may still be taken.
func (b *Budget) Left() int { return int(b.left.Load()) }

// take takes n bytes, or none and returns false.
func (b *Budget) take(n int) bool {
	if b.left.Add(int64(-n)) < 0 {
		b.give(n)
		return false
	}
	return true
}

// give returns bytes.
func (b *Budget) give(n int) { b.left.Add(int64(n)) }

// Body is a request's body, whole in memory, since an attempt may be repeated.
type Body struct {
	budget *Budget
	came   *atomic.Int64 // counts the bytes that have come
	chunks [][]byte
	size   int
	taken  int
	users  atomic.Int32
}

var chunkPool = sync.Pool{New: func() any { return new([chunk]byte) }}

// Fill reads a body of the given length, -1 for chunked. The budget is
// taken as the bytes arrive, so that a length that is only announced costs
// next to nothing.
func (y *Body) Fill(r io.Reader, length int) error {
	if length > MostBody {
		return ErrTooLarge
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
			return ErrNoRoom
		}
		y.taken += want
		n, err := y.readChunk(r, want)
		y.size += n
		switch {
		case y.size > MostBody:
			return ErrTooLarge
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
func (y *Body) readChunk(r io.Reader, want int) (n int, err error) {
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

// NewBody returns an empty body that is read within a budget; came counts the
// bytes as they come. Its maker holds it.
func NewBody(b *Budget, came *atomic.Int64) *Body {
	y := &Body{budget: b, came: came}
	y.Hold()
	return y
}

// Chunks are the bytes, to be read only, and only while the body is held.
func (y *Body) Chunks() [][]byte {
	if y == nil {
		return nil
	}
	return y.chunks
}

// Len is how many bytes have come; 0 for no body.
func (y *Body) Len() int {
	if y == nil {
		return 0
	}
	return y.size
}

// Hold and Release count who still uses the body; with the last one its memory
// goes back. Both do nothing on no body.
func (y *Body) Hold() {
	if y != nil {
		y.users.Add(1)
	}
}

func (y *Body) Release() {
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
