package httpserver

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

// Each head is read at once and byte by byte: the end of a head and the number of its fields
// must not depend on how it arrives.
func TestHeadsAreBounded(t *testing.T) {
	const line = "GET /read HTTP/1.1\r\nHost: a\r\n"
	fields := func(n int) string { return strings.Repeat("a:\r\n", n) }
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"complete", line + "\r\n", nil},
		{"after empty lines", "\r\n\r\n" + line + "\r\n", nil},
		{"the most fields", line + fields(maxHeadFields-1) + "\r\n", nil},
		{"a field too many", line + fields(maxHeadFields) + "\r\n", errTooManyFields},
		{"fields without end", line + fields(1000), errTooManyFields},
		{"too large", line + "X: " + strings.Repeat("x", readBufferSize), errHeadTooLarge},
		{"noise with a line end", "noise\r\n", errNoRequestLine},
		{"another protocol", "GET /read HTTP/2.0\r\n", errNoRequestLine},
		{"empty lines without end", strings.Repeat("\r\n", maxHeadFields), errNoRequestLine},
		{"half a line", "GET /read", io.EOF},
		{"no end", line, io.EOF},
	} {
		for way, reader := range map[string]io.Reader{"at once": strings.NewReader(c.text), "byte by byte": iotest.OneByteReader(strings.NewReader(c.text))} {
			var header fasthttp.RequestHeader
			err := readHead(bufio.NewReaderSize(reader, readBufferSize), &header)
			if !errors.Is(err, c.want) {
				t.Errorf("%s, %s: got error %v, want %v", c.name, way, err, c.want)
			}
			if c.want == nil && string(header.RequestURI()) != "/read" {
				t.Errorf("%s, %s: got path %q, want /read", c.name, way, header.RequestURI())
			}
		}
	}
}

// The bytes of the next request stay in the reader.
func TestHeadEndsAtItsEmptyLine(t *testing.T) {
	const head, next = "GET /read HTTP/1.1\r\nHost: a\r\n\r\n", "GET /next HTTP/1.1\r\n"
	reader := bufio.NewReaderSize(strings.NewReader(head+next), readBufferSize)
	var header fasthttp.RequestHeader
	if err := readHead(reader, &header); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(reader); err != nil || string(rest) != next {
		t.Errorf("got rest %q, %v, want %q", rest, err, next)
	}
}

func FuzzHeadScanAgreesWithTheParser(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("GET / HTTP/1.1\nHost: a\n\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\nrest")
	f.Fuzz(func(t *testing.T, text string) {
		var header fasthttp.RequestHeader
		source := strings.NewReader(text)
		reader := bufio.NewReaderSize(source, readBufferSize)
		var scan headScan
		received, err := reader.Peek(min(len(text), readBufferSize))
		if err != nil {
			return
		}
		if complete, err := scan.advance(received); err != nil || !complete {
			return
		}
		// A head that the scan takes for complete is parsed or rejected without a further read.
		before := source.Len()
		_ = header.Read(reader)
		if source.Len() != before {
			t.Errorf("the parser read %d bytes beyond a complete head of %q", before-source.Len(), text)
		}
	})
}
