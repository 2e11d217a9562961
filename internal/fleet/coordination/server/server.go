package server

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/inject"
	"otterspring/internal/logs"
)

// Bounds of a member's process.
const (
	mostConns   = 4096 // connections at a time
	mostQueue   = 256  // messages to one other member; what comes more is lost
	mostRaft    = coordination.MaxSnapshotBytes + 2<<20
	mostReport  = 2 << 10
	raftTimeout = 2 * time.Second
)

// StartMode says with what a member's process begins.
type StartMode int

const (
	Resume    StartMode = iota // from its directory
	Bootstrap                  // as one of a council that begins
	Join                       // as one that was added to a council
)

// Server is a member's process. Member, store and reports belong to the goroutine
// of Run; handlers send it events.
type Server struct {
	file    *Config
	number  uint64
	of      string // the council's name with its number
	store   *store
	disk    coordination.PersistentState
	member  *coordination.Member // nil before it may take part
	ln      net.Listener
	log     *slog.Logger
	events  chan func()
	ctx     context.Context
	end     context.CancelFunc
	wg      sync.WaitGroup
	client  http.Client
	peers   map[uint64]*peer
	reports map[string]said
	changed chan struct{} // closed when something is newly agreed on
	index   uint64        // that changed was closed for
	follow  followers
	strange int
	why     error             // for which the member has to end
	learned uint64            // tick at which the last learner was promoted
	ticks   uint64            // since the start
	heard   map[uint64]marker // of each other member, the newest that it was told of
}

type said struct {
	data json.RawMessage
	at   uint64
}

// marker is how far a member was known to be.
type marker struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// PendingOperations prepares a member: its directory is read, its address listened on.
func Open(f *Config, number uint64, begin StartMode, log *slog.Logger) (*Server, error) {
	address, known := f.members()[number]
	if !known {
		return nil, f.bad("member", fmt.Sprintf("no member %d", number), "the number of one in the file")
	}
	dir := f.directory(number)
	switch begin {
	case Bootstrap:
		d, err := coordination.BootstrapState(f.first(), f.members())
		if err == nil {
			err = createStore(dir, f.first(), number, d)
		}
		if err != nil {
			return nil, err
		}
	case Join:
		of, err := askName(f, number)
		if err == nil {
			err = createStore(dir, of, number, coordination.PersistentState{})
		}
		if err != nil {
			return nil, err
		}
	}
	n := &Server{
		file: f, number: number, log: log, events: make(chan func()), peers: map[uint64]*peer{}, reports: map[string]said{},
		changed: make(chan struct{}), heard: map[uint64]marker{}, follow: followers{news: make(chan struct{})},
	}
	var err error
	n.store, n.of, n.disk, err = openStore(dir, f.Name, number)
	if errors.Is(err, errEmpty) {
		return nil, fmt.Errorf("%s: found no state, wanted member %d's: run -new begins a council, and a disk that was replaced is a new member (members remove, members add, run -join)", dir, number)
	}
	if err != nil {
		return nil, err
	}
	if n.ln, err = net.Listen("tcp", address); err != nil {
		n.store.db.Close()
		return nil, err
	}
	n.ctx, n.end = context.WithCancel(context.Background())
	return n, nil
}

// askName asks the members of a file which council they are.
func askName(f *Config, number uint64) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var c http.Client
	for n, address := range f.members() {
		if n == number {
			continue
		}
		if a, err := client.Call(ctx, &c, address, f.Name, client.Request{Kind: client.WatchLeases}); err == nil && nameOf(a.Cluster) == f.Name {
			return a.Cluster, nil
		}
	}
	return "", fmt.Errorf("%s: found no member of council %q that answers, wanted one to join it", f.Path, f.Name)
}

// Run is the member until ctx ends or its disk fails.
func (n *Server) Run(ctx context.Context) (err error) {
	server := &http.Server{Handler: n.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	n.wg.Go(func() { server.Serve(client.LimitListener(n.ln, mostConns)) })
	defer func() {
		n.end()
		server.Close()
		n.wg.Wait()
		n.client.CloseIdleConnections()
		err = errors.Join(err, n.store.db.Close())
	}()
	n.log.Info(fmt.Sprintf("member %d of %s listens on %s", n.number, n.of, n.ln.Addr()))
	n.wg.Go(func() { n.askAround(); n.tellAble() })
	ticker := time.NewTicker(n.file.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-n.events:
			f()
			n.runWaiting()
		case <-ticker.C:
			n.tick()
		}
		if err := errors.Join(n.why, n.carry()); err != nil {
			return fmt.Errorf("member %d ends: %w", n.number, err)
		}
	}
}

