package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/lifecycle"
)

// The supervisor is a client of its coordination cluster. It watches the lease holders, so
// that its fence knows the newest fencing tokens. It also requests vacant leases. While the
// cluster does not respond, the supervisor works without the cluster.

const (
	// leaseWatchTimeout is how long the cluster may hold a long poll for lease changes. A
	// partition in both directions is detected within twice this time.
	leaseWatchTimeout = 2 * time.Second
	// requestTimeout bounds one request to the cluster and one command to a host.
	requestTimeout = 3 * time.Second
	// leaveTimeout bounds the removal of the host record when the supervisor ends.
	leaveTimeout = time.Second

	coordinationRetryInterval = 500 * time.Millisecond
	vacantLeaseInterval       = 250 * time.Millisecond // time between two requests for a vacant lease

	maxLeaderConnections  = 64
	maxRequestHeaderBytes = 4 << 10
	maxIdleConnectionTime = time.Minute
)

// rejectedError is the reason for which the coordination cluster has rejected a request.
type rejectedError string

// Error implements error.
func (e rejectedError) Error() string { return "rejected by the coordination cluster: " + string(e) }

// joinCoordination starts to serve leaders' commands and to watch the leases. Both continue
// until ctx ends. It does nothing if the host belongs to no coordination cluster.
func (s *Supervisor) joinCoordination(ctx context.Context) error {
	settings := s.file.Coordination
	if settings.Name == "" {
		return nil
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("council.listen: %w", err)
	}
	s.client = client.NewClient(settings.Name, settings.Members)
	server := &http.Server{
		Handler:        &commandHandler{supervisor: s, done: ctx.Done()},
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout + time.Second,
		IdleTimeout:    maxIdleConnectionTime,
		MaxHeaderBytes: maxRequestHeaderBytes,
	}
	s.serve(ctx, server, client.LimitListener(listener, maxLeaderConnections))
	s.goroutines.Go(func() { <-ctx.Done(); s.client.Close() })
	if err := s.startEndpointProxy(ctx); err != nil {
		return err
	}
	s.goroutines.Go(func() { s.watchLeases(ctx) })
	return nil
}

// serve starts an HTTP server that runs until ctx ends.
func (s *Supervisor) serve(ctx context.Context, server *http.Server, listener net.Listener) {
	s.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server ended", "address", listener.Addr(), "error", err)
		}
	})
	s.goroutines.Go(func() { <-ctx.Done(); server.Close() })
}

// leaseWatcher watches the leases until the supervisor ends. It is owned by one goroutine.
type leaseWatcher struct {
	supervisor *Supervisor
	holder     string // name of this process as a holder of leases
	// synchronized is set once a majority of the cluster has confirmed the lease holders and
	// stored this host's record. From then on, a view of the leases from any single member
	// suffices.
	synchronized bool
	index        uint64 // index of the last view received; 0 makes the next watch return at once
}

func (s *Supervisor) watchLeases(ctx context.Context) {
	watcher := &leaseWatcher{
		supervisor: s,
		holder:     fmt.Sprintf("%s.%04x", s.file.Coordination.Host, rand.Uint32()&0xffff),
	}
	for ctx.Err() == nil {
		watcher.poll(ctx)
	}
}

// poll waits for one view of the leases and requests the vacant leases.
func (f *leaseWatcher) poll(ctx context.Context) {
	supervisor := f.supervisor
	request := client.Request{Kind: client.ReadState}
	if f.synchronized {
		request = client.Request{Kind: client.WatchLeases, WaitMS: int(leaseWatchTimeout.Milliseconds()), SeenIndex: f.index}
	}
	response, err := supervisor.request(ctx, request, leaseWatchTimeout+requestTimeout)
	if err != nil {
		supervisor.log.Warn("coordination cluster does not respond; supervising without it", "cluster", supervisor.file.Coordination.Name, "error", err)
		sleep(ctx, coordinationRetryInterval)
		return
	}
	supervisor.observeLeases(ctx, response.Holders, !f.synchronized)
	if !f.synchronized {
		f.synchronized = supervisor.publishHostRecord(ctx)
		return
	}
	f.index = response.Index
	if f.requestVacantLeases(ctx, response) {
		// This host requests the lease again at this interval until the lease has a holder.
		sleep(ctx, vacantLeaseInterval)
		f.index = 0
	}
}

