// Package registry is a test implementation of the platform's discovery service. It serves
// endpoint lists and long-poll watches over HTTP. It simulates limited capacity, delayed
// changes, outages, and a service that moves to another address. Each instance gets its own
// listener, so that the checker knows which instance was notified of which change.
package registry

import (
	"bufio"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/internal/lab/invariant"
)

// Entry is one call server of the endpoint list.
type Entry struct {
	Name        string
	Addr        string
	Zone        string
	Group       int
	Status      string // "active", "leaving" or "left"
	SinceMS     int64
	Incarnation int // for the checker; not part of the served list
}

func (e *Entry) json(addr string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":"standin","group":%d,"status":%q,"weight":1.0,"since_ms":%d}`,
		e.Name, addr, e.Zone, e.Group, e.Status, e.SinceMS)
}

// Config sets the capacity and delays of a registry.
type Config struct {
	LinesPerSecond float64       // capacity shared by all callers; 0 for no limit
	CallCostLines  float64       // fixed cost of a call in lines, in addition to one line per entry
	Delay          time.Duration // time until a change is published
	MaxWait        time.Duration // calls that would wait longer in the queue fail; 0 selects 2 s
}

// Registry is a discovery service with one endpoint list.
type Registry struct {
	cfg Config
	log *invariant.Checker

	mu                sync.Mutex
	index             int64
	entries           map[string]Entry
	changed           map[string]int64 // index of each entry's latest change
	order             []string
	updated           chan struct{} // closed and replaced at each change
	availableAt       time.Time     // time at which all accepted calls will have been processed
	down              bool
	silent            bool
	listeners         map[*Listener]bool
	timers            map[*time.Timer]bool
	closed            bool
	wg                sync.WaitGroup
	calls             int
	failed            int
	lines             int
	maxQueueWait      time.Duration // longest queueing time of a call
	currentSecond     int64         // Unix second of the latest call
	callsInSecond     int           // calls in currentSecond
	maxCallsPerSecond int
	lastPublishAt     time.Time // publication time of the latest change
}

// New returns a registry with an empty list whose index is from.
func New(cfg Config, log *invariant.Checker, from int64) *Registry {
	if cfg.MaxWait == 0 {
		cfg.MaxWait = 2 * time.Second
	}
	return &Registry{cfg: cfg, log: log, index: from, entries: map[string]Entry{}, changed: map[string]int64{},
		updated: make(chan struct{}), listeners: map[*Listener]bool{}, timers: map[*time.Timer]bool{}}
}

// Set adds or replaces an entry once the configured delay has passed.
func (r *Registry) Set(e Entry) {
	publish := func() {
		// The checker measures from this time, because callers can be notified from now on.
		if r.log != nil && e.Status != "active" {
			r.log.EndpointChanged(e.Name, e.Incarnation, true, r.log.Now())
		}
		r.set(e)
	}
	r.mu.Lock()
	// Publish changes in order, even if the delay was reduced between two changes.
	due := time.Now().Add(r.cfg.Delay)
	if due.Before(r.lastPublishAt) {
		due = r.lastPublishAt.Add(time.Microsecond)
	}
	r.lastPublishAt = due
	delay := time.Until(due)
	if r.cfg.Delay <= 0 && delay <= 0 {
		r.mu.Unlock()
		publish()
		return
	}
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(delay, func() {
		r.mu.Lock()
		delete(r.timers, t)
		r.mu.Unlock()
		publish()
	})
	r.timers[t] = true
}

// SetDelay sets the delay for later changes.
func (r *Registry) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Delay = d
}

// SetNow adds or replaces an entry without delay.
func (r *Registry) SetNow(e Entry) { r.set(e) }

func (r *Registry) set(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[e.Name]; !ok {
		r.order = append(r.order, e.Name)
	}
	r.index++
	r.entries[e.Name], r.changed[e.Name] = e, r.index
	close(r.updated)
	r.updated = make(chan struct{})
}

// Index returns the version of the list.
func (r *Registry) Index() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index
}

// Snapshot returns the whole list in discovery's JSON format, for the "known" setting of a
// sidecar's configuration.
func (r *Registry) Snapshot() string { return r.SnapshotFor(nil) }

// SnapshotFor returns the whole list with the addresses that addressFunc returns. If
// addressFunc is nil, each entry keeps its own address.
func (r *Registry) SnapshotFor(addressFunc func(Entry) string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, _ := r.encode(0, addressFunc)
	return text
}

// Fork returns a second registry that has the current list and whose index is from. It
// represents another replica of the service, which may lag behind.
func (r *Registry) Fork(from int64) *Registry {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := New(r.cfg, r.log, from)
	for _, name := range r.order {
		n.order = append(n.order, name)
		n.entries[name], n.changed[name] = r.entries[name], from
	}
	return n
}

