package mutant

// Mutant is a deliberate fault in the source that tests or experiments must detect.
type Mutant struct {
	Name             string
	File             string // path relative to the root of the source tree
	Old              string // text to replace; must occur exactly once in File
	New              string
	Defect           string // the faulty behavior
	UndetectedReason string // why no test detects it; empty if a test or experiment must detect it
	// MultiProcessArgs are arguments of `rig`. They run an experiment that must detect the mutant.
	// The experiment has several processes of the program and faults between them. Empty if there
	// is no such experiment.
	MultiProcessArgs string
	MultiProcessOnly bool // run only MultiProcessArgs, no tests and no other experiments
	// AdditionalEdits are needed if several checks guard against the same failure. The fault shows
	// only if all of these checks are disabled. Empty for most mutants.
	AdditionalEdits []Edit
}

// Edit replaces text that occurs exactly once in a source file.
type Edit struct {
	File string // path relative to the root of the source tree
	Old  string
	New  string
}

// allEdits returns all edits of the mutant.
func (m *Mutant) allEdits() []Edit {
	return append([]Edit{{File: m.File, Old: m.Old, New: m.New}}, m.AdditionalEdits...)
}

// Arguments of `rig` for multi-process experiments. Each experiment runs without a mutant first,
// and this run must not report a violation.
const (
	holderRandomFaults  = "owner -members 3 -hosts 3 -instances 9 -faults 6 -for 24s -seeds 1..4 -jobs 2"
	holderSuspended     = "nemesis -short -seeds 1..2 -jobs 2 experiments/owner-stopped.toml"
	receiverRestarted   = "nemesis -short -seeds 1..2 -jobs 2 experiments/owner-forgets.toml"
	holderPartitioned   = "nemesis -short -seeds 1 -jobs 3 experiments/owner-cut.toml"
	listHolderSuspended = "nemesis -short -seeds 1 -jobs 2 experiments/list-owner.toml"
	listPartitioned     = "nemesis -short -seeds 1 -jobs 3 experiments/list-cut.toml"
	listIsolated        = "nemesis -short -seeds 1 -jobs 2 experiments/list-apart.toml"
	listLeaseReleased   = "nemesis -short -seeds 1 experiments/list-gives.toml"
	listLagging         = "nemesis -short -seeds 1..2 -jobs 2 experiments/list-lag.toml"
	rollingRestarts     = "nemesis -short -seeds 1..2 -jobs 2 experiments/between-rolls.toml"
	supervisorKilled    = "nemesis -short -seeds 1 -jobs 3 experiments/between-killed.toml"
	handoverSuspended   = "nemesis -short -seeds 1 -jobs 3 experiments/between-handover.toml"
	discoveryLagging    = "nemesis -short -seeds 1..3 -jobs 3 experiments/between-lists.toml"
	scaleFaults         = "scale -sidecars 300 -real 0 -zones 3 -services 40 -calls-services 8 -changes-per-s 20 -snapshots-at-once 2 -for 10s -faults all -seed 1"
)

// Controls are mutants that change nothing. If one of them is detected, the other results are void.
var Controls = []Mutant{
	{Name: "unchanged-module", File: "balance/balancer.go", Defect: "nothing", Old: "package balance\n", New: "package balance\n"},
	{Name: "unchanged-sidecar", File: "internal/sidecar/httpupstream/attempt.go", Defect: "nothing", Old: "package httpupstream\n", New: "package httpupstream\n"},
}