// maxBatch is how many events are handled before what they came to is stored.
const maxBatch = 256

// runWaiting runs the events that wait already: what they propose goes to the disk
// in one write with what the event before them proposed.
func (n *Server) runWaiting() {
	for range maxBatch {
		select {
		case f := <-n.events:
			f()
		default:
			return
		}
	}
}

func (n *Server) tick() {
	n.ticks++
	if n.member == nil {
		return
	}
	n.member.Tick()
	// A learner counts as soon as it is near; it is tried again in the next second.
	if learners := n.member.Learners(); n.member.IsLeader() && len(learners) > 0 && n.ticks > n.learned+10 {
		n.learned = n.ticks
		n.member.ChangeMembership(raftpb.ConfChangeAddNode, learners[0], "", nil)
	}
}

// carry does what the member says: first the disk, then the others.
func (n *Server) carry() error {
	if n.member == nil {
		return nil
	}
	for {
		out, ok := n.member.Ready()
		if !ok {
			break
		}
		inject.At("council-stores")
		if err := n.store.save(out); err != nil {
			return err
		}
		inject.At("council-stored")
		for _, m := range out.Messages {
			n.send(m)
		}
		if err := n.member.Advance(); err != nil {
			return err
		}
	}
	if _, _, applied := n.member.Status(); applied != n.index {
		n.index = applied
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.follow.observe(n.member.State().ConfigurationStore().Version, n.member.Leader() != 0)
	return nil
}

// do runs f in Run's goroutine and returns when it has run; false if that has ended
// or ctx has.
func (n *Server) do(ctx context.Context, f func()) bool {
	ran := make(chan struct{})
	select {
	case n.events <- func() { defer close(ran); f() }:
		<-ran // Run does nothing between taking it and this
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}

// askAround lets the member take part when a majority, itself among them, has
// said what it knows of it: a disk that is older than what others were told of is
// not gone on with. All are asked until they answer; without a majority there is
// nothing to take part in.
func (n *Server) askAround() {
	mine := marker{Term: n.disk.HardState.GetTerm(), Index: n.disk.Snapshot.GetMetadata().GetIndex()}
	if k := len(n.disk.Entries); k > 0 {
		mine.Index = n.disk.Entries[k-1].GetIndex()
	}
	others := n.others()
	answered := map[uint64]bool{n.number: true}
	for len(answered) < len(others)/2+1 && n.ctx.Err() == nil {
		for number, address := range others {
			if answered[number] || number == n.number {
				continue
			}
			known, err := n.known(address)
			if err != nil {
				continue
			}
			answered[number] = true
			if known.Term > mine.Term || known.Index > mine.Index {
				n.do(n.ctx, func() {
					n.why = fmt.Errorf("%s: found term %d and entry %d, wanted %d and %d at least, which member %d was told of: this disk is an older one; replace the member", n.store.path, mine.Term, mine.Index, known.Term, known.Index, number)
				})
				return
			}
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(2 * n.file.Tick):
		}
	}
	n.do(n.ctx, func() {
		if n.member, n.why = coordination.NewMember(n.number, n.disk, n.file.ticks()); n.why == nil {
			n.member.Incarnation = rand.Uint64()
		}
		n.disk = coordination.PersistentState{}
	})
}

// tellAble has the council agree on what this member can apply. It asks until that
// stands; a member that is put back to an older program says so, too.
func (n *Server) tellAble() {
	for n.ctx.Err() == nil {
		able, ready := 0, false
		if !n.do(n.ctx, func() {
			if ready = n.member != nil; ready {
				able = n.member.State().SupportedVersions[n.number]
			}
		}) || ready && able == coordination.StateVersion {
			return
		}
		if ready {
			ctx, cancel := context.WithTimeout(n.ctx, raftTimeout)
			var addresses []string
			n.do(ctx, func() {
				for number := range n.member.State().Members {
					if a := n.address(number); a != "" {
						addresses = append(addresses, a)
					}
				}
			})
			c := client.NewClient(n.of, addresses)
			c.Do(ctx, client.Request{Kind: client.AdvertiseVersion, Member: n.number, Token: coordination.StateVersion})
			c.Close()
			cancel()
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(10 * n.file.Tick):
		}
	}
}

// others are the members that the disk knows, or the file's where it knows none.
func (n *Server) others() map[uint64]string {
	if s, err := coordination.DecodeSnapshot(n.disk.Snapshot.GetData()); err == nil {
		all := map[uint64]string{}
		for number, address := range s.Members {
			if address != "" {
				all[number] = address
			}
		}
		return all
	}
	return n.file.members()
}

func (n *Server) known(address string) (m marker, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, raftTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/known?member=%d", address, n.number), nil)
	if err != nil {
		return m, err
	}
	req.Header.Set(client.ClusterHeader, n.of)
	if err := inject.Way(ctx, address); err != nil {
		return m, err
	}
	r, err := n.client.Do(req)
	if err != nil {
		return m, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return m, fmt.Errorf("%s: status %d", address, r.StatusCode)
	}
	return m, json.NewDecoder(io.LimitReader(r.Body, 1024)).Decode(&m)
}

// hear notes how far a member says that it is. Run's goroutine.
func (n *Server) hear(m *raftpb.Message) {
	k := n.heard[m.GetFrom()]
	switch m.GetType() {
	case raftpb.MsgAppResp:
		if !m.GetReject() {
			k.Index = max(k.Index, m.GetIndex())
		}
		k.Term = max(k.Term, m.GetTerm())
	case raftpb.MsgVoteResp:
		k.Term = max(k.Term, m.GetTerm())
	}
	n.heard[m.GetFrom()] = k
}

// peer is the way to another member: one goroutine, a bounded queue.
type peer struct {
	queue chan *raftpb.Message
}

func (n *Server) send(m *raftpb.Message) {
	p := n.peers[m.GetTo()]
	if p == nil {
		p = &peer{make(chan *raftpb.Message, mostQueue)}
		n.peers[m.GetTo()] = p
		to := m.GetTo()
		n.wg.Go(func() { n.carryTo(to, p) })
	}
	select {
	case p.queue <- m:
	default:
		n.member.ReportUnreachable(m.GetTo())
	}
}

// carryTo sends messages to one member, those that wait in one call. What can't be
// sent is lost: the library sends anew what is still needed.
func (n *Server) carryTo(to uint64, p *peer) {
	for {
		var body []byte
		var snap bool
		select {
		case <-n.ctx.Done():
			return
		case m := <-p.queue:
			body, snap = frame(body, m), m.GetType() == raftpb.MsgSnap
		}
	more:
		for len(body) < mostRaft/2 {
			select {
			case m := <-p.queue:
				body, snap = frame(body, m), snap || m.GetType() == raftpb.MsgSnap
			default:
				break more
			}
		}
		var address string
		if !n.do(n.ctx, func() { address = n.address(to) }) {
			return
		}
		err := n.post(address, body)
		if err != nil || snap {
			n.do(n.ctx, func() {
				if err != nil {
					n.member.ReportUnreachable(to)
				}
				if snap {
					n.member.ReportSnapshot(to, err == nil)
				}
			})
		}
		if err != nil {
			n.log.Debug(fmt.Sprintf("member %d: %v", to, err), logs.Cause("raft"))
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(n.file.Tick):
			}
		}
	}
}

// address is where a member listens; empty where that is not known. Run's
// goroutine.
func (n *Server) address(number uint64) string {
	if a := n.member.State().Members[number]; a != "" {
		return a
	}
	return n.file.members()[number]
}

func frame(to []byte, m *raftpb.Message) []byte {
	text, err := proto.Marshal(m)
	if err != nil {
		return to
	}
	return append(binary.AppendUvarint(to, uint64(len(text))), text...)
}

func (n *Server) post(address string, body []byte) error {
	if address == "" {
		return errors.New("no address")
	}
	ctx, cancel := context.WithTimeout(n.ctx, raftTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/raft", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	req.Header.Set(client.ClusterHeader, n.of)
	if err := inject.Way(ctx, address); err != nil {
		return err
	}
	r, err := n.client.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	io.Copy(io.Discard, io.LimitReader(r.Body, 1024))
	if r.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s: status %d", address, r.StatusCode)
	}
	return nil
}

func (n *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /raft", n.takeRaft)
	mux.HandleFunc("GET /known", n.tellKnown)
	mux.HandleFunc("POST "+client.Path, n.takeAsk)
	mux.HandleFunc("GET /v1/snapshot", n.tellSnapshot)
	return mux
}

// ours tells whether a call is of this council; another's is refused and counted.
// A client that does not know the number yet names the council alone.
func (n *Server) ours(w http.ResponseWriter, r *http.Request, whole bool) bool {
	of := r.Header.Get(client.ClusterHeader)
	if of == n.of || !whole && of == nameOf(n.of) {
		return true
	}
	n.do(r.Context(), func() { n.strange++ })
	n.log.Warn(fmt.Sprintf("%s: found a call of council %q, wanted %q's: refused", r.RemoteAddr, of, n.of), logs.Cause("strange"))
	text, _ := json.Marshal(client.Response{Cluster: n.of, Member: n.number, Unavailable: fmt.Sprintf("found council %q, wanted %q", of, n.of)})
	w.WriteHeader(http.StatusConflict)
	w.Write(text)
	return false
}

func (n *Server) takeRaft(w http.ResponseWriter, r *http.Request) {
	if !n.ours(w, r, true) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostRaft))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var list []*raftpb.Message
	for len(body) > 0 {
		size, k := binary.Uvarint(body)
		if k <= 0 || size > uint64(len(body)-k) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(body[k:k+int(size)], m); err != nil || m.GetTo() != n.number {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		list = append(list, m)
		body = body[k+int(size):]
	}
	status := http.StatusServiceUnavailable
	n.do(r.Context(), func() {
		if n.member == nil {
			return // it does not take part yet
		}
		status = http.StatusNoContent
		for _, m := range list {
			n.hear(m)
			if err := n.member.Step(m); err != nil {
				n.log.Debug(fmt.Sprintf("message of member %d: %v", m.GetFrom(), err), logs.Cause("step"))
			}
		}
	})
	w.WriteHeader(status)
}