// encode returns the list as JSON with addresses from addressFunc, and the entries of which the
// list notifies an instance. If since is not 0, the list contains only the changes since that
// version. The caller holds the mutex.
func (r *Registry) encode(since int64, addressFunc func(Entry) string) (string, []Entry) {
	var parts []string
	var notified []Entry
	for _, name := range r.order {
		e := r.entries[name]
		if since > 0 && r.changed[name] <= since {
			continue
		}
		notified = append(notified, e)
		if since == 0 && e.Status == "left" {
			continue // a snapshot omits departed call servers
		}
		addr := e.Addr
		if addressFunc != nil {
			addr = addressFunc(e)
		}
		parts = append(parts, e.json(addr))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, r.index, since == 0, strings.Join(parts, ",")), notified
}

// SetDown starts or ends an outage. During an outage, watches end and calls fail. If silent is
// set, calls get no answer instead, and connections stay open.
func (r *Registry) SetDown(down, silent bool) {
	r.mu.Lock()
	r.down, r.silent = down, silent
	if r.log != nil {
		r.log.DiscoveryUnavailable(down, r.log.Now())
	}
	var listeners []*Listener
	for l := range r.listeners {
		listeners = append(listeners, l)
	}
	r.mu.Unlock()
	if down && !silent {
		for _, l := range listeners {
			l.dropConns()
		}
	}
}

// Load returns the calls received, the calls failed for lack of capacity, and the lines
// sent.
func (r *Registry) Load() (calls, failed, lines int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls, r.failed, r.lines
}

// QueueStats returns the longest queueing time of a call and the largest number of calls in
// one second.
func (r *Registry) QueueStats() (longest time.Duration, calls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxQueueWait, r.maxCallsPerSecond
}

// Close closes all listeners and waits for their goroutines.
func (r *Registry) Close() {
	r.mu.Lock()
	r.closed = true
	for t := range r.timers {
		t.Stop()
	}
	clear(r.timers)
	var listeners []*Listener
	for l := range r.listeners {
		listeners = append(listeners, l)
	}
	r.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	r.wg.Wait()
}

// schedule reserves capacity for a call and returns how long the call takes, including
// queueing. The second result is false if the call would wait in the queue for longer than
// MaxWait. The caller holds the mutex.
func (r *Registry) schedule(lines int) (time.Duration, bool) {
	r.calls++
	if at := time.Now().Unix(); at != r.currentSecond {
		r.currentSecond, r.callsInSecond = at, 0
	}
	r.callsInSecond++
	r.maxCallsPerSecond = max(r.maxCallsPerSecond, r.callsInSecond)
	if r.cfg.LinesPerSecond <= 0 {
		r.lines += lines
		return 0, true
	}
	now := time.Now()
	if r.availableAt.Before(now) {
		r.availableAt = now
	}
	if r.availableAt.Sub(now) > r.cfg.MaxWait {
		r.failed++
		return 0, false
	}
	r.maxQueueWait = max(r.maxQueueWait, r.availableAt.Sub(now))
	r.lines += lines
	r.availableAt = r.availableAt.Add(time.Duration((r.cfg.CallCostLines + float64(lines)) / r.cfg.LinesPerSecond * float64(time.Second)))
	return r.availableAt.Sub(now), true
}

// Listener is the address at which one instance calls discovery.
type Listener struct {
	reg          *Registry
	instance     string
	ln           net.Listener
	mu           sync.Mutex
	conns        map[net.Conn]bool
	done         chan struct{}
	closeOnce    sync.Once
	addressFunc  func(Entry) string
	calls        int             // received by this listener
	alsoNotified func() []string // see SetAlsoNotified
	rejectUntil  time.Time       // connections accepted before this time are closed at once
}

// RejectUntil makes the listener close connections that arrive before t. Call it before the
// first call arrives.
func (l *Listener) RejectUntil(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejectUntil = t
}

// CloseAfter closes the listener after a delay. Until then it serves calls.
func (l *Listener) CloseAfter(after time.Duration) {
	l.reg.mu.Lock()
	defer l.reg.mu.Unlock()
	if l.reg.closed {
		return
	}
	var t *time.Timer
	t = time.AfterFunc(after, func() {
		l.reg.mu.Lock()
		delete(l.reg.timers, t)
		l.reg.mu.Unlock()
		l.Close()
	})
	l.reg.timers[t] = true
}

// SetAddressFunc sets the function that returns an entry's address as this instance sees
// it, for instance that of a relay. Call it before the first call arrives; f must not block.
func (l *Listener) SetAddressFunc(f func(Entry) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addressFunc = f
}

