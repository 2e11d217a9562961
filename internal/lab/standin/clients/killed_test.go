package clients

import (
	"context"
	"net"
	"testing"
	"time"

	"otterspring/internal/lab/invariant"
)

// A sidecar that is killed while it holds a request on a kept connection, and
// is up again before the client is told: the client must not send the same id
// once more, for the old process may have sent it on. Closed between requests it
// must.
func TestNoIDComesAgainAfterAKill(t *testing.T) {
	for _, killed := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		log := invariant.New(invariant.DelftRules())
		requests := make(chan string, 10)
		answer := func(c net.Conn) { c.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) }
		go func() {
			for n := 0; ; n++ {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					buf := make([]byte, 4<<10)
					for k := 0; ; k++ {
						m, err := c.Read(buf)
						if err != nil {
							return
						}
						requests <- string(buf[:m])
						if n == 0 && k == 1 {
							// The second on the first connection ends with it; the listener stays.
							if killed {
								log.KillAnnounced("n1")
							}
							return
						}
						answer(c)
					}
				}()
			}
		}()
		classes := []Class{{Name: "start-rec", Effect: invariant.NonIdempotent, Share: 1, Aim: time.Second, Deadline: 20 * time.Second, Worth: 1}}
		c := New(Config{Instance: "n1", Addr: ln.Addr().String(), Classes: classes, Kept: time.Minute, Retries: 1, Seed: 1}, log)
		c.Run(context.Background(), []Arrival{{At: 0}})
		ln.Close()
		ids := map[string]int{}
		for len(requests) > 0 {
			ids[idOf(<-requests)]++
		}
		again := 0
		for _, n := range ids {
			if n > 1 {
				again++
			}
		}
		if killed && again > 0 || !killed && again == 0 {
			t.Errorf("killed=%v: %d ids were sent twice: %v", killed, again, ids)
		}
	}
}

func idOf(text string) string {
	const key = "X-Request-Id: "
	for i := 0; i+len(key) < len(text); i++ {
		if text[i:i+len(key)] == key {
			end := i + len(key)
			for end < len(text) && text[end] != '\r' {
				end++
			}
			return text[i+len(key) : end]
		}
	}
	return ""
}
