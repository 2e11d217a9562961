package block

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterspring/internal/coap/message"
)

func limits() Limits {
	return Limits{MaxTransfers: 4, MaxBodySize: 64 << 10, MaxTotalSize: 128 << 10, IdleTimeout: time.Minute, MaxBlockSize: 1024}
}

func uploadBlock(num uint32, more bool, size int, payload []byte) *message.Message {
	m := &message.Message{Code: message.POST, Payload: payload}
	m.Add(message.URIPath, []byte("join"))
	m.AddBlock(message.Block1, message.Block{Num: num, More: more, Size: size})
	return m
}

// Any body is uploaded and downloaded complete, whatever block sizes the sides prefer.
func TestUploadAndDownload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcdefg"), 4000)[:rapid.IntRange(1, 64<<10).Draw(t, "length")]
		sizes := []int{16, 64, 256, 1024}
		lim := limits()
		lim.MaxBlockSize = rapid.SampledFrom(sizes).Draw(t, "server")
		r, err := NewReceiver(lim)
		if err != nil {
			t.Fatal(err)
		}
		u := NewUpload(body, rapid.SampledFrom(sizes).Draw(t, "client"))
		var got []byte
		for i := 0; ; i++ {
			if i > 5000 {
				t.Fatal("the upload does not end")
			}
			payload, b := u.Block()
			p := r.Receive(0, "k", uploadBlock(b.Num, b.More, b.Size, payload))
			if p.Complete {
				got = p.Body
				if !u.IsLast() {
					t.Fatal("complete before the last block")
				}
				break
			}
			answer := &message.Message{Code: p.Code}
			answer.AddBlock(message.Block1, p.Block)
			if more, err := u.HandleResponse(answer); err != nil || !more {
				t.Fatalf("after block %+v: %v %v %v", b, p.Code, more, err)
			}
		}
		if !bytes.Equal(got, body) {
			t.Fatalf("%d bytes received of %d", len(got), len(body))
		}
		if n, held := r.InFlight(); n != 0 || held != 0 {
			t.Fatalf("%d transfers with %d bytes are in flight", n, held)
		}

		s, _ := NewSender(lim)
		d := NewDownload(64 << 10)
		req := &message.Message{Code: message.GET}
		if rapid.Bool().Draw(t, "early") { // the client says its size first
			req.AddBlock(message.Block2, message.Block{Size: rapid.SampledFrom(sizes).Draw(t, "wanted")})
		}
		resp := s.FirstBlock(0, "k", req, message.Message{Code: message.Content, Payload: body})
		for i := 0; ; i++ {
			if i > 5000 {
				t.Fatal("the download does not end")
			}
			next, more, err := d.HandleResponse(&resp)
			if err != nil {
				t.Fatal(err)
			}
			if !more {
				break
			}
			req := &message.Message{Code: message.GET}
			req.AddBlock(message.Block2, next)
			var ok bool
			if resp, ok = s.NextBlock(0, "k", req); !ok {
				t.Fatalf("block %+v was not cached", next)
			}
		}
		if !bytes.Equal(d.Body(), body) {
			t.Fatalf("%d bytes downloaded of %d", len(d.Body()), len(body))
		}
	})
}

func TestReceiverRejects(t *testing.T) {
	full := make([]byte, 1024)
	for _, c := range []struct {
		name  string
		parts []*message.Message
		want  message.Code
	}{
		{"a block out of order", []*message.Message{uploadBlock(0, true, 1024, full), uploadBlock(2, true, 1024, full)}, message.RequestEntityIncomplete},
		{"one with no beginning", []*message.Message{uploadBlock(1, true, 1024, full)}, message.RequestEntityIncomplete},
		{"one that is not full", []*message.Message{uploadBlock(0, true, 1024, full[:1000])}, message.BadRequest},
		{"one that is too full", []*message.Message{uploadBlock(0, false, 16, full)}, message.BadRequest},
		{"the reserved size", []*message.Message{{Code: message.POST, Options: []message.Option{{Number: message.Block1, Value: []byte{7}}}}}, message.BadRequest},
	} {
		r, _ := NewReceiver(limits())
		var got Progress
		for _, m := range c.parts {
			got = r.Receive(0, "k", m)
		}
		if got.Code != c.want || got.Complete {
			t.Errorf("%s: %v", c.name, got.Code)
		}
		if n, _ := r.InFlight(); n != 0 {
			t.Errorf("%s: %d transfers are in flight", c.name, n)
		}
	}
	// A body that is announced as too large, and one that becomes too large.
	r, _ := NewReceiver(limits())
	m := uploadBlock(0, true, 1024, full)
	m.AddUint(message.Size1, 1<<20)
	if p := r.Receive(0, "k", m); p.Code != message.RequestEntityTooLarge || p.MaxBodySize != 64<<10 {
		t.Errorf("announced: %+v", p)
	}
	for i := uint32(0); ; i++ {
		p := r.Receive(0, "k", uploadBlock(i, true, 1024, full))
		if p.Code == message.RequestEntityTooLarge {
			if i != 64 {
				t.Errorf("rejected at block %d", i)
			}
			break
		}
		if i > 100 {
			t.Fatal("the body is never rejected")
		}
	}
}

