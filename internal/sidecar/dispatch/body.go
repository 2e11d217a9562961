package dispatch

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// MaxBodySize is the protocol's limit on the size of a request's body, in bytes.
	MaxBodySize = 64 << 10
	chunkSize   = 8 << 10 // size of a pooled buffer in bytes
)

// Errors that Body.Fill returns in addition to the errors of its reader.
var (
	ErrBodyTooLarge    = errors.New("body over 64 KiB")
	ErrBudgetExhausted = errors.New("no memory for another body")
)

// BodyBudget limits the total memory of all request bodies. A request that would exceed the
// limit is rejected immediately. If its reader waited for memory instead, it would hold the
// memory that it has reserved so far, and several such readers could deadlock. The limit
// protects against many large or slow bodies. The price is that requests are rejected where
// most bodies have the full size and memory is scarce.
//
// It is safe for concurrent use.
type BodyBudget struct{ available atomic.Int64 }

// NewBodyBudget returns a budget of the given size in bytes.
func NewBodyBudget(size int) *BodyBudget {
	b := &BodyBudget{}
	b.available.Store(int64(size))
	return b
}

// Available returns the number of bytes that can still be reserved.
func (b *BodyBudget) Available() int { return int(b.available.Load()) }

// reserve takes size bytes from the budget. If fewer bytes are available, it takes none and
// returns false.
func (b *BodyBudget) reserve(size int) bool {
	if b.available.Add(int64(-size)) < 0 {
		b.release(size)
		return false
	}
	return true
}

// release returns reserved bytes to the budget.
func (b *BodyBudget) release(size int) { b.available.Add(int64(size)) }

// Body is a request's body, held completely in memory because an attempt may be retried.
// It is reference-counted: the proxy and each attempt in flight hold one reference. All
// methods except Fill accept a nil Body, which represents a request without a body.
//
// Fill is called by the proxy's goroutine before the first attempt. After that the body is
// read-only.
type Body struct {
	budget     *BodyBudget
	received   *atomic.Int64 // the proxy's count of received bytes
	chunks     [][]byte
	size       int
	reserved   int // bytes reserved from the budget
	references atomic.Int32
}

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// Fill reads a body of the given length, or a chunked body if length is -1. Memory is
// reserved from the budget one buffer at a time, so that a client that announces a length
// and sends nothing reserves at most one buffer. Fill returns ErrBodyTooLarge,
// ErrBudgetExhausted or the reader's error.
func (b *Body) Fill(r io.Reader, length int) error {
	if length > MaxBodySize {
		return ErrBodyTooLarge
	}
	for {
		want := chunkSize
		if length >= 0 {
			want = min(want, length-b.size)
			if want == 0 {
				return nil
			}
		}
		if !b.budget.reserve(want) {
			return ErrBudgetExhausted
		}
		b.reserved += want
		n, err := b.readChunk(r, want)
		b.size += n
		switch {
		case b.size > MaxBodySize:
			return ErrBodyTooLarge
		case err == nil:
		case length < 0 && isBodyEnd(err):
			return nil
		default:
			return err
		}
	}
}

// errBodyEnded replaces io.EOF if the body ends after at least one byte has been read into the
// current buffer.
var errBodyEnded = errors.New("body ended")

// isBodyEnd reports whether err marks the regular end of a chunked body. It does not use
// errors.Is, which would accept a truncated body: a reader wraps io.EOF if the connection
// ended within a chunk.
func isBodyEnd(err error) bool {
	return err == io.EOF || err == errBodyEnded //nolint:errorlint // a wrapped io.EOF is a truncated body
}

// readChunk reads the next want bytes of the body into a new buffer. It returns an error
// if it reads fewer bytes.
func (b *Body) readChunk(r io.Reader, want int) (n int, err error) {
	var buffer []byte
	if want == chunkSize {
		buffer = chunkPool.Get().(*[chunkSize]byte)[:]
	} else {
		buffer = make([]byte, want)
	}
	for n < want && err == nil {
		var read int
		read, err = r.Read(buffer[n:])
		n += read
		b.received.Add(int64(read))
	}
	b.chunks = append(b.chunks, buffer[:n])
	switch {
	case n == want:
		err = nil
	case err == io.EOF && n > 0:
		err = errBodyEnded
	}
	return n, err
}

// NewBody returns an empty body whose memory is reserved from budget. received counts
// the bytes as they arrive. The caller holds the first reference.
func NewBody(budget *BodyBudget, received *atomic.Int64) *Body {
	b := &Body{budget: budget, received: received}
	b.Retain()
	return b
}

// Chunks returns the body's bytes. They are read-only and valid while the caller holds a
// reference.
func (b *Body) Chunks() [][]byte {
	if b == nil {
		return nil
	}
	return b.chunks
}

// Len returns the number of bytes read, 0 if there is no body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Retain adds a reference, which must be dropped with Release.
func (b *Body) Retain() {
	if b != nil {
		b.references.Add(1)
	}
}

// Release drops a reference. The release of the last reference returns the buffers to the
// pool and the reserved bytes to the budget.
func (b *Body) Release() {
	if b == nil || b.references.Add(-1) > 0 {
		return
	}
	for _, chunk := range b.chunks {
		if cap(chunk) == chunkSize {
			chunkPool.Put((*[chunkSize]byte)(chunk[:chunkSize]))
		}
	}
	b.chunks = nil
	b.budget.release(b.reserved)
	b.reserved = 0
}
