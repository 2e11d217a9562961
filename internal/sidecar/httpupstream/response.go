package httpupstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
)

const (
	maxBodySize         = 64 << 10 // the protocol's limit on a body, in bytes
	maxInterimResponses = 8        // 1xx responses before the final one
	// noContentLength is what fasthttp returns for a body that ends with the connection.
	noContentLength = -2
	// chunkedLength is what it returns for a body in chunks.
	chunkedLength = -1
	// notRunHeader is 1 in a rejection that proves that the request was not executed.
	notRunHeader = "X-Not-Run"
)

// Response is a response that was received over HTTP/1.1.
type Response fasthttp.Response

// HTTP returns the response with its head.
func (r *Response) HTTP() *fasthttp.Response { return (*fasthttp.Response)(r) }

// Body returns the body. It is valid until Release.
func (r *Response) Body() []byte { return (*fasthttp.Response)(r).Body() }

// ContentType returns the header's value, empty for none. It is valid until Release.
func (r *Response) ContentType() []byte {
	return (*fasthttp.Response)(r).Header.Peek("Content-Type")
}

// Release returns the memory. The response must not be used afterwards.
func (r *Response) Release() { fasthttp.ReleaseResponse((*fasthttp.Response)(r)) }

// statusOf returns how an attempt ended with a response, or with an error.
func statusOf(response *fasthttp.Response, err error) balance.Status {
	var malformed *malformedError
	switch {
	case errors.As(err, &malformed):
		return balance.Error
	case err != nil:
		return balance.Reset
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return balance.OK
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		if string(response.Header.Peek(notRunHeader)) == "1" {
			return balance.AtCapacity
		}
	}
	return balance.Error
}

// malformedError is a response that was received and can't be used. The upstream has
// answered: that counts as an error, not as a reset.
type malformedError struct{ reason string }

func (e *malformedError) Error() string { return "malformed response: " + e.reason }

// readResponse reads a complete response within the protocol's limits: one whose length
// is not defined, or that is too long, is malformed. I/O errors before its first byte are
// returned as they are.
func readResponse(response *fasthttp.Response, reader *bufio.Reader) error {
	if _, err := reader.Peek(1); err != nil {
		return err
	}
	if err := readHead(response, reader); err != nil {
		return classify(err)
	}
	switch length := response.Header.ContentLength(); {
	case response.StatusCode() != fasthttp.StatusOK:
		// The head is sufficient; a body that has not arrived is not waited for.
		if length < 0 || length != reader.Buffered() {
			response.SetConnectionClose()
			return nil
		}
		_, err := reader.Discard(length) // can't fail: so much is buffered
		return err
	case length == noContentLength:
		return &malformedError{"no length"}
	case length > maxBodySize:
		return &malformedError{"too long"}
	}
	if err := response.ReadBody(reader, maxBodySize); err != nil {
		return classify(err)
	}
	if response.Header.ContentLength() == chunkedLength {
		discardLastLine(reader)
	}
	return nil
}

// discardLastLine removes the empty line behind the last chunk, which belongs to the
// response, so that the connection can be used again. It does not wait for it: the
// response is complete without it, and trailers are left for the pool to find.
func discardLastLine(reader *bufio.Reader) {
	const line = "\r\n"
	if reader.Buffered() < len(line) {
		return
	}
	if next, err := reader.Peek(len(line)); err == nil && string(next) == line {
		_, _ = reader.Discard(len(line)) // can't fail: so much is buffered
	}
}

// classify distinguishes a malformed response from one that was truncated by the end of
// its connection, for which the connection's error is returned.
func classify(err error) error {
	var operation *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &malformedError{"stalled"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &operation):
		return err
	}
	return &malformedError{err.Error()}
}

// readHead reads the head of the final response, after interim ones.
func readHead(response *fasthttp.Response, reader *bufio.Reader) error {
	for range maxInterimResponses {
		if err := checkStart(reader); err != nil {
			return err
		}
		if err := response.Header.Read(reader); err != nil {
			return err
		}
		if code := response.StatusCode(); code < 100 || code > 199 || code == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.New("too many interim responses")
}

// checkStart checks a head's first bytes as they arrive: noise may have no line end to
// wait for.
func checkStart(reader *bufio.Reader) error {
	const start = "HTTP/1."
	for n := 1; n <= len(start); n++ {
		bytes, err := reader.Peek(n)
		if err != nil {
			return err
		}
		if string(bytes) != start[:n] {
			return errors.New("not HTTP/1")
		}
	}
	return nil
}