// Transfers are bounded in number, bytes and time; those idle for longest are abandoned first.
func TestLimits(t *testing.T) {
	r, _ := NewReceiver(limits())
	for i := range 10 {
		r.Receive(time.Duration(i)*time.Second, fmt.Sprint(i), uploadBlock(0, true, 1024, make([]byte, 1024)))
	}
	if n, held := r.InFlight(); n != 4 || held != 4096 || r.Abandoned != 6 {
		t.Errorf("%d transfers, %d bytes, %d abandoned", n, held, r.Abandoned)
	}
	if p := r.Receive(10*time.Second, "9", uploadBlock(1, true, 1024, make([]byte, 1024))); p.Code != message.Continue {
		t.Errorf("the latest was abandoned: %v", p.Code)
	}
	if p := r.Receive(10*time.Second, "0", uploadBlock(1, true, 1024, make([]byte, 1024))); p.Code != message.RequestEntityIncomplete {
		t.Errorf("the oldest is still in flight: %v", p.Code)
	}
	r.Receive(5*time.Minute, "x", uploadBlock(0, true, 16, make([]byte, 16)))
	if n, held := r.InFlight(); n != 1 || held != 16 {
		t.Errorf("after five minutes: %d transfers, %d bytes", n, held)
	}
	s, _ := NewSender(limits())
	if resp := s.FirstBlock(0, "k", &message.Message{}, message.Message{Code: message.Content, Payload: make([]byte, 65<<10)}); resp.Code != message.InternalServerError {
		t.Errorf("a response over the limit: %v", resp.Code)
	}
}

func TestDownloadErrors(t *testing.T) {
	answer := func(num uint32, more bool, size, length int, etag string) *message.Message {
		m := &message.Message{Code: message.Content, Payload: make([]byte, length)}
		m.Add(message.ETag, []byte(etag))
		m.AddBlock(message.Block2, message.Block{Num: num, More: more, Size: size})
		return m
	}
	for _, c := range []struct {
		name    string
		answers []*message.Message
		want    error
	}{
		{"another block", []*message.Message{answer(0, true, 16, 16, "a"), answer(2, true, 16, 16, "a")}, ErrUnexpectedBlock},
		{"a changed body", []*message.Message{answer(0, true, 16, 16, "a"), answer(1, true, 16, 16, "b")}, ErrBodyChanged},
		{"a block that is not full", []*message.Message{answer(0, true, 16, 10, "a")}, ErrMalformedBlock},
		{"a body over the limit", []*message.Message{answer(0, true, 16, 16, "a"), answer(1, true, 16, 16, "a"), answer(2, false, 16, 16, "a")}, ErrBodyTooLarge},
		{"no block option after a block", []*message.Message{answer(0, true, 16, 16, "a"), {Code: message.Content}}, ErrUnexpectedBlock},
	} {
		d := NewDownload(40)
		var err error
		for _, m := range c.answers {
			_, _, err = d.HandleResponse(m)
		}
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	u := NewUpload(make([]byte, 100), 16)
	if _, err := u.HandleResponse(&message.Message{Code: message.Continue}); !errors.Is(err, ErrUnexpectedBlock) {
		t.Errorf("a Continue without a block: %v", err)
	}
	if more, err := u.HandleResponse(&message.Message{Code: message.NotFound}); more || err != nil {
		t.Errorf("an error in the middle: %v %v", more, err)
	}
}

// Requests that differ in anything but the block option belong to different transfers.
func TestKey(t *testing.T) {
	base := uploadBlock(0, true, 16, nil)
	tagged := uploadBlock(0, true, 16, nil)
	tagged.Add(message.RequestTag, []byte("1"))
	other := uploadBlock(3, false, 64, nil)
	if Key("a", base) != Key("a", other) {
		t.Error("blocks of one transfer have two keys")
	}
	if Key("a", base) == Key("b", base) || Key("a", base) == Key("a", tagged) {
		t.Error("two transfers have one key")
	}
}

func FuzzReceiver(f *testing.F) {
	f.Add([]byte{8}, []byte("0123456789abcdef"), []byte{0x10}, []byte("x"))
	f.Fuzz(func(t *testing.T, b1, p1, b2, p2 []byte) {
		r, _ := NewReceiver(Limits{MaxTransfers: 1, MaxBodySize: 64, MaxTotalSize: 64, IdleTimeout: time.Second, MaxBlockSize: 16})
		for _, x := range [][2][]byte{{b1, p1}, {b2, p2}} {
			p := r.Receive(0, "k", &message.Message{Code: message.POST, Payload: x[1], Options: []message.Option{{Number: message.Block1, Value: x[0]}}})
			if len(p.Body) > 64 {
				t.Fatalf("%d bytes", len(p.Body))
			}
			if _, held := r.InFlight(); held > 64 || held < 0 {
				t.Fatalf("%d bytes in flight", held)
			}
		}
	})
}

func TestLimitsOutOfRange(t *testing.T) {
	for name, change := range map[string]func(*Limits){
		"no transfer":               func(l *Limits) { l.MaxTransfers = 0 },
		"no body":                   func(l *Limits) { l.MaxBodySize = 0 },
		"less in total than a body": func(l *Limits) { l.MaxTotalSize = l.MaxBodySize - 1 },
		"no idle timeout":           func(l *Limits) { l.IdleTimeout = 0 },
		"a small block":             func(l *Limits) { l.MaxBlockSize = 15 },
		"a large block":             func(l *Limits) { l.MaxBlockSize = 1025 },
	} {
		lim := limits()
		change(&lim)
		if _, err := NewReceiver(lim); !errors.Is(err, ErrLimits) {
			t.Errorf("%s: receiver: %v, want %v", name, err, ErrLimits)
		}
		if _, err := NewSender(lim); !errors.Is(err, ErrLimits) {
			t.Errorf("%s: sender: %v, want %v", name, err, ErrLimits)
		}
	}
}
