package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// floodBatch is the number of requests that a flooding client writes at a time.
const floodBatch = 64

// floodKinds are what one client sends at full speed on one connection: a request for each
// number, with names that never come again.
var floodKinds = []struct {
	name    string
	request func(number int) string
}{
	{"small requests", func(number int) string {
		return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood-%d\r\n\r\n", number)
	}},
	{"new tenants and keys", func(number int) string {
		return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood-%d\r\nX-Tenant: t%d\r\nX-Key: k%d\r\n\r\n", number, number, number)
	}},
	{"repeated IDs", func(number int) string {
		return "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood\r\n\r\n"
	}},
	{"new classes", func(number int) string {
		return fmt.Sprintf("GET /class%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood-%d\r\n\r\n", number, number)
	}},
	{"new header names", func(number int) string {
		return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood-%d\r\nX-%d: 1\r\n\r\n", number, number)
	}},
	{"unreadable requests", func(number int) string { return fmt.Sprintf("noise %d\r\n\r\n", number) }},
	{"expired deadlines", func(number int) string {
		return fmt.Sprintf("GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: flood-%d\r\nX-Deadline: 0\r\n\r\n", number)
	}},
	{"status requests", func(int) string { return "GET /up HTTP/1.1\r\nHost: a\r\n\r\n" }},
}

// flood sends requests as fast as the sidecar takes them until crowdDuration is over, and reads
// the answers. When the sidecar closes the connection it opens the next one.
func flood(address string, request func(number int) string) {
	end := time.Now().Add(crowdDuration)
	for number := 0; time.Now().Before(end); {
		c, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		_ = c.SetDeadline(end)
		read := make(chan struct{})
		go func() {
			defer close(read)
			_, _ = io.Copy(io.Discard, c)
		}()
		for err == nil {
			var batch strings.Builder
			for range floodBatch {
				batch.WriteString(request(number))
				number++
			}
			_, err = io.WriteString(c, batch.String())
		}
		c.Close()
		<-read
	}
}

// mostGoroutines returns the largest number of goroutines that the sidecar reports until over is
// closed.
func mostGoroutines(address string, over <-chan struct{}) int {
	const pollInterval = 20 * time.Millisecond
	client := http.Client{Timeout: time.Second}
	for most := 0; ; {
		select {
		case <-over:
			return most
		case <-time.After(pollInterval):
		}
		response, err := client.Get("http://" + address + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if count, err := strconv.Atoi(response.Header.Get("X-Goroutines")); err == nil {
			most = max(most, count)
		}
	}
}

// Guards against one client that sends small or unsound requests at full speed, also under ever
// new names: other clients must get their answers in time, and memory must not grow.
func TestUsualRequestsAreAnsweredBesideAFlood(t *testing.T) {
	program := buildProgram(t)
	for _, kind := range floodKinds {
		t.Run(kind.name, func(t *testing.T) {
			s := startBeforeCrowd(t, program)
			over := make(chan struct{})
			go func() {
				defer close(over)
				flood(s.address, kind.request)
			}()
			most := make(chan int, 1)
			go func() { most <- mostGoroutines(s.address, over) }()
			sent, failures := usualRequests(s.address)
			<-over
			peak, goroutines := s.statusBytes(t, "VmHWM"), <-most
			t.Logf("%d of %d usual requests were not answered; peak %.1f MB, %d goroutines", len(failures), sent, float64(peak)/(1<<20), goroutines)
			if goroutines > mostDescriptors {
				t.Errorf("%d goroutines, want at most one for each of %d descriptors", goroutines, mostDescriptors)
			}
			if len(failures) > 0 {
				t.Errorf("%d of %d usual requests were not answered, the first: %v: %s", len(failures), sent, failures[0], s.log)
			}
			if peak > leastMemoryMB<<20 {
				t.Errorf("peak of %.1f MB passes the limit of %d MB: %s", float64(peak)/(1<<20), leastMemoryMB, s.log)
			}
		})
	}
}
