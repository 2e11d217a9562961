package httpserver

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// maxHeadFields is the largest number of header fields of a request. Each field becomes an entry
// of its own in memory, many times the size of a short field on the wire.
const maxHeadFields = 100

var (
	errHeadTooLarge     = errors.New("head over 8 KiB")
	errTooManyFields    = errors.New("more than 100 header fields")
	errNoRequestLine    = errors.New("not a request of HTTP/1.x")
	headEnd             = []byte("\r\n\r\n")
	lineEnd             = []byte("\n")
	requestLineVersions = [][]byte{[]byte(" HTTP/1.1"), []byte(" HTTP/1.0")}
)

// readHead reads the head of a request. The head is parsed only once it is complete and known to
// have few fields: what an incomplete head holds is the read buffer alone. readHead returns
// errHeadTooLarge, errTooManyFields, errNoRequestLine, an error of the parser or one of the
// connection.
func readHead(reader *bufio.Reader, header *fasthttp.RequestHeader) error {
	if err := skipEmptyLines(reader); err != nil {
		return err
	}
	var scan headScan
	for {
		received, err := reader.Peek(reader.Buffered())
		if err != nil {
			return err
		}
		complete, err := scan.advance(received)
		if err != nil {
			return err
		}
		if complete {
			return header.Read(reader)
		}
		if _, err := reader.Peek(len(received) + 1); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return errHeadTooLarge
			}
			return err
		}
	}
}

// skipEmptyLines discards empty lines before the request line, as RFC 9112, section 2.2, asks.
func skipEmptyLines(reader *bufio.Reader) error {
	for range maxHeadFields {
		next, err := reader.Peek(1)
		if err != nil {
			return err
		}
		if next[0] != '\r' && next[0] != '\n' {
			return nil
		}
		if _, err := reader.Discard(1); err != nil {
			return err
		}
	}
	return errNoRequestLine
}

// headScan looks for the end of a head while its bytes arrive. Each byte is looked at a bounded
// number of times.
type headScan struct {
	scanned int // number of bytes looked at
	lines   int // number of line ends among them
}

// advance looks at the bytes received so far, which begin as in the calls before. It reports
// whether they contain a complete head.
func (s *headScan) advance(received []byte) (complete bool, err error) {
	from := max(0, s.scanned-len(headEnd)+1)
	if end := bytes.Index(received[from:], headEnd); end >= 0 {
		head := received[:from+end]
		return true, checkHead(received, bytes.Count(head, lineEnd))
	}
	s.lines += bytes.Count(received[s.scanned:], lineEnd)
	s.scanned = len(received)
	if s.lines == 0 {
		return false, nil
	}
	return false, checkHead(received, s.lines-1)
}

// checkHead checks a head of which the request line has arrived.
func checkHead(received []byte, fields int) error {
	switch {
	case !hasRequestLine(received):
		return errNoRequestLine
	case fields > maxHeadFields:
		return errTooManyFields
	}
	return nil
}

// hasRequestLine reports whether the first line ends like a request line. Noise is thereby
// rejected at once and does not hold a connection until its timeout.
func hasRequestLine(received []byte) bool {
	line, _, _ := bytes.Cut(received, []byte{'\n'})
	line = bytes.TrimSuffix(line, []byte{'\r'})
	for _, version := range requestLineVersions {
		if bytes.HasSuffix(line, version) {
			return true
		}
	}
	return false
}