// observeLeases passes a view of the leases to the fence. The parameter initial states that
// a majority has confirmed the view. A lease without an entry in such a view has no holder,
// and the fence accepts the next holder.
func (s *Supervisor) observeLeases(ctx context.Context, leases map[string]coordination.Holder, initial bool) {
	s.enqueue(ctx, func(time.Duration) []lifecycle.Action {
		for lease, holder := range leases {
			before := s.fence.Newest(lease)
			s.fence.Observe(lease, holder)
			s.logLeaseHolderChange(lease, before)
		}
		if initial {
			s.fence.Observe(RolloutLease, coordination.Holder{})
			if s.endpoints != nil {
				s.fence.Observe(s.endpoints.lease, coordination.Holder{})
			}
		}
		return nil
	})
}

// requestVacantLeases requests the vacant leases under which this host has work to do. It
// reports whether there are such leases.
func (f *leaseWatcher) requestVacantLeases(ctx context.Context, response *client.Response) bool {
	supervisor, vacant := f.supervisor, false
	if supervisor.endpoints != nil && response.Holders[supervisor.endpoints.lease].Name == "" {
		vacant = true
		supervisor.endpoints.tryLead(ctx, f.holder)
	}
	if response.PendingOperations[RolloutLease] && response.Holders[RolloutLease].Name == "" {
		vacant = true
		if supervisor.leadingRollout.CompareAndSwap(false, true) {
			supervisor.goroutines.Go(func() {
				defer supervisor.leadingRollout.Store(false)
				supervisor.leadRollout(ctx, f.holder)
			})
		}
	}
	return vacant
}

// request sends a request to the coordination cluster.
func (s *Supervisor) request(ctx context.Context, request client.Request, timeout time.Duration) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.client.Do(ctx, request)
}

// submitWrite sends a write to the coordination cluster. It returns a rejectedError if the
// cluster rejects it.
func (s *Supervisor) submitWrite(ctx context.Context, request client.Request) error {
	response, err := s.request(ctx, request, requestTimeout)
	if err == nil && response.Rejection != "" {
		return rejectedError(response.Rejection)
	}
	return err
}

// publishHostRecord stores this host's record in the coordination cluster and reports
// whether that succeeded.
func (s *Supervisor) publishHostRecord(ctx context.Context) bool {
	settings := s.file.Coordination
	text, err := json.Marshal(hostRecord{settings.Zone, settings.Listen, len(s.specs), s.file.Program})
	if err == nil {
		err = s.submitWrite(ctx, client.Request{Kind: client.SetHostStatus, Subject: settings.Host, Data: text})
	}
	if err != nil {
		s.log.Warn("host record not stored", "host", settings.Host, "error", err)
		sleep(ctx, coordinationRetryInterval)
	}
	return err == nil
}

// decodeHostRecords decodes the records of hosts. A malformed record is logged and keeps
// the fields that could be decoded.
func (s *Supervisor) decodeHostRecords(texts map[string]json.RawMessage) map[string]hostRecord {
	records := make(map[string]hostRecord, len(texts))
	for host, text := range texts {
		var record hostRecord
		if err := json.Unmarshal(text, &record); err != nil {
			s.log.Warn("malformed host record", "host", host, "error", err)
		}
		records[host] = record
	}
	return records
}

// leaveCoordination removes this host's record, since its instances have ended.
func (s *Supervisor) leaveCoordination(ctx context.Context) {
	if s.client == nil {
		return
	}
	settings := s.file.Coordination
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	leaving := client.NewClient(settings.Name, settings.Members)
	defer leaving.Close()
	if _, err := leaving.Do(ctx, client.Request{Kind: client.SetHostStatus, Subject: settings.Host}); err != nil {
		s.log.Warn("host record not removed; use otterspring council forget", "host", settings.Host, "error", err)
	}
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