// Calls returns the number of calls that this listener received.
func (l *Listener) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// SetAlsoNotified sets the function that returns further instances that count as notified when
// this listener's instance is notified. The listener's instance forwards what it receives to
// these instances. f must not block.
func (l *Listener) SetAlsoNotified(f func() []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alsoNotified = f
}

// coNotified returns the result of the function set by SetAlsoNotified.
func (l *Listener) coNotified() []string {
	l.mu.Lock()
	f := l.alsoNotified
	l.mu.Unlock()
	if f == nil {
		return nil
	}
	return f()
}

// AddressFunc returns the function set by SetAddressFunc.
func (l *Listener) AddressFunc() func(Entry) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addressFunc
}

// Listen opens a listener on a free loopback port for an instance.
func (r *Registry) Listen(instance string) (*Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	l := &Listener{reg: r, instance: instance, ln: ln, conns: map[net.Conn]bool{}, done: make(chan struct{})}
	r.mu.Lock()
	r.listeners[l] = true
	r.wg.Add(1)
	r.mu.Unlock()
	go l.accept()
	return l, nil
}

// Addr returns the address that the instance calls.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Close stops accepting connections and closes the open ones.
func (l *Listener) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		l.ln.Close()
		l.dropConns()
		l.reg.mu.Lock()
		delete(l.reg.listeners, l)
		l.reg.mu.Unlock()
	})
}

func (l *Listener) dropConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

func (l *Listener) accept() {
	defer l.reg.wg.Done()
	for {
		c, err := l.ln.Accept()
		if err != nil {
			select {
			case <-l.done:
				return
			case <-time.After(5 * time.Millisecond):
				continue
			}
		}
		l.mu.Lock()
		if time.Now().Before(l.rejectUntil) {
			l.mu.Unlock()
			c.Close()
			continue
		}
		l.conns[c] = true
		l.mu.Unlock()
		l.reg.wg.Add(1)
		go l.serve(c)
	}
}

// serve answers the calls of one connection in sequence.
func (l *Listener) serve(c net.Conn) {
	defer l.reg.wg.Done()
	defer func() {
		c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	select {
	case <-l.done: // the connection was accepted while the listener was closing
		return
	default:
	}
	br := bufio.NewReader(c)
	epoch := 0
	if l.reg.log != nil {
		epoch = l.reg.log.Restarts(l.instance)
	}
	for {
		var h fasthttp.RequestHeader
		if h.Read(br) != nil {
			return
		}
		u, err := url.Parse(string(h.RequestURI()))
		if err != nil || u.Path != "/discovery/hosts" {
			fmt.Fprint(c, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		l.mu.Lock()
		l.calls++
		l.mu.Unlock()
		since, _ := strconv.ParseInt(u.Query().Get("since"), 10, 64)
		wait, _ := strconv.Atoi(u.Query().Get("timeout_ms"))
		if !l.answer(c, epoch, since, min(time.Duration(wait)*time.Millisecond, time.Minute)) {
			return
		}
	}
}

// peerClosed reports whether the peer has closed or reset the connection.
func peerClosed(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != syscall.EAGAIN
	})
	return closed
}

// answer answers one call. It returns false if the connection is to be closed.
func (l *Listener) answer(c net.Conn, epoch int, since int64, wait time.Duration) bool {
	r := l.reg
	addressFunc := l.AddressFunc()
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	r.mu.Lock()
	for since > 0 && r.index <= since && !r.down && wait > 0 {
		updated := r.updated
		r.mu.Unlock()
		select {
		case <-updated:
		case <-deadline.C:
			wait = 0
		case <-l.done:
			return false
		}
		r.mu.Lock()
	}
	if r.down {
		silent := r.silent
		r.mu.Unlock()
		if silent {
			<-l.done
		}
		return false
	}
	text, notified := r.encode(since, addressFunc)
	pause, ok := r.schedule(len(notified))
	r.mu.Unlock()
	if !ok {
		_, err := fmt.Fprint(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	select {
	case <-time.After(pause):
	case <-l.done:
		return false
	}
	if peerClosed(c) {
		// A write would still succeed, but the caller would not be notified.
		return false
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		return false
	}
	if r.log != nil {
		at := r.log.Now()
		alsoNotified := l.coNotified()
		for _, e := range notified {
			r.log.Notified(l.instance, epoch, e.Name, e.Incarnation, e.Status != "active", at)
			for _, name := range alsoNotified {
				r.log.Notified(name, r.log.Restarts(name), e.Name, e.Incarnation, e.Status != "active", at)
			}
		}
	}
	return true
}