func (n *Server) tellKnown(w http.ResponseWriter, r *http.Request) {
	if !n.ours(w, r, true) {
		return
	}
	var number uint64
	fmt.Sscan(r.URL.Query().Get("member"), &number)
	got := make(chan marker, 1)
	if !n.do(r.Context(), func() { got <- n.heard[number] }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(w).Encode(<-got)
}

// tellSnapshot gives what is agreed on, as a majority knows it, to be kept.
func (n *Server) tellSnapshot(w http.ResponseWriter, r *http.Request) {
	if !n.ours(w, r, false) {
		return
	}
	type result struct {
		data []byte
		err  error
	}
	got := make(chan result, 1)
	n.do(r.Context(), func() {
		if n.member == nil {
			got <- result{nil, coordination.NotLeaderError{}}
			return
		}
		n.member.Read(func(err error) {
			var data []byte
			if err == nil {
				data, err = coordination.EncodeSnapshot(n.member.State())
			}
			got <- result{data, err}
		})
	})
	select {
	case g := <-got:
		if g.err != nil {
			http.Error(w, g.err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Write(g.data)
	case <-r.Context().Done():
	case <-n.ctx.Done():
	}
}

// takeAsk answers one question.
func (n *Server) takeAsk(w http.ResponseWriter, r *http.Request) {
	if !n.ours(w, r, false) {
		return
	}
	var q client.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&q); err != nil {
		text, _ := json.Marshal(client.Response{Cluster: n.of, Member: n.number, Rejection: "question: " + err.Error()})
		w.Write(text)
		return
	}
	got := make(chan *client.Response, 1)
	end := time.Now().Add(min(client.MaxWait, time.Duration(q.WaitMS)*time.Millisecond))
	for {
		var changed chan struct{}
		if !n.do(r.Context(), func() { changed = n.waitsFor(q); n.answer(q, got) }) {
			return
		}
		var a *client.Response
		select {
		case a = <-got:
		case <-r.Context().Done():
			return
		case <-n.ctx.Done():
			return
		}
		left := time.Until(end)
		if !polls(q, a) || left <= 0 {
			inject.At("council-answers")
			text, _ := json.Marshal(a)
			w.Header().Set("Content-Type", "application/json")
			w.Write(text)
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		case <-n.ctx.Done():
		}
		timer.Stop()
	}
}

// waitsFor returns what is closed when a poll may have another answer. Run's goroutine.
func (n *Server) waitsFor(q client.Request) chan struct{} {
	if q.Kind == client.WatchConfiguration {
		return n.follow.news
	}
	return n.changed
}

// polls tells whether a question waits for another answer than this one.
func polls(q client.Request, a *client.Response) bool {
	switch q.Kind {
	case client.WatchLeases:
		return a.Index <= q.SeenIndex
	case client.WatchConfiguration:
		return a.Unavailable == "" && a.Update.Version <= q.Version
	}
	return false
}

// answer answers a question to got, which takes one. Run's goroutine.
func (n *Server) answer(q client.Request, got chan *client.Response) {
	a := &client.Response{Cluster: n.of, Member: n.number, LeaseMS: n.file.Lease.Milliseconds(), MarginMS: n.file.Margin.Milliseconds(), WrongClusterCalls: n.strange, Version: coordination.StateVersion}
	m := n.member
	if m == nil {
		a.Unavailable = "found no majority that knows this member, wanted one: it does not take part yet"
		got <- a
		return
	}
	a.Term, _, a.Index = m.Status()
	a.IsLeader, a.Voters, a.Learners, a.Syncs = m.IsLeader(), m.Voters(), m.Learners(), n.store.Syncs
	end := func(r coordination.Result, err error) {
		a.Rejection, a.Lease = r.Rejection, r.Lease
		n.no(a, err)
		got <- a
	}
	read := func(then func()) {
		m.Read(func(err error) {
			if n.no(a, err); err == nil {
				then()
			}
			got <- a
		})
	}
	switch q.Kind {
	case client.AcquireLease, client.ReleaseLease, client.WriteCheckpoint, client.AdvanceToken, client.RequestOperation, client.CompleteOperation, client.SetHostStatus:
		m.Propose(coordination.Command{Kind: coordination.CommandKind(q.Kind), Subject: q.Subject, Lease: q.Lease, Token: q.Token, OperationID: q.OperationID, Data: q.Data}, end)
	case client.AdvertiseVersion:
		m.Propose(coordination.Command{Kind: coordination.CommandKind(q.Kind), Member: q.Member, Token: q.Token}, end)
	case client.RenewLease:
		m.RenewLease(q.Lease, q.Token, func(err error) {
			d := m.State().Leases[q.Lease]
			if d != nil {
				a.Lease = d.Copy()
			}
			var other coordination.NotLeaderError
			if err != nil && !errors.As(err, &other) && !errors.Is(err, coordination.ErrBusy) {
				a.Rejection, err = err.Error(), nil
			}
			n.no(a, err)
			got <- a
		})
	case client.ReadState:
		read(func() { a.State, a.Reports, a.Holders = m.State().WithoutConfiguration(), n.said(), tenants(m.State()) })
	case client.WatchLeases:
		a.Holders, a.PendingOperations = tenants(m.State()), map[string]bool{}
		for _, o := range m.State().Operations {
			if o.Outcome == "" {
				a.PendingOperations[o.Lease] = true
			}
		}
		got <- a
	case client.ReportHost:
		if len(q.Data) > mostReport || len(n.reports) >= coordination.MaxHosts && n.reports[q.Subject].data == nil {
			a.Rejection = fmt.Sprintf("report of %s: found %d bytes and %d hosts, wanted %d and %d at most", q.Subject, len(q.Data), len(n.reports), mostReport, coordination.MaxHosts)
		} else if !m.IsLeader() {
			n.no(a, coordination.NotLeaderError{Leader: m.Leader()})
		} else {
			n.reports[q.Subject] = said{q.Data, n.ticks}
		}
		got <- a
	case client.ChangeConfiguration:
		n.configure(q, a, got)
	case client.WatchConfiguration:
		n.followed(q, a, got)
	case client.ReadConfiguration:
		read(func() { resource(q.Service, m.State().ConfigurationStore(), a) })
	case client.AddMember:
		m.ChangeMembership(raftpb.ConfChangeAddLearnerNode, q.Member, q.Address, end)
	case client.RemoveMember:
		m.ChangeMembership(raftpb.ConfChangeRemoveNode, q.Member, "", end)
	case client.StepDown:
		if !m.IsLeader() {
			n.no(a, coordination.NotLeaderError{Leader: m.Leader()})
		} else if q.Lease != "" {
			a.Rejection = m.RevokeLease(q.Lease)
		} else if err := m.TransferLeadership(); err != nil {
			a.Rejection = err.Error()
		}
		got <- a
	default:
		a.Rejection = fmt.Sprintf("kind: found %q, wanted one that is known", q.Kind)
		got <- a
	}
}

// no words an error in an answer.
func (n *Server) no(a *client.Response, err error) {
	if err == nil {
		return
	}
	a.Unavailable, a.OutcomeUnknown = err.Error(), errors.Is(err, coordination.ErrUnknownOutcome)
	var other coordination.NotLeaderError
	if errors.As(err, &other) && other.Leader != 0 {
		a.Leader = n.address(other.Leader)
	}
}

func tenants(s *coordination.State) map[string]coordination.Holder {
	all := map[string]coordination.Holder{}
	for name, d := range s.Leases {
		all[name] = coordination.Holder{Name: d.Holder, Token: d.Token}
	}
	return all
}

func (n *Server) said() map[string]client.HostReport {
	all := map[string]client.HostReport{}
	for who, s := range n.reports {
		age := time.Duration(n.ticks-s.at) * n.file.Tick
		if age > time.Minute {
			delete(n.reports, who)
			continue
		}
		all[who] = client.HostReport{Data: s.data, AgeMS: age.Milliseconds()}
	}
	return all
}
