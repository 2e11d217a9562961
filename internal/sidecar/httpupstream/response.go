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
	maxBodyBytes        = 64 << 10 // limit set by the protocol
	maxInterimResponses = 8        // maximum number of 1xx responses before the final response
	// untilCloseLength is the length that fasthttp returns for a body that extends to the
	// end of the connection.
	untilCloseLength = -2
	// chunkedLength is the length that fasthttp returns for a chunked body.
	chunkedLength = -1
	// notRunHeader is the header that an upstream sets to "1" in a rejection if the request
	// was certainly not executed.
	notRunHeader = "X-Not-Run"
)

// Response is a response received over HTTP/1.1.
type Response fasthttp.Response

// HTTP returns the response, including its head, as a fasthttp.Response.
func (r *Response) HTTP() *fasthttp.Response { return (*fasthttp.Response)(r) }

// Body returns the body. It is valid until Release.
func (r *Response) Body() []byte { return (*fasthttp.Response)(r).Body() }

// ContentType returns the value of the Content-Type header, which is empty if the header
// is missing. It is valid until Release.
func (r *Response) ContentType() []byte {
	return (*fasthttp.Response)(r).Header.Peek("Content-Type")
}

// Release returns the response to fasthttp's pool. It must not be used afterwards.
func (r *Response) Release() { fasthttp.ReleaseResponse((*fasthttp.Response)(r)) }

// statusOf returns the status of an attempt that ended with a response or an error.
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

// malformedError is returned for a response that was received but can't be used. Since the
// upstream has responded, it counts as an error rather than as a reset.
type malformedError struct{ reason string }

func (e *malformedError) Error() string { return "malformed response: " + e.reason }

// readResponse reads a complete response. A response is malformed if its body exceeds
// maxBodyBytes. A body without a length extends to the orderly end of the connection (RFC 9112,
// section 6.3): an upstream that dies resets its connections, and a reset is an error. I/O errors
// before the first byte are returned unchanged.
func readResponse(response *fasthttp.Response, reader *bufio.Reader) error {
	if _, err := reader.Peek(1); err != nil {
		return err
	}
	if err := readHead(response, reader); err != nil {
		return classifyReadError(err)
	}
	switch length := response.Header.ContentLength(); {
	case response.StatusCode() != fasthttp.StatusOK:
		// Only the head is needed. If the body has not been received yet, the connection is
		// closed instead of waiting for the body.
		if length < 0 || length != reader.Buffered() {
			response.SetConnectionClose()
			return nil
		}
		_, err := reader.Discard(length) // can't fail: that many bytes are buffered
		return err
	case length == untilCloseLength:
		response.SetConnectionClose()
	case length > maxBodyBytes:
		return &malformedError{"body too large"}
	}
	if err := response.ReadBody(reader, maxBodyBytes); err != nil {
		return classifyReadError(err)
	}
	if response.Header.ContentLength() == chunkedLength {
		discardFinalCRLF(reader)
	}
	return nil
}

// discardFinalCRLF discards the empty line after the last chunk if it has been received, so
// that the connection can be reused. It does not wait for the line: the content is complete
// without it. Trailers stay in the buffer, which keeps the connection from being reused.
func discardFinalCRLF(reader *bufio.Reader) {
	const line = "\r\n"
	if reader.Buffered() < len(line) {
		return
	}
	if next, err := reader.Peek(len(line)); err == nil && string(next) == line {
		_, _ = reader.Discard(len(line)) // can't fail: that many bytes are buffered
	}
}

// classifyReadError returns err unchanged if the response was truncated by the end of the
// connection. Any other error means that the response is malformed.
func classifyReadError(err error) error {
	var operation *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &malformedError{"stalled"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &operation):
		return err
	}
	return &malformedError{err.Error()}
}

// readHead skips interim responses and reads the head of the final response.
func readHead(response *fasthttp.Response, reader *bufio.Reader) error {
	for range maxInterimResponses {
		if err := checkVersionPrefix(reader); err != nil {
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

// checkVersionPrefix checks the first bytes of a head as they arrive. Data that is not HTTP
// may contain no line break, and the reader of the head would wait for one.
func checkVersionPrefix(reader *bufio.Reader) error {
	const start = "HTTP/1."
	for n := 1; n <= len(start); n++ {
		bytes, err := reader.Peek(n)
		if err != nil {
			return err
		}
		if string(bytes) != start[:n] {
			return errors.New("not an HTTP/1.x response")
		}
	}
	return nil
}
