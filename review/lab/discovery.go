package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Endpoint is an entry of the list of call servers.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// List is discovery's answer.
type List struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery is a stand-in for discovery, or for the agent where lists are pushed.
type Discovery struct {
	record   *Record
	listener net.Listener

	mu       sync.Mutex
	index    int
	entries  []Endpoint
	changed  []int // version of the last change of each entry
	wake     chan struct{}
	watches  map[net.Conn]bool // connections on which a call waits
	silent   bool              // no call is answered
	onCall   func(since int)
	answered map[int]time.Time // time at which a version was first written
}

// NewDiscovery starts a stand-in with a list.
func NewDiscovery(record *Record, entries []Endpoint) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		record: record, listener: listener, index: 41, entries: entries, changed: make([]int, len(entries)),
		wake: make(chan struct{}), watches: map[net.Conn]bool{}, answered: map[int]time.Time{},
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

// Address returns the address of the stand-in.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Snapshot returns the whole list.
func (d *Discovery) Snapshot() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

func (d *Discovery) snapshot() List {
	list := List{Index: d.index, Snapshot: true, Endpoints: []Endpoint{}}
	for _, e := range d.entries {
		if e.Status != "left" {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

// SetStatus changes the status of an entry. With endWatches it closes the connections of the
// open watches in the same moment, so that they end instead of telling.
func (d *Discovery) SetStatus(name, status string, endWatches bool) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if endWatches {
		for c := range d.watches {
			d.record.Add("discovery: watch from %s ends with no answer", c.RemoteAddr())
			c.Close()
		}
		clear(d.watches)
	}
	d.index++
	for i := range d.entries {
		if d.entries[i].Name == name {
			d.entries[i].Status, d.changed[i] = status, d.index
		}
	}
	now := time.Now()
	d.record.AddAt(now, "discovery: %s is %s, version %d", name, status, d.index)
	close(d.wake)
	d.wake = make(chan struct{})
	return now
}

// SetSilent makes the stand-in stop or resume answering. Calls stay open meanwhile.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.record.Add("discovery: silent %v", silent)
	close(d.wake)
	d.wake = make(chan struct{})
}

// Told returns the time at which a version was first written to the sidecar.
func (d *Discovery) Told(version int) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.answered[version]
	return t, ok
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		for {
			header, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			if strings.TrimSpace(header) == "" {
				break
			}
		}
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return
		}
		target, err := url.Parse(fields[1])
		if err != nil {
			return
		}
		d.record.Add("discovery: call %s from %s", fields[1], c.RemoteAddr())
		since, watch := target.Query().Get("since"), time.Duration(0)
		if since != "" {
			ms, _ := strconv.Atoi(target.Query().Get("timeout_ms"))
			watch = time.Duration(min(ms, 60_000)) * time.Millisecond
		}
		if !d.answer(c, since, watch) {
			return
		}
	}
}

// answer waits until there is something to tell, and writes it.
func (d *Discovery) answer(c net.Conn, since string, watch time.Duration) bool {
	end := time.Now().Add(watch)
	version, _ := strconv.Atoi(since)
	d.mu.Lock()
	d.watches[c] = true
	for {
		if !d.watches[c] {
			d.mu.Unlock()
			return false
		}
		left := time.Until(end)
		if !d.silent && (since == "" || d.index > version || left <= 0) {
			break
		}
		wake := d.wake
		d.mu.Unlock()
		if d.isSilent() {
			left = time.Hour
		}
		select {
		case <-wake:
		case <-time.After(max(left, 0)):
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	delete(d.watches, c)
	list := d.snapshot()
	if since != "" {
		list = List{Index: d.index, Endpoints: []Endpoint{}}
		for i, e := range d.entries {
			if d.changed[i] > version {
				list.Endpoints = append(list.Endpoints, e)
			}
		}
	}
	text, _ := json.Marshal(list)
	if _, ok := d.answered[d.index]; !ok {
		d.answered[d.index] = time.Now()
	}
	d.record.Add("discovery: answer to %s: %s", c.RemoteAddr(), text)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

func (d *Discovery) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}
