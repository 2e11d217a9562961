package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is an entry of discovery's list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`

	changed int64 // version of the latest change
}

// discovery is a discovery service: it has one list for all callers and answers watches.
type discovery struct {
	r       *run
	address string

	mu      sync.Mutex
	version int64
	entries []endpoint
	wake    chan struct{}
}

func (r *run) startDiscovery(version int64, entries []endpoint) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{r: r, address: listener.Addr().String(), version: version, entries: entries, wake: make(chan struct{})}
	go http.Serve(listener, d)
	return d
}

// set changes the status of a server, or its start if since is not 0.
func (d *discovery) set(name, status string, since int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i := range d.entries {
		if e := &d.entries[i]; e.Name == name {
			e.Status, e.changed = status, d.version
			if since != 0 {
				e.Since = since
			}
		}
	}
	d.r.note("discovery", "version %d: %s is %s", d.version, name, status)
	close(d.wake)
	d.wake = make(chan struct{})
}

type listAnswer struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// ServeHTTP answers a call for the list or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	deadline := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		answer, wake := listAnswer{Index: d.version, Snapshot: !watch, Endpoints: []endpoint{}}, d.wake
		for _, e := range d.entries {
			if !watch && e.Status != "left" || watch && e.changed > since {
				answer.Endpoints = append(answer.Endpoints, e)
			}
		}
		d.mu.Unlock()
		if !watch || answer.Index > since {
			d.answer(w, answer)
			return
		}
		select {
		case <-wake:
		case <-deadline:
			d.answer(w, answer)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (d *discovery) answer(w http.ResponseWriter, answer listAnswer) {
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}