// Table lists the mutants that `rig mutants` evaluates.
var Table = []Mutant{
	// Rules 1, 2 and 4 and the retry budget. No rig or experiment detected these faults at first.
	{Name: "unsafe-again", MultiProcessArgs: discoveryLagging, File: "balance/retry.go", Defect: "a non-idempotent request may be retried after an attempt that may have been executed",
		Old: "return r.class.Idempotency == IdempotentWithKey && now < r.maybeExecuted.sentAt", New: "return r.class.Idempotency == NonIdempotent || now < r.maybeExecuted.sentAt"},
	{Name: "cold-unguarded", File: "balance/slowstart.go", Defect: "slow start does not limit the load of cold servers",
		Old: "func (b *Balancer) assuredCapacity(s *server, now time.Duration) float64 {\n", New: "func (b *Balancer) assuredCapacity(s *server, now time.Duration) float64 {\n\tif now > 0 {\n\t\treturn 1\n\t}\n"},
	{Name: "no-own-end", File: "balance/request.go", Defect: "a request is not answered when its deadline expires",
		Old: "b.schedule(r.answerDeadline, timerAnswer, r, 0)", New: "b.schedule(r.answerDeadline+time.Hour, timerAnswer, r, 0)"},
	{Name: "never-ran", File: "balance/events.go", Defect: "resets and errors count as proof that the request was not executed",
		Old: "s == NeverSent || s == PartialWrite\n}", New: "s == NeverSent || s == PartialWrite || s == Reset || s == Error\n}"},
	{Name: "no-budget", File: "balance/budget.go", Defect: "the retry budget never rejects a retry",
		Old: "return float64(len(b.retries)) < max(budgetPercent/100*float64(b.firstsInWindow(now)), budgetFloor)", New: "return float64(len(b.retries)) >= 0"},

	// Retries.
	{Name: "copies-free", File: "balance/attempt.go", Defect: "the retry budget does not count hedged requests",
		Old: "\t} else {\n\t\tb.budget.recordRetry(now)\n", New: "\t} else if r.inFlight == 0 {\n\t\tb.budget.recordRetry(now)\n"},
	{Name: "copies-unasked", File: "balance/attempt.go", Defect: "hedged requests do not consult the retry budget",
		Old: "(!b.mayRetry(r, now) || !b.budget.allowsRetry(now))", New: "(!b.mayRetry(r, now) || r.inFlight == 0 && !b.budget.allowsRetry(now))"},
	{Name: "floor-of-ten", File: "balance/budget.go", Defect: "the floor of the retry budget is five times as large",
		Old: "budgetFloor   = 2.0", New: "budgetFloor   = 10.0"},
	{Name: "half-again", File: "balance/budget.go", Defect: "the retry budget permits 50 % instead of 20 % retries",
		Old: "budgetPercent = 20.0", New: "budgetPercent = 50.0"},
	{Name: "no-pause", File: "balance/retry.go", Defect: "retries have no backoff delay",
		Old: "wait := backoff(b.rng, r.retryCount)", New: "wait := 0 * backoff(b.rng, r.retryCount)"},
	{Name: "even-pause", File: "balance/retry.go", Defect: "the backoff delay does not grow",
		Old: "backoffBase<<min(n, backoffMaxDoubles)", New: "backoffBase<<min(n, 0)"},
	{Name: "no-jitter", File: "balance/retry.go", Defect: "the backoff delay has no jitter",
		Old: "(1 - backoffJitter + float64(2*backoffJitter*rng.Float64()))", New: "(1 + 0*backoffJitter*rng.Float64())"},
	{Name: "key-window-over", File: "balance/retry.go", Defect: "a request with a key is retried after its deduplication window",
		Old: "return r.class.Idempotency == IdempotentWithKey && now < r.maybeExecuted.sentAt+r.class.DedupWindow", New: "return r.class.Idempotency == IdempotentWithKey"},
	{Name: "key-elsewhere", File: "balance/pick.go", Defect: "a request with a key that may have been executed is retried outside its deduplication scope",
		Old: "return r.maybeExecuted == nil || sameDedupScope(r.class.DedupScope, s, r.maybeExecuted.server)", New: "return true"},
	{Name: "refuses-what-ran", File: "balance/request.go", Defect: "a request that may have been executed is rejected as safe to retry",
		Old: "if r.maybeExecuted == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == ScopeAll {", New: "if r != nil {"},
	{Name: "never-refuses", File: "balance/request.go", Defect: "a request that was provably not executed fails as if it may have been executed",
		Old: "\t\tkind = Reject\n", New: "\t\tkind = Fail\n"},
	{Name: "late-is-good", File: "balance/request.go", Defect: "a request waits past its latency objective although a late response has no value",
		Old: "if r.class.LatePriorityWeight > 0 {", New: "if r.class.Deadline > 0 {"},

	{Name: "incomplete-keep-places", File: "internal/sidecar/httpserver/server.go", Defect: "clients that stall within a request keep all connection slots while others wait",
		Old: "limit = requestTimeoutAtCapacity", New: "limit = requestTimeout"},
	{Name: "acks-unwaited", File: "internal/sidecar/coapserver/server.go", Defect: "a drain ends although CoAP responses are still unacknowledged",
		Old: "unacknowledged = s.protocol.UnacknowledgedResponses()", New: "unacknowledged = 0"},

	// Supervisors.
	{Name: "start-unwritten", MultiProcessArgs: supervisorKilled, File: "internal/fleet/supervisor/adoption.go", Defect: "an instance that is started just before its supervisor is killed, and is not recorded yet, is not adopted",
		Old: "range labeledProcesses(s.file.Directory) {", New: "range labeledProcesses(\"\") {"},

	// Coordination cluster and lease holders.
	{Name: "renewed-at-its-end", File: "internal/fleet/coordination/lease_timers.go", Defect: "a lease is renewed while its expiry is being committed",
		Old: "timer.revoked && timer.token == token", New: "timer.revoked && timer.token != token"},
	{Name: "leader-unconfirmed", File: "internal/fleet/coordination/proposal.go", Defect: "a leader renews leases without confirmation by a majority",
		Old: "	m.node.ReadIndex(m.readContext(m.lastRequestID))\n}", New: "	m.reads[len(m.reads)-1].index = 1\n}"},
	{Name: "ticket-of-before", File: "internal/fleet/coordination/proposal.go", Defect: "the result of a command from before a restart completes a proposal made after it",
		Old: "p != nil && p.term == command.Term {", New: "p != nil {"},
	{Name: "old-disk-votes", File: "internal/fleet/coordination/position.go", Defect: "a member starts from an outdated copy of its storage file",
		Old: "return p.Term > other.Term\n", New: "return p.Term > other.Term+1e6\n",
		AdditionalEdits: []Edit{{File: "internal/fleet/coordination/position.go", Old: "return other.EntryTerm < p.EntryTerm || other.Index < p.Index", New: "return false"}}},
	{Name: "vote-forgotten", File: "internal/fleet/coordination/position.go", Defect: "a member starts from a copy of its storage file that lacks its vote",
		Old: "case p.Vote != 0 && p.Vote != other.Vote:", New: "case p.Vote != 0 && p.Vote != other.Vote && other.Vote != 0:"},
	{Name: "leader-position-untold", File: "internal/fleet/coordination/server/handler.go", Defect: "positions that a member sent as the leader do not reveal that its storage file is outdated",
		Old: "position, found := decodePosition(r.Header)", New: "position, found := decodePosition(http.Header{})"},
	{Name: "positions-not-stored", File: "internal/fleet/coordination/server/positions.go", Defect: "a restarted member has lost the positions acknowledged by the other members",
		Old: "s.storage.positions = s.acknowledged", New: "s.storage.positions = nil"},
	{Name: "entries-behind-snapshot", File: "internal/fleet/coordination/server/storage.go", Defect: "entries of a replaced log survive a snapshot from the leader: a restarted member votes for a candidate that lacks committed entries",
		Old: "if ready.ReplacesLog {", New: "if ready.ReplacesLog && ready.Snapshot == nil {"},
	{Name: "any-council", File: "internal/fleet/coordination/server/handler.go", Defect: "a member accepts requests for another cluster with the same name",
		Old: "got == s.cluster || !fromMember && got == clusterName(s.cluster)", New: "clusterName(got) == clusterName(s.cluster)"},
	{Name: "restore-goes-back", File: "internal/fleet/coordination/snapshot.go", Defect: "a restored cluster issues fencing tokens from before the restore",
		Old: "state.Apply(Command{Version: 1, Kind: SetTokenSpace, Token: FencingToken(space)})", New: "state.LogicalClock += 0 * uint64(space)"},
	{Name: "stores-nothing", File: "internal/fleet/coordination/server/positions.go", Defect: "a member acknowledges entries before they are stored",
		Old: "if err := s.storage.save(ready); err != nil {", New: "if err := s.storage.save(coordination.Ready{Snapshot: ready.Snapshot}); err != nil {"},
	{Name: "effect-unfenced", MultiProcessArgs: holderSuspended, File: "internal/fleet/supervisor/commands.go", Defect: "a supervisor executes commands of a former lease holder",
		Old: "Token: command.Token}); err != nil {", New: "Token: command.Token}); err != nil && command.Token == 0 {"},
	{Name: "unreached-counts-not", MultiProcessArgs: holderPartitioned, File: "internal/fleet/rollout/decide.go", Defect: "the lease holder proceeds although it has not contacted all hosts",
		Old: "\t\tif !host.Contacted {\n", New: "\t\tif !host.Contacted && host.Name == \"\" {\n"},
	{Name: "order-unmarked", MultiProcessArgs: holderRandomFaults, File: "internal/fleet/supervisor/actions.go", Defect: "a process does not carry the operation that it was started for",
		Old: "env = append(env, operationVariable+\"=\"+operation)", New: "env = append(env, operationVariable+\"=\")"},
	{Name: "order-unwritten", MultiProcessArgs: holderRandomFaults, File: "internal/fleet/supervisor/adoption.go", Defect: "operations are not recovered from the state file after the processes of a host were killed",
		Old: "known && saved.Operation", New: "known && saved.PID < 0 && saved.Operation"},
	{Name: "epoch-stands", File: "internal/fleet/coordination/apply.go", Defect: "a new lease holder gets the fencing token of its predecessor",
		Old: "max(lease.Token+1, FencingToken(s.TokenSpace)<<32+1)", New: "max(lease.Token, FencingToken(s.TokenSpace)<<32+1)"},
	{Name: "fence-open", MultiProcessArgs: holderSuspended, File: "internal/fleet/coordination/fence.go", Defect: "a receiver accepts commands of a former lease holder",
		Old: "case holder.Token < newest.Token:", New: "case holder.Token < 0:"},

	{Name: "receiver-forgets", MultiProcessArgs: receiverRestarted, File: "internal/fleet/coordination/fence.go", Defect: "a restarted receiver accepts any lease holder before it knows the current fencing token",
		Old: "	case !known:\n		f.Rejected++\n		return", New: "	case !known && holder.Token == 0:\n		f.Rejected++\n		return"},
	{Name: "margin-negative", MultiProcessArgs: holderPartitioned, File: "internal/fleet/coordination/leadership.go", Defect: "a lease holder acts beyond the end of its lease",
		Old: "requested+lease-margin", New: "requested+2*lease+margin"},
	{Name: "vote-counted-twice", File: "internal/fleet/coordination/server/startup.go", Defect: "a restarted member counts its own confirmation as two of the majority",
		Old: "answered := map[uint64]bool{s.number: true}", New: "answered := map[uint64]bool{s.number: true, 1 << 40: true}"},

	{Name: "list-unfenced", MultiProcessArgs: listHolderSuspended, File: "internal/fleet/supervisor/commands.go", Defect: "a supervisor accepts an endpoint list from a former lease holder",
		Old: "Token: command.Token}); err != nil {", New: "Token: command.Token}); err != nil && command.Kind != commandList {"},
	{Name: "list-kept", MultiProcessArgs: listLeaseReleased, File: "internal/fleet/supervisor/endpoints_leader.go", Defect: "a lease holder whose calls to discovery fail keeps the lease",
		Old: "\tdefer cancel()\n\tgoroutines.Go(func() { l.watchHosts", New: "\t_ = cancel\n\tgoroutines.Go(func() { l.watchHosts"},
	{Name: "list-older", MultiProcessArgs: listLagging, File: "internal/fleet/endpointlist/cache.go", Defect: "an endpoint list is accepted although its version is older",
		Old: "case update.Version <= c.Version && c.Version > 0:", New: "case update.Version == c.Version && c.Version > 0:"},
	{Name: "list-floor-stays", File: "internal/fleet/endpointlist/cache.go", Defect: "a subscriber whose version lies between two snapshots keeps endpoints that were removed meanwhile",
		Old: "\t\tc.compactedVersion = update.Version\n", New: "\t\tif c.Version == 0 {\n\t\t\tc.compactedVersion = update.Version\n\t\t}\n"},
	{Name: "list-change-back-lost", File: "internal/fleet/endpointlist/cache.go", Defect: "an entry that changes and changes back within a delta is not sent to a host at the version in between",
		Old: "\t\told.changedVersion = version\n", New: ""},
	{Name: "list-never-alone", MultiProcessArgs: listIsolated, File: "internal/fleet/endpointlist/watcher.go", Defect: "a host without heartbeats from a lease holder does not watch discovery itself",
		Old: "w.fallback = true\n", New: "w.fallback = false\n"},
	{Name: "list-always-fresh", MultiProcessArgs: listPartitioned, File: "internal/fleet/endpointlist/watcher.go", Defect: "a stale cache is served as fresh",
		Old: "return w.initialized && w.Age(now) <= w.settings.StalenessLimit", New: "return w.initialized && w.Age(now) >= 0"},
	{Name: "list-kept-too-long", MultiProcessArgs: listLeaseReleased, File: "internal/fleet/endpointlist/watcher.go", Defect: "a lease holder without discovery keeps the lease until its list is stale",
		Old: "return now > failingSince+failureLimit || w.Age(now) > w.settings.StalenessLimit-releaseMargin", New: "return now > failingSince+failureLimit"},
	{Name: "list-age-untold", MultiProcessArgs: listPartitioned, File: "internal/fleet/endpointlist/watcher.go", Defect: "each host that relays the list applies the staleness limit anew",
		Old: "w.confirmedAt = max(w.confirmedAt, now-age)", New: "w.confirmedAt = max(w.confirmedAt, now+0*age)"},
	{Name: "near-older", File: "internal/sidecar/discovery/proxy.go", Defect: "a sidecar accepts an older list from its local proxy",
		Old: "if err == nil && list.Version < w.version {", New: "if err == nil && list.Version < 0 {"},
	{Name: "near-any-source", File: "internal/sidecar/discovery/proxy.go", Defect: "a sidecar accepts the list of another discovery from its local proxy",
		Old: "if err == nil && source != w.source {", New: "if err == nil && source == \"\" {"},

	// Distribution of configuration.
	{Name: "admission-off", MultiProcessArgs: scaleFaults, File: "internal/fleet/configuration/admission.go", Defect: "a relay sends any number of snapshots concurrently",
		Old: "len(a.slots) >= a.settings.Slots {\n\t\ta.expectedRetries.current++", New: "len(a.slots) >= MaxSubscribers {\n\t\ta.expectedRetries.current++"},
	{Name: "compare-and-set-off", MultiProcessArgs: scaleFaults, File: "internal/fleet/configuration/store.go", Defect: "two operators who change the same version both succeed",
		Old: "case resource != nil && change.IfVersion != nil && *change.IfVersion != resource.Version:", New: "case resource != nil && change.IfVersion != nil && resource.Version == 0:"},
	{Name: "late-answer-taken", File: "internal/fleet/configuration/cache.go", Defect: "a relay that lags answers a subscriber that is ahead of it, and the subscriber accepts the older version",
		Old: "\tif update.Version < c.version {\n", New: "\tif update.Version == 0 && c.version > 0 {\n",
		AdditionalEdits: []Edit{
			{File: "internal/fleet/configuration/cache.go", Old: "if u.From > u.Version || u.From != 0", New: "if u.From != 0"},
			{File: "internal/fleet/relay/feed.go", Old: "case w.poll.Version > cached:", New: "case cached == 0 && w.poll.Version > cached:"},
		}},

	// Server selection and health.
	{Name: "worse-of-two", File: "balance/pick.go", Defect: "the worse of two sampled servers is picked",
		Old: "b.expectedDelay(first, now) <= bias*b.expectedDelay(second, now)", New: "b.expectedDelay(first, now) > bias*b.expectedDelay(second, now)"},
	{Name: "one-sample", File: "balance/pick.go", Defect: "only one server is sampled instead of two",
		Old: "if second == nil || b.expectedDelay", New: "if second != first || b.expectedDelay"},
	{Name: "hangs-hidden", File: "balance/pick.go", Defect: "the duration of an unanswered attempt does not count as latency",
		Old: "ratio = max(ratio, float64(now-a.sentAt)/a.expectedLatency)", New: "ratio = max(ratio, 0*float64(now-a.sentAt)/a.expectedLatency)"},
	{Name: "no-ejection", File: "balance/outlier.go", Defect: "no server is ever ejected",
		Old: "if failures < threshold || probability > ejectionProbability", New: "if failures >= 0 || probability > ejectionProbability"},
	{Name: "all-ejected", File: "balance/outlier.go", Defect: "all servers may be ejected at the same time",
		Old: "> maxEjectedShare*float64(len(b.ready))", New: "> 2*float64(len(b.ready))"},
	{Name: "no-trial", File: "balance/attempt.go", Defect: "all traffic returns to a server at once after its ejection",
		Old: "target.trialInFlight = target.ejections > 0", New: "target.trialInFlight = false"},
	{Name: "cold-tenfold", File: "balance/slowstart.go", Defect: "cold servers get ten times their share of the load",
		Old: "warmUpMargin      = 0.5 ", New: "warmUpMargin      = 5.0 "},
	{Name: "drain-of-keys", File: "balance/pick.go", Defect: "a draining server still gets requests with its keys",
		Old: "if s.State != Ready || s.ejectedUntil > now", New: "if s.State == Removed || s.ejectedUntil > now"},
	{Name: "left-out-stays", File: "balance/endpoints.go", Defect: "a server that a full list omits stays in use",
		Old: "if s.generation != b.listGeneration {", New: "if s.generation > b.listGeneration {"},
	{Name: "old-life", File: "balance/endpoints.go", Defect: "health data of a server is kept after its restart",
		Old: "} else if entry.StartTime > known.StartTime {\n\t\tknown.latencyRatio, known.samples, known.ejectionState, known.idleSince = 0, 0, ejectionState{}, nil\n\t}", New: "}",
		UndetectedReason: "a restarted server stays ejected for a few seconds or is estimated as too slow; this is within the noise and violates no rule"},
	{Name: "no-shedding", File: "balance/request.go", Defect: "no load is shed during an overload",
		Old: "if b.shed(r) {", New: "if b.shed(r) && b.weightSum < 0 {"},
	{Name: "no-advice", File: "balance/request.go", Defect: "a rejection carries no advice when to retry",
		Old: "if kind == Reject && b.shedShare > 0 {", New: "if kind == Reject && b.shedShare > 1 {"},
	{Name: "no-hand-back", File: "balance/timers.go", Defect: "requests are left unanswered at shutdown",
		Old: "(b.timers[0].due <= now || token == Shutdown)", New: "b.timers[0].due <= now"},
	{Name: "cancels-forgotten", File: "balance/request.go", Defect: "attempts that are no longer needed are not cancelled",
		Old: "if a.number != except && !a.finished && b.settings.CanCancel {", New: "if a.number > except && a.finished && b.settings.CanCancel {"},

	// Faults that are harmless in one instance and harmful in a fleet of hundreds.
	{Name: "connections-unseen", File: "balance/connections.go", Defect: "a request with a key goes to the primary server of the key and ignores idle connections",
		Old: "return len(s.idleSince) > 0 && now", New: "return len(s.idleSince) > 1<<20 && now"},
	{Name: "any-connection", File: "balance/ring.go", Defect: "any server with an idle connection may get any key",
		Old: "max(2, int(keyCandidateShare*float64(len(b.ready))))", New: "len(b.ready)"},
	{Name: "connections-for-ever", File: "balance/connections.go", Defect: "an idle connection still counts after the server has closed it",
		Old: "< b.settings.IdleTimeout", New: "< 100*b.settings.IdleTimeout"},
	{Name: "connections-after-letting-go", File: "balance/connections.go", Defect: "connections that were closed to free capacity still count as idle",
		Old: "\t\toldest.idleSince = nil\n", New: ""},
	{Name: "lets-go-of-nothing", File: "balance/connections.go", Defect: "expired connections are selected for closing in place of open ones",
		Old: "n := len(s.idleSince); b.hasIdleConnection(s, now) &&", New: "n := len(s.idleSince); n > 0 &&"},
	{Name: "subscribe-at-once", File: "balance/subscribe.go", Defect: "neither first subscriptions nor retries after a failure are spread out",
		Old: "subscribeJitter = 2 * time.Second", New: "subscribeJitter = 2 * time.Millisecond"},
	{Name: "move-in-step", File: "internal/sidecar/backoff/backoff.go", Defect: "failed calls after a change of the discovery address are retried without jitter",
		Old: "return mean/2 + time.Duration(rng.Int64N(int64(mean)))", New: "return mean/2 + 0*time.Duration(rng.Int64N(int64(mean)))"},
	{Name: "move-in-a-hurry", File: "internal/sidecar/backoff/backoff.go", Defect: "failed calls after a change of the discovery address are retried almost at once",
		Old: "InitialDelay = 300 * time.Millisecond", New: "InitialDelay = 3 * time.Millisecond"},
	{Name: "ration-undivided", File: "balance/slowstart.go", Defect: "the load share of a cold server is not divided by the number of balancers",
		Old: "warmLoad = b.servedByWarm * min(maxReadyPerWarm, n/warm)", New: "warmLoad = b.servedByWarm * maxReadyPerWarm * warm"},
	{Name: "all-cold-unmeasured", File: "balance/slowstart.go", Defect: "without warm servers the load of cold servers is not limited to the share of one server",
		Old: "warmLoad = b.previousWarmLoad * min(1, n/b.previousWarmCount)", New: "warmLoad = b.previousWarmLoad"},
	{Name: "all-cold-again", File: "balance/slowstart.go", Defect: "without warm servers retries go to cold servers as well",
		Old: "} else if !r.IsRetry {", New: "} else {"},
	{Name: "requests-kept", File: "balance/request.go", Defect: "answered requests are never removed",
		Old: "\tif r.inFlight == 0 {\n\t\tdelete(b.requests, r.ID)\n\t}\n", New: ""},

	// The sidecar's HTTP server, HTTP upstreams and dispatcher.
	{Name: "whole-at-once", File: "internal/sidecar/httpupstream/attempt.go", Defect: "the last byte of a request is not held back",
		Old: "lastByteDelay = time.Millisecond", New: "lastByteDelay = 0 * time.Millisecond"},
	{Name: "polite-close", File: "internal/sidecar/httpupstream/pool.go", Defect: "data of an abandoned attempt is still delivered when a partitioned link recovers",
		Old: "\t\t_ = tcp.SetLinger(0) // fails only on a closed connection\n", New: ""},
	{Name: "reset-never-ran", File: "internal/sidecar/httpupstream/response.go", Defect: "a reset after the last byte counts as one before it",
		Old: "\tcase err != nil:\n\t\treturn balance.Reset\n", New: "\tcase err != nil:\n\t\treturn balance.PartialWrite\n"},
	{Name: "spoilt-served", File: "internal/sidecar/httpupstream/response.go", Defect: "a malformed response is served",
		Old: "\tcase errors.As(err, &malformed):\n\t\treturn balance.Error\n", New: "\tcase errors.As(err, &malformed):\n\t\treturn balance.OK\n"},
	{Name: "any-503", File: "internal/sidecar/httpupstream/response.go", Defect: "any 503 response counts as proof that the request was not executed",
		Old: `if string(response.Header.Peek(notRunHeader)) == "1" {`, New: `if string(response.Header.Peek(notRunHeader)) != "no" {`},
	{Name: "no-stall", File: "internal/sidecar/httpupstream/attempt.go", Defect: "a response that stalls is awaited without a time limit",
		Old: "stallTimeout = 300 * time.Millisecond", New: "stallTimeout = 300 * time.Second"},
	{Name: "kept-for-ever", File: "internal/sidecar/httpupstream/pool.go", Defect: "connections are used after their upstream has closed them",
		Old: "max(settings.IdleTimeout-idleMargin, settings.IdleTimeout/2)", New: "100 * settings.IdleTimeout"},
	{Name: "own-want-blamed", File: "internal/sidecar/httpupstream/attempt.go", Defect: "a dial that fails for lack of a descriptor ejects the server",
		Old: "\tif dispatch.IsLocalFault(err) {\n", New: "\tif dispatch.IsLocalFault(err) && a == nil {\n"},
	{Name: "unsent-is-tried", File: "balance/pick.go", Defect: "a server to which the request was never sent is not picked again, and the request waits until its deadline",
		Old: "a.status != AtCapacity && a.status != NeverSent }", New: "a.status != AtCapacity }"},
	{Name: "list-of-conns-stays", File: "internal/sidecar/httpupstream/pool.go", Defect: "connections to a server whose address changed are kept",
		Old: "u.retired = true", New: "u.retired = false"},
	{Name: "hang-unseen", File: "internal/sidecar/dispatch/attempt.go", Defect: "an attempt that times out does not count against its server",
		Old: "\tcase a.committed:\n\t\treturn balance.Timeout\n", New: "\tcase a.committed:\n\t\treturn balance.NeverSent\n"},
	{Name: "ids-forgotten", File: "internal/sidecar/dispatch/recentids.go", Defect: "a request that is sent again under its request ID is executed again",
		Old: "if s.hashes[hash] {\n\t\treturn false", New: "if s.hashes[hash] {\n\t\treturn true"},
	{Name: "left-unheard", File: "internal/sidecar/dispatch/request.go", Defect: "work continues for disconnected clients",
		Old: "\tif !request.answered {\n\t\trequest.answered = true\n\t\td.perform(d.balancer.Disconnected", New: "\tif !request.answered && request.ID == \"\" {\n\t\trequest.answered = true\n\t\td.perform(d.balancer.Disconnected"},
	{Name: "late-repeat", File: "internal/sidecar/dispatch/attempt.go", Defect: "a request with a key is sent to its deduplication scope after the deduplication window",
		Old: "now := dispatcher.now(); now >= a.sendDeadline {", New: "now := dispatcher.now(); now >= a.sendDeadline+time.Hour {"},
	{Name: "begins-for-nobody", File: "internal/sidecar/dispatch/request.go", Defect: "without cancellation an attempt starts for a disconnected client",
		Old: "if !attempt.ended && !attempt.committed {", New: "if !attempt.ended && !attempt.committed && attempt.number < 0 {"},
	{Name: "late-to-a-drain", File: "internal/sidecar/dispatch/endpoints.go", Defect: "a connection that is established late carries a request to a draining server",
		Old: "\td.abandonUnattached(dropped)\n", New: ""},
	{Name: "leave-behind-bytes", File: "internal/sidecar/httpserver/connection.go", Defect: "unread bytes hide that the client has disconnected",
		Old: "hungUp := err == nil && n > 0 && polled[0].Revents", New: "hungUp := err == nil && n > 9 && polled[0].Revents"},
	{Name: "watch-ends-early", File: "internal/sidecar/httpserver/connection.go", Defect: "a drain that coincides with the last byte of a request ends the watch for a client disconnect",
		Old: "\t\tc.clearReadDeadline()\n\t\tselect {\n\t\tcase <-done:\n\t\t\treturn false\n\t\tdefault:\n\t\t}\n", New: "\t\t<-done\n\t\treturn false\n"},
	{Name: "close-over-bytes", File: "internal/sidecar/httpserver/connection.go", Defect: "closing a connection with unread bytes resets the response in transit",
		Old: "if responseInTransit && !c.peerClosed", New: "if responseInTransit && c.peerClosed"},
	{Name: "lingers-for-ever", File: "internal/sidecar/httpserver/connection.go", Defect: "clients that never close their side keep closed connections open",
		Old: "\t_ = c.SetReadDeadline(time.Now().Add(c.server.LingerTimeout))\n", New: ""},
	{Name: "drain-taken-back", File: "internal/sidecar/dispatch/endpoints.go", Defect: "a list that lags reverts a drain",
		Old: "\t\td.applyDrains(list, generation)\n", New: ""},
	{Name: "two-lengths", File: "internal/sidecar/httpserver/validate.go", Defect: "a request can smuggle another request in its body",
		Old: "return contentLengths+transferCodings <= 1 &&", New: "return contentLengths+transferCodings <= 9 &&"},
	{Name: "drain-in-a-hurry", MultiProcessArgs: rollingRestarts, File: "internal/sidecar/drain.go", Defect: "a drain does not wait for open requests",
		Old: "\ts.awaitDrained(deadline, nil)\n\ts.closeCoAP()\n", New: "\t_ = deadline\n\ts.httpServer.CloseAll()\n\ts.closeCoAP()\n"},
	{Name: "drain-unbounded", File: "internal/sidecar/drain.go", Defect: "a drain has no time limit",
		Old: "if !timedOut && !now.Before(deadline) {", New: "if !timedOut && now.Before(time.Unix(0, 0)) {"},
	{Name: "resume-deaf", File: "internal/sidecar/drain.go", Defect: "the old process does not accept connections again after a failed handover",
		Old: "\ts.setCoAPDraining(false)\n\ts.httpServer.Resume()\n\treturn false", New: "\ts.setCoAPDraining(false)\n\treturn false"},

	// Discovery.
	{Name: "older-change", File: "internal/sidecar/discovery/watcher.go", Defect: "a change with an older version is accepted",
		Old: "} else if list.Version < w.version {", New: "} else if list.Version < 0 {"},
	{Name: "silence-endless", File: "internal/sidecar/discovery/connection.go", Defect: "a call to an unresponsive discovery does not time out",
		Old: "conn.setCallDeadline(time.Now().Add(wait))", New: "conn.setCallDeadline(time.Now().Add(100 * wait))"},
	{Name: "version-zero", File: "internal/sidecar/discovery/connection.go", Defect: "a list of version 0 is requested in a busy loop",
		Old: "if w.version > noVersion {", New: "if w.version > 0 {"},
	{Name: "no-rest", File: "internal/sidecar/discovery/watcher.go", Defect: "a discovery agent that answers watches at once without a change is called in a busy loop",
		Old: "if !changed && time.Since", New: "if !changed && len(list.Endpoints) == 0 && time.Since"},
	{Name: "pushed-watch-long", File: "internal/sidecar/discovery/watcher.go", Defect: "an unresponsive watch of pushed lists is abandoned long after missed changes count as delivered",
		Old: "pushedWatchTimeout = 2 * time.Second", New: "pushedWatchTimeout = 20 * time.Second"},
	{Name: "busy-relay-left", File: "internal/fleet/configuration/subscriber.go", Defect: "a subscriber leaves the only usable relay because it is busy",
		Old: "if s.failedRelays == s.settings.Relays-1 {", New: "if s.failedRelays > s.settings.Relays {"},
	{Name: "first-watch-long", File: "internal/sidecar/backoff/watch.go", Defect: "a first watch that becomes unresponsive hides changes for 20 s",
		Old: "MinWatchTimeout = 4 * time.Second", New: "MinWatchTimeout = 20 * time.Second"},
	{Name: "silent-watch-waits", File: "internal/sidecar/discovery/watcher.go", Defect: "the call after an unresponsive watch waits until the module requests it",
		Old: "unresponsive := attempts == 0 &&", New: "unresponsive := attempts < 0 &&"},
	{Name: "crossing-dropped", File: "internal/sidecar/discovery/leave.go", Defect: "a change that arrives during a change of the discovery address is lost",
		Old: "c.conn.capDeadline(time.Now().Add(w.detachTimeout))", New: "c.conn.capDeadline(dispatch.PastDeadline)"},
	{Name: "former-address-dropped", File: "internal/sidecar/dispatch/lateendpoints.go", Defect: "a drain that the former address reports after the first list of the new address is lost",
		Old: "changed = d.recordDrains(withOmittedAsRemoved(list, previous))", New: "changed = false"},
	{Name: "handover-drains-dropped", File: "internal/sidecar/handover.go", Defect: "a drain that does not change the version of the predecessor's list is lost",
		Old: "if list.Version >= version {", New: "if list.Version > version {"},
	{Name: "half-an-answer-waits", File: "internal/sidecar/discovery/connection.go", Defect: "a response that stalls halfway is awaited as long as a watch",
		Old: "c.setBodyDeadline(time.Now().Add(bodyTimeout))", New: "c.setBodyDeadline(time.Now().Add(bodyTimeout + time.Minute))"},
	{Name: "deaf-after-a-break", File: "balance/subscribe.go", Defect: "a watch that breaks while a call is due ends the subscription for good",
		Old: "b.subscribed = false // also", New: "b.subscribed = b.subscribed && b.nextSubscribe > now // also"},
	{Name: "asks-late", File: "balance/subscribe.go", Defect: "the call after a failed one comes long after missed changes count as delivered",
		Old: "wait += subscribeJitter / 2", New: "wait += 4 * subscribeJitter"},
	{Name: "half-a-list", File: "internal/sidecar/discovery/wire.go", Defect: "a malformed entry is skipped, and its server is dropped",
		Old: "\t\t\treturn dispatch.EndpointList{}, fmt.Errorf(\"endpoint %d: %w\", i, err)\n", New: "\t\t\t_ = i\n\t\t\tcontinue\n"},
	{Name: "move-unnoticed", File: "internal/sidecar/discovery/watcher.go", Defect: "the version from the old address remains in use after a change of the discovery address",
		Old: "w.watchedGeneration, attempts, w.version = generation, backoff.MaxAttempts, noVersion", New: "w.watchedGeneration, attempts = generation, backoff.MaxAttempts"},

	// Records of draining servers.
	{Name: "earlier-life", File: "internal/sidecar/discovery/drain/tracker.go", Defect: "an earlier incarnation of a draining server returns to use",
		Old: "\tcase server.StartedMillis < known.startedMillis:\n\t\tserver.State = known.state", New: "\tcase server.StartedMillis < known.startedMillis:\n\t\tserver.State = Active"},
	{Name: "drain-undone", File: "internal/sidecar/discovery/drain/tracker.go", Defect: "any later list reverts a drain",
		Old: "return !snapshot && version > t.firstVersion", New: "return true"},
	{Name: "drain-short", File: "internal/sidecar/discovery/drain/tracker.go", Defect: "drains are forgotten as soon as the discovery address changes",
		Old: "\t\tr.expiresAt = now + Retention\n\t\tt.records[name] = r\n\t}\n}\n\n// Apply records", New: "\t\tr.expiresAt = now + 1\n\t\tt.records[name] = r\n\t}\n}\n\n// Apply records"},

	// Handover and supervisor.
	{Name: "two-takers", File: "internal/sidecar/handover/offer.go", Defect: "two processes may take over a listener at the same time",
		Old: "\t\tif busy {\n", New: "\t\tif busy && o.source == nil {\n"},
	{Name: "early-yours", File: "internal/sidecar/handover/offer.go", Defect: "the old process retires before the new one has confirmed",
		Old: `{lineReady, lineYours, "handover-let"}, {lineTaken, lineAgreed, "handover-agreed"}`, New: `{lineReady, lineYours, "handover-let"}`},
	{Name: "any-user", File: "internal/sidecar/handover/descriptors.go", Defect: "a process of another user may take over the listener",
		Old: "if int(credentials.Uid) != os.Getuid() {", New: "if int(credentials.Uid) < 0 {",
		UndetectedReason: "a test would need a second user, but CI runs as a single user"},
	{Name: "crowded-starts", File: "internal/fleet/lifecycle/instance.go", Defect: "all instances start at once",
		Old: "if c.started && now < c.lastStart+c.config.StartInterval {", New: "if c.started && now < c.lastStart {"},
	{Name: "never-killed", File: "internal/fleet/lifecycle/instance.go", Defect: "a process that does not exit is not killed",
		Old: "\t\t\tc.addAction(Action{Kind: KillProcess, Instance: i, Process: process.id})\n", New: ""},
	{Name: "roll-of-all", MultiProcessArgs: rollingRestarts, File: "internal/fleet/lifecycle/update.go", Defect: "a rolling restart restarts all instances at the same time",
		Old: "len(update.active) < c.config.MaxConcurrent {", New: "len(update.active) < 1000 {"},
	{Name: "roll-on", File: "internal/fleet/lifecycle/update.go", Defect: "a rolling restart continues although no instance becomes ready",
		Old: "update.consecutiveFailures < c.config.PauseAfterFailures {", New: "update.consecutiveFailures < 1000*c.config.PauseAfterFailures {"},

	// Simulator protocol.
	{Name: "wire-effect", File: "internal/simprotocol/settings.go", Defect: "non-idempotent classes are read as idempotent",
		Old: `"single_shot": balance.NonIdempotent`, New: `"single_shot": balance.Idempotent`},
	{Name: "group-guessed", File: "internal/simprotocol/validate.go", Defect: "a class with a key but without a deduplication scope counts as deduplicated by all servers",
		Old: "case group == nil:", New: "case group == nil && graceTime < 0:"},
	{Name: "wire-reset", File: "internal/simprotocol/events.go", Defect: "a reset is read as a partial write",
		Old: `"ABORTED": balance.Reset`, New: `"ABORTED": balance.PartialWrite`},
	{Name: "wire-state", File: "internal/simprotocol/events.go", Defect: "a server in an unknown state is used",
		Old: "state = balance.Draining\n", New: "state = balance.Ready\n"},

	// Packages that the programs share.
	{Name: "log-unbounded", File: "internal/logging/logging.go", Defect: "a persistent fault floods the log",
		Old: "if w.written >= l.options.Burst {", New: "if w.written < 0 {"},
	{Name: "causes-unbounded", File: "internal/logging/logging.go", Defect: "the table of logged causes grows without bound",
		Old: "\tif len(l.windows) >= maxKeys {\n\t\tkey = overflowKey\n\t}\n", New: ""},
	{Name: "open-socket", File: "internal/unixsocket/unixsocket.go", Defect: "every user may connect to a control socket",
		Old: "const socketMode = 0o600", New: "const socketMode = 0o666"},
	{Name: "mask-of-all", File: "internal/unixsocket/unixsocket.go", Defect: "files that are created while a socket is bound lose permission bits",
		Old: "\tlistener, err := config.Listen(", New: "\told := unix.Umask(0o177)\n\tdefer unix.Umask(old)\n\tlistener, err := config.Listen("},
	{Name: "tenants-alike", File: "balance/tenants.go", Defect: "a tenant above its quota displaces the other tenants",
		Old: "return own / quota * (1 - quota) / others / quotaSlack", New: "return min(1, own/quota*(1-quota)/others/quotaSlack)"},

	// CoAP.
	{Name: "echo-unasked", File: "internal/coap/server/history.go", Defect: "after a kill a repeated request that an earlier incarnation executed is executed again",
		Old: "return s.settings.RequireEcho || exec.freshEcho || now >= s.historyKnownAt", New: "return true"},
	{Name: "echo-for-ever", File: "internal/coap/server/history.go", Defect: "a client without the Echo option is never served after a kill",
		Old: "return s.settings.RequireEcho || exec.freshEcho || now >= s.historyKnownAt", New: "return s.settings.RequireEcho || exec.freshEcho || now >= 1000*s.historyKnownAt"},
	{Name: "rerun-for-the-rest", File: "internal/coap/server/request.go", Defect: "a non-idempotent request is executed again for the remaining blocks of its response",
		Old: "\t\tif exec.class.Idempotency != Idempotent {\n\t\t\t// The response", New: "\t\tif exec.class.Idempotency != Idempotent && b.Size == 0 {\n\t\t\t// The response"},
	{Name: "amplifier", File: "internal/coap/server/settings.go", Defect: "a request with a forged source address causes responses of up to thirty times its size",
		Old: "\tmaxAmplification = 3\n", New: "\tmaxAmplification = 30\n"},
	{Name: "amplifier-by-repeats", File: "internal/coap/exchange/server.go", Defect: "repeated responses to a forged source address do not count towards the amplification limit",
		Old: "\t\tif maxBytes > 0 {\n", New: "\t\tif maxBytes < 0 {\n"},
	{Name: "two-notes", File: "internal/coap/server/observe.go", Defect: "a notification is sent while another one awaits its acknowledgement",
		Old: "if obs.notification != 0 && s.exchanges.NotificationPending(obs.notification) {", New: "if obs.notification != 0 && !s.exchanges.NotificationPending(obs.notification) {"},
	{Name: "observed-by-anyone", File: "internal/coap/server/observe.go", Defect: "a forged source address can register another host for notifications",
		Old: "if !exec.freshEcho && !s.trusted(exec.peer) || len(", New: "if len("},
	{Name: "unsafe-forgotten", File: "internal/coap/exchange/serverexchange.go", Defect: "a non-idempotent exchange is evicted without a record although its request may be repeated",
		Old: "if exchange == nil || exchange.retransmitting || !s.completed.add(now, exchange.messageKey, s.expiry(exchange)) {", New: "if exchange == nil || exchange.retransmitting {"},
	{Name: "unsafe-resent", File: "internal/coap/client/attempt.go", Defect: "a non-idempotent request is sent again to a server that may have restarted",
		Old: "sendOnce := att.request.NonIdempotent && att.bodySent", New: "sendOnce := false && att.bodySent"},
	{Name: "echo-proves", File: "internal/coap/client/attempt.go", Defect: "a request for the Echo option counts as proof of no execution although the request carried one",
		Old: "case att.withEcho && att.bodySent:", New: "case att.withEcho && att.bodySent && att.challenged:"},
	{Name: "reset-proves", File: "internal/coap/client/attempt.go", Defect: "a Reset counts as proof of no execution, however often the request was sent",
		Old: "return failure.Reason == exchange.Rejected && failure.Transmissions <= 1 && !failure.Acknowledged", New: "return failure.Reason == exchange.Rejected"},
	{Name: "refusal-proves", File: "internal/coap/exchange/client.go", Defect: "the refusal of a datagram counts as proof that the requests before it were not executed",
		Old: "c.fail(now, exchange, PeerLost)", New: "c.fail(now, exchange, Unreachable)"},
	{Name: "refusal-of-one", File: "internal/coap/exchange/refusal.go", Defect: "the refusal of one of a request's datagrams counts as proof that the request was not executed",
		Old: "case refused.sent == 1:", New: "case refused.sent >= 1:"},
	{Name: "any-503-over-coap", File: "internal/coap/client/attempt.go", Defect: "any 5.03 response counts as proof that the request was not executed",
		Old: "return ok && (msg.Code", New: "return (ok || len(msg.Token) > 0) && (msg.Code"},
	{Name: "settled-forgets", File: "internal/coap/exchange/completed.go", Defect: "the request of an evicted non-idempotent exchange is executed again when it is repeated",
		Old: "target.hashes[hash] = struct{}{}\n", New: ""},
	{Name: "settled-early", File: "internal/coap/exchange/completed.go", Defect: "a generation of exchanges is dropped while their requests may still be repeated",
		Old: "target.end = max(target.end, (number+1)*c.span)", New: "target.end = max(target.end, until-2*c.span)"},
	{Name: "ids-again", File: "internal/coap/exchange/messageid.go", Defect: "a message ID is reused while its message may still be repeated",
		Old: "\t\tm.rangeLastUsed[m.last/idRangeSize] = max(now, 1)\n", New: ""},
	{Name: "heir-trusts", File: "internal/sidecar/coapserver/handover.go", Defect: "a successor without the exchange table assumes that no request was executed",
		Old: "\tif err != nil {\n\t\ts.protocol.InvalidateHistory(s.now())\n", New: "\tif err != nil {\n"},
	{Name: "open-elsewhere", File: "internal/coap/exchange/server.go", Defect: "a repeated request that the predecessor is still answering gets the response for a possibly executed request",
		Old: "if len(s.pendingAtPredecessor) > 0 && s.pendingAtPredecessor[s.completed.hash(key)] {", New: "if len(s.pendingAtPredecessor) > 1<<30 {"},
	{Name: "note-of-both", File: "internal/sidecar/coapserver/statefile.go", Defect: "a process overwrites the state file of a process that started after it",
		Old: "if string(text) != f.marker {", New: "if len(text) == 0 {"},
	{Name: "note-ahead", File: "internal/sidecar/coapserver/server.go", Defect: "a datagram is processed after the state file was written",
		Old: "\t\tif s.paused {\n", New: "\t\tif s.paused && n == 0 {\n",
		UndetectedReason: "only a few microseconds pass between closing the socket and writing the state file"},

	// Faults of the lab itself, and the handling of suspended processes and wrong clocks.
	{Name: "resends-after-a-kill", File: "internal/lab/invariant/requests.go", Defect: "a client sends a request that was in flight at a killed sidecar again under its request ID",
		Old: "\tresend = resend && !r.inFlightAtKill\n", New: ""},
	{Name: "own-clock-for-arrivals", File: "internal/lab/standin/stamp/stamp.go", Defect: "arrivals are stamped with the time at which they are read instead of the kernel's receive time",
		Old: "\tif d := time.Now().Round(0).Sub(r.at); d > 0 && d < maxAge {\n\t\treturn d\n\t}\n", New: ""},
	{Name: "never-stood-still", File: "internal/fleet/supervisor/supervisor.go", Defect: "a supervisor that was suspended counts its own suspension against its processes",
		Old: "\t\ts.lifecycle.ExtendDeadlines(suspended)\n", New: ""},
	{Name: "wakes-too-soon", File: "internal/lab/rig/disturb.go", Defect: "the rig resumes a process although another fault still suspends it",
		Old: "if h.suspensions[key]--; h.suspensions[key] == 0 {", New: "if h.suspensions[key]--; h.suspensions[key] >= 0 {"},
	{Name: "heals-for-others", File: "internal/lab/experiment/plan.go", Defect: "a partition that ends also heals the links that another partition cuts",
		Old: "\t\tdelete(t.linkCuts[pair], s.Fault)\n", New: "\t\tclear(t.linkCuts[pair])\n"},
	{Name: "never-silent", File: "internal/fleet/lifecycle/instance.go", Defect: "an instance that does not respond is not replaced",
		Old: "in.phase == Ready && len(in.processes) == 1 && in.processes[0].id == processID", New: "in.phase == Ready && len(in.processes) > 1 && in.processes[0].id == processID"},
	{Name: "starts-ahead", File: "internal/sidecar/dispatch/endpoints.go", Defect: "a start time in the future, caused by a wall clock that is behind, stays in the future",
		Old: "return min(max(0, started), d.now())", New: "return max(0, started)"},
	{Name: "starts-anew", File: "internal/sidecar/dispatch/endpoints.go", Defect: "the start time of a server moves with each list that contains it",
		Old: "\t\treturn server.startTime\n", New: "\t\treturn d.toBalancerClock(endpoint.StartedMillis)\n"},
	{Name: "host-up-too-soon", File: "internal/lab/rig/disturb.go", Defect: "the rig starts a host although another fault still keeps it down",
		Old: "if !down || h.faultActive(step.Process, fault.Kind) {", New: "if !down {"},
}
