package coapfront

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterspring/internal/coap/message"
)

// client is one endpoint for all lives: a repeat comes from where the first came.
var client = func() *net.UDPConn {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	return c
}()

// play plays a process with a state file: it asks once for each of ids with a
// datagram of its own, by one client, and returns the codes of the answers.
func play(t *testing.T, state string, up *upstream, after func(f *Front), ids ...uint16) []message.Code {
	t.Helper()
	f := start(t, up, func(s *Settings) { s.State, s.Gate.Clean = state, false })
	var codes []message.Code
	buf := make([]byte, 2000)
	// What an earlier life has sent twice is not this one's answer.
	client.SetDeadline(time.Now().Add(20 * time.Millisecond))
	for {
		if _, err := client.Read(buf); err != nil {
			break
		}
	}
	for _, id := range ids {
		m := coapRequest(message.POST, "start-rec", "")
		m.ID, m.Token = id, []byte{byte(id)}
		text, err := m.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		client.SetDeadline(time.Now().Add(patience))
		if _, err := client.WriteToUDPAddrPort(text, netip.MustParseAddrPort(f.Addr())); err != nil {
			t.Fatal(err)
		}
		for {
			n, err := client.Read(buf)
			if err != nil {
				t.Fatal(err)
			}
			var r message.Message
			if err := message.Decode(buf[:n], &r); err != nil {
				t.Fatal(err)
			}
			// On a slow machine the acknowledgement goes ahead of the answer.
			if r.Code != message.Empty && len(r.Token) == 1 && r.Token[0] == byte(id) {
				codes = append(codes, r.Code)
				break
			}
		}
	}
	if after != nil {
		after(f)
	}
	f.Close()
	return codes
}

// A repeat that comes in the next process's life does not run again: after a stop
// in order that one is known by the note, and all else runs at once; after a kill
// nothing is known, and what is unsafe needs an Echo.
func TestRepeatInTheNextLife(t *testing.T) {
	up := &upstream{ran: map[string]int{}, delay: func() time.Duration { return 0 }}
	state := filepath.Join(t.TempDir(), "coap")
	want := func(what string, got []message.Code, want ...message.Code) {
		t.Helper()
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%s: answer %d is %v, want %v", what, i+1, got[i], want[i])
			}
		}
	}
	const ran, mayHave = message.Changed, message.BadGateway
	want("the first life", play(t, state, up, nil, 1, 2), ran, ran)
	want("after a stop in order", play(t, state, up, nil, 2, 3, 1), mayHave, ran, mayHave)
	want("and another", play(t, state, up, nil, 1, 3, 4), mayHave, mayHave, ran)
	var killed []byte
	want("the life that is killed", play(t, state, up, func(*Front) {
		var err error
		if killed, err = os.ReadFile(state); err != nil {
			t.Fatal(err)
		}
	}, 5), ran)
	noted, err := os.ReadFile(state)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{
		"a mark": killed, "half a note": noted[:len(noted)/2], "nothing": {}, "a note of another start": []byte(strings.Replace(string(noted), `"boot":"`, `"boot":"0`, 1)),
	} {
		if err := os.WriteFile(state, text, 0o600); err != nil {
			t.Fatal(err)
		}
		want("after "+name, play(t, state, up, nil, 6), mayHave)
	}
	// What one life did not know, a later one with a note does not know either.
	want("after a stop in order of one that knew nothing", play(t, state, up, nil, 7), mayHave)
	if n := len(up.counts()); n != 5 {
		t.Errorf("%d recordings were started, want 5", n)
	}
}

// Of two processes with one file the one that began first leaves no note: it does
// not know what the other one ran.
func TestTwoWithOneFile(t *testing.T) {
	up := &upstream{ran: map[string]int{}, delay: func() time.Duration { return 0 }}
	state := filepath.Join(t.TempDir(), "coap")
	play(t, state, up, func(*Front) {
		if _, _, _, why, err := begin(state); err != nil || !strings.Contains(why, "killed") {
			t.Errorf("%q %v", why, err)
		}
	}, 1)
	text, err := os.ReadFile(state)
	if err != nil || !strings.HasPrefix(string(text), markHead) {
		t.Errorf("%.40q %v", text, err)
	}
	if _, _, _, _, err := begin(filepath.Join(t.TempDir(), "none", "coap")); err == nil {
		t.Error("a file that can't be written was taken")
	}
}
