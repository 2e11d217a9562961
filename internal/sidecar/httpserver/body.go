package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"otterspring/internal/sidecar/dispatch"
)

// chunkedLength is the length that fasthttp returns for a chunked body.
const chunkedLength = -1

var errTrailerTooLong = errors.New("trailer over 8 KiB")

// bodyReader returns the reader of a body: of length bytes, or a chunked one.
func bodyReader(reader *bufio.Reader, length int) io.Reader {
	if length == chunkedLength {
		return &chunkedBody{chunks: httputil.NewChunkedReader(reader), source: reader}
	}
	return io.LimitReader(reader, int64(length))
}

// chunkedBody reads a chunked body and discards its trailer. Fields of a trailer are not part of
// the head that is validated and forwarded (RFC 9110, section 6.5.1).
type chunkedBody struct {
	chunks io.Reader
	source *bufio.Reader
	ended  bool
}

// Read returns io.EOF once the body and its trailer were read.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := discardTrailer(b.source); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// discardTrailer discards lines up to the empty line that ends a chunked body.
func discardTrailer(reader *bufio.Reader) error {
	for total := 0; total <= readBufferSize; {
		line, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return nil
		}
		total += len(line)
	}
	return errTrailerTooLong
}

// discardBody discards the rest of a body that is not kept, so that the next request on the
// connection can be read.
func discardBody(body io.Reader, received int) error {
	rest, err := io.Copy(io.Discard, io.LimitReader(body, int64(dispatch.MaxBodySize-received+1)))
	if err == nil && int(rest) > dispatch.MaxBodySize-received {
		return dispatch.ErrBodyTooLarge
	}
	return err
}
