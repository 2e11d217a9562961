package sidecar

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	mostBody = 32 << 20
	chunk    = 64 << 10
)

var errTooLarge = errors.New("body over 32 MB")

// budget bounds the bytes of all request bodies held. When it is used up,
// reading waits and the clients are held back. One body at a time may go on
// past it, into a reserve that the largest body fits in: were all of them to
// wait, none would ever be whole and give its bytes back.
type budget struct {
	mu    sync.Mutex
	freed sync.Cond
	left  int
	first *body // the one that may use the reserve
}

func newBudget(size int) *budget {
	b := &budget{left: max(size-mostBody, 0)}
	b.freed.L = &b.mu
	return b
}

// body is a request's body, whole in memory, since an attempt may be repeated.
type body struct {
	budget *budget
	held   func(on bool) // told when the budget makes it wait, and goes on
	chunks [][]byte
	size   int
	taken  int // from the shared part
	users  atomic.Int32
}

var chunkPool = sync.Pool{New: func() any { return new([chunk]byte) }}

// take waits for n more bytes of the budget.
func (b *budget) take(y *body, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.left >= n:
			b.left -= n
			y.taken += n
			return
		case b.first == nil || b.first == y:
			b.first = y
			return
		}
		y.held(true)
		b.freed.Wait()
		y.held(false)
	}
}

// give returns all that a body has taken.
func (b *budget) give(y *body) {
	b.mu.Lock()
	b.left += y.taken
	y.taken = 0
	if b.first == y {
		b.first = nil
	}
	b.mu.Unlock()
	b.freed.Broadcast()
}

// readFrom reads a body of the given length, -1 for chunked. The budget is
// taken as the bytes arrive, so that a length that is only announced costs
// nothing.
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
		y.budget.take(y, want)
		var buf []byte
		if want == chunk {
			buf = chunkPool.Get().(*[chunk]byte)[:]
		} else {
			buf = make([]byte, want)
		}
		n, err := io.ReadFull(r, buf)
		y.chunks = append(y.chunks, buf[:n])
		y.size += n
		switch {
		case y.size > mostBody:
			return errTooLarge
		case err == nil:
		case length < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF):
			return nil
		default:
			return err
		}
	}
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
	y.budget.give(y)
}
