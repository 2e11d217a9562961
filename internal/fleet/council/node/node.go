package node

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

	"otterspring/internal/fleet/council"
	"otterspring/internal/fleet/council/ask"
	"otterspring/internal/inject"
	"otterspring/internal/logs"
)

// Bounds of a member's process.
const (
	mostConns   = 4096 // connections at a time
	mostQueue   = 256  // messages to one other member; what comes more is lost
	mostRaft    = council.MostSnapshot + 2<<20
	mostReport  = 2 << 10
	raftTimeout = 2 * time.Second
)

// Begin says with what a member's process begins.
type Begin int

const (
	Again Begin = iota // from its directory
	New                // as one of a council that begins
	Join               // as one that was added to a council
)

// Node is a member's process. Member, store and reports belong to the goroutine
// of Run; handlers send it events.
type Node struct {
	file    *File
	number  uint64
	of      string // the council's name with its number
	store   *store
	disk    council.Disk
	member  *council.Member // nil before it may take part
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

// Open prepares a member: its directory is read, its address listened on.
func Open(f *File, number uint64, begin Begin, log *slog.Logger) (*Node, error) {
	address, known := f.members()[number]
	if !known {
		return nil, f.bad("member", fmt.Sprintf("no member %d", number), "the number of one in the file")
	}
	dir := f.directory(number)
	switch begin {
	case New:
		d, err := council.FirstDisk(f.first(), f.members())
		if err == nil {
			err = createStore(dir, f.first(), number, d)
		}
		if err != nil {
			return nil, err
		}
	case Join:
		of, err := askName(f, number)
		if err == nil {
			err = createStore(dir, of, number, council.Disk{})
		}
		if err != nil {
			return nil, err
		}
	}
	n := &Node{
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
func askName(f *File, number uint64) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var c http.Client
	for n, address := range f.members() {
		if n == number {
			continue
		}
		if a, err := ask.Call(ctx, &c, address, f.Name, ask.Question{Kind: ask.Hear}); err == nil && nameOf(a.Council) == f.Name {
			return a.Council, nil
		}
	}
	return "", fmt.Errorf("%s: found no member of council %q that answers, wanted one to join it", f.Path, f.Name)
}

// Run is the member until ctx ends or its disk fails.
func (n *Node) Run(ctx context.Context) (err error) {
	server := &http.Server{Handler: n.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	n.wg.Go(func() { server.Serve(ask.Bounded(n.ln, mostConns)) })
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
func (n *Node) runWaiting() {
	for range maxBatch {
		select {
		case f := <-n.events:
			f()
		default:
			return
		}
	}
}

func (n *Node) tick() {
	n.ticks++
	if n.member == nil {
		return
	}
	n.member.Tick()
	// A learner counts as soon as it is near; it is tried again in the next second.
	if learners := n.member.Learners(); n.member.Leads() && len(learners) > 0 && n.ticks > n.learned+10 {
		n.learned = n.ticks
		n.member.Change(raftpb.ConfChangeAddNode, learners[0], "", nil)
	}
}

// carry does what the member says: first the disk, then the others.
func (n *Node) carry() error {
	if n.member == nil {
		return nil
	}
	for {
		out, ok := n.member.Output()
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
		if err := n.member.Stored(); err != nil {
			return err
		}
	}
	if _, _, applied := n.member.Status(); applied != n.index {
		n.index = applied
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.follow.observe(n.member.State().Configured().Version, n.member.Leader() != 0)
	return nil
}

// do runs f in Run's goroutine and returns when it has run; false if that has ended
// or ctx has.
func (n *Node) do(ctx context.Context, f func()) bool {
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
func (n *Node) askAround() {
	mine := marker{Term: n.disk.Hard.GetTerm(), Index: n.disk.Snapshot.GetMetadata().GetIndex()}
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
		if n.member, n.why = council.NewMember(n.number, n.disk, n.file.ticks()); n.why == nil {
			n.member.Incarnation = rand.Uint64()
		}
		n.disk = council.Disk{}
	})
}

// tellAble has the council agree on what this member can apply. It asks until that
// stands; a member that is put back to an older program says so, too.
func (n *Node) tellAble() {
	for n.ctx.Err() == nil {
		able, ready := 0, false
		if !n.do(n.ctx, func() {
			if ready = n.member != nil; ready {
				able = n.member.State().Able[n.number]
			}
		}) || ready && able == council.StateVersion {
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
			c := ask.NewClient(n.of, addresses)
			c.Do(ctx, ask.Question{Kind: council.Can, Member: n.number, Epoch: council.StateVersion})
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
func (n *Node) others() map[uint64]string {
	if s, err := council.Unseal(n.disk.Snapshot.GetData()); err == nil {
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

func (n *Node) known(address string) (m marker, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, raftTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s/known?member=%d", address, n.number), nil)
	if err != nil {
		return m, err
	}
	req.Header.Set(ask.Header, n.of)
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
func (n *Node) hear(m *raftpb.Message) {
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

func (n *Node) send(m *raftpb.Message) {
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
		n.member.Unreachable(m.GetTo())
	}
}

// carryTo sends messages to one member, those that wait in one call. What can't be
// sent is lost: the library sends anew what is still needed.
func (n *Node) carryTo(to uint64, p *peer) {
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
					n.member.Unreachable(to)
				}
				if snap {
					n.member.SnapshotSent(to, err == nil)
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
func (n *Node) address(number uint64) string {
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

func (n *Node) post(address string, body []byte) error {
	if address == "" {
		return errors.New("no address")
	}
	ctx, cancel := context.WithTimeout(n.ctx, raftTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/raft", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	req.Header.Set(ask.Header, n.of)
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

func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /raft", n.takeRaft)
	mux.HandleFunc("GET /known", n.tellKnown)
	mux.HandleFunc("POST "+ask.Path, n.takeAsk)
	mux.HandleFunc("GET /v1/snapshot", n.tellSnapshot)
	return mux
}

// ours tells whether a call is of this council; another's is refused and counted.
// A client that does not know the number yet names the council alone.
func (n *Node) ours(w http.ResponseWriter, r *http.Request, whole bool) bool {
	of := r.Header.Get(ask.Header)
	if of == n.of || !whole && of == nameOf(n.of) {
		return true
	}
	n.do(r.Context(), func() { n.strange++ })
	n.log.Warn(fmt.Sprintf("%s: found a call of council %q, wanted %q's: refused", r.RemoteAddr, of, n.of), logs.Cause("strange"))
	text, _ := json.Marshal(ask.Answer{Council: n.of, Member: n.number, No: fmt.Sprintf("found council %q, wanted %q", of, n.of)})
	w.WriteHeader(http.StatusConflict)
	w.Write(text)
	return false
}

func (n *Node) takeRaft(w http.ResponseWriter, r *http.Request) {
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

func (n *Node) tellKnown(w http.ResponseWriter, r *http.Request) {
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
func (n *Node) tellSnapshot(w http.ResponseWriter, r *http.Request) {
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
			got <- result{nil, council.NotLeader{}}
			return
		}
		n.member.Read(func(err error) {
			var data []byte
			if err == nil {
				data, err = council.Seal(n.member.State())
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
func (n *Node) takeAsk(w http.ResponseWriter, r *http.Request) {
	if !n.ours(w, r, false) {
		return
	}
	var q ask.Question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&q); err != nil {
		text, _ := json.Marshal(ask.Answer{Council: n.of, Member: n.number, Refused: "question: " + err.Error()})
		w.Write(text)
		return
	}
	got := make(chan *ask.Answer, 1)
	end := time.Now().Add(min(ask.MostWait, time.Duration(q.WaitMS)*time.Millisecond))
	for {
		var changed chan struct{}
		if !n.do(r.Context(), func() { changed = n.waitsFor(q); n.answer(q, got) }) {
			return
		}
		var a *ask.Answer
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
func (n *Node) waitsFor(q ask.Question) chan struct{} {
	if q.Kind == ask.Follow {
		return n.follow.news
	}
	return n.changed
}

// polls tells whether a question waits for another answer than this one.
func polls(q ask.Question, a *ask.Answer) bool {
	switch q.Kind {
	case ask.Hear:
		return a.Index <= q.Seen
	case ask.Follow:
		return a.No == "" && a.Update.Version <= q.Version
	}
	return false
}

// answer answers a question to got, which takes one. Run's goroutine.
func (n *Node) answer(q ask.Question, got chan *ask.Answer) {
	a := &ask.Answer{Council: n.of, Member: n.number, LeaseMS: n.file.Lease.Milliseconds(), MarginMS: n.file.Margin.Milliseconds(), Strange: n.strange, Version: council.StateVersion}
	m := n.member
	if m == nil {
		a.No = "found no majority that knows this member, wanted one: it does not take part yet"
		got <- a
		return
	}
	a.Term, _, a.Index = m.Status()
	a.Leads, a.Voters, a.Learn, a.Syncs = m.Leads(), m.Voters(), m.Learners(), n.store.Syncs
	end := func(r council.Result, err error) {
		a.Refused, a.Duty = r.Refused, r.Duty
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
	case council.Take, council.Give, council.Note, council.Raise, council.Begin, council.End, council.Facts:
		m.Propose(council.Command{Kind: q.Kind, Who: q.Who, Duty: q.Duty, Epoch: q.Epoch, ID: q.ID, Data: q.Data}, end)
	case council.Can:
		m.Propose(council.Command{Kind: q.Kind, Member: q.Member, Epoch: q.Epoch}, end)
	case ask.Renew:
		m.Renew(q.Duty, q.Epoch, func(err error) {
			d := m.State().Duties[q.Duty]
			if d != nil {
				a.Duty = d.Copy()
			}
			var other council.NotLeader
			if err != nil && !errors.As(err, &other) && !errors.Is(err, council.ErrBusy) {
				a.Refused, err = err.Error(), nil
			}
			n.no(a, err)
			got <- a
		})
	case ask.State:
		read(func() { a.State, a.Reports, a.Duties = m.State().WithoutConfiguration(), n.said(), tenants(m.State()) })
	case ask.Hear:
		a.Duties, a.Open = tenants(m.State()), map[string]bool{}
		for _, o := range m.State().Orders {
			if o.End == "" {
				a.Open[o.Duty] = true
			}
		}
		got <- a
	case ask.Report:
		if len(q.Data) > mostReport || len(n.reports) >= council.MostHosts && n.reports[q.Who].data == nil {
			a.Refused = fmt.Sprintf("report of %s: found %d bytes and %d hosts, wanted %d and %d at most", q.Who, len(q.Data), len(n.reports), mostReport, council.MostHosts)
		} else if !m.Leads() {
			n.no(a, council.NotLeader{Leader: m.Leader()})
		} else {
			n.reports[q.Who] = said{q.Data, n.ticks}
		}
		got <- a
	case ask.Configure:
		n.configure(q, a, got)
	case ask.Follow:
		n.followed(q, a, got)
	case ask.Resource:
		read(func() { resource(q.Service, m.State().Configured(), a) })
	case ask.Add:
		m.Change(raftpb.ConfChangeAddLearnerNode, q.Member, q.Address, end)
	case ask.Remove:
		m.Change(raftpb.ConfChangeRemoveNode, q.Member, "", end)
	case ask.StepDown:
		if !m.Leads() {
			n.no(a, council.NotLeader{Leader: m.Leader()})
		} else if q.Duty != "" {
			a.Refused = m.EndTenure(q.Duty)
		} else if err := m.StepDown(); err != nil {
			a.Refused = err.Error()
		}
		got <- a
	default:
		a.Refused = fmt.Sprintf("kind: found %q, wanted one that is known", q.Kind)
		got <- a
	}
}

// no words an error in an answer.
func (n *Node) no(a *ask.Answer, err error) {
	if err == nil {
		return
	}
	a.No, a.Unknown = err.Error(), errors.Is(err, council.ErrUnknown)
	var other council.NotLeader
	if errors.As(err, &other) && other.Leader != 0 {
		a.Leader = n.address(other.Leader)
	}
}

func tenants(s *council.State) map[string]council.Tenant {
	all := map[string]council.Tenant{}
	for name, d := range s.Duties {
		all[name] = council.Tenant{Owner: d.Owner, Epoch: d.Epoch}
	}
	return all
}

func (n *Node) said() map[string]ask.Said {
	all := map[string]ask.Said{}
	for who, s := range n.reports {
		age := time.Duration(n.ticks-s.at) * n.file.Tick
		if age > time.Minute {
			delete(n.reports, who)
			continue
		}
		all[who] = ask.Said{Data: s.data, AgeMS: age.Milliseconds()}
	}
	return all
}
