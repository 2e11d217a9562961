package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer makes the decisions for one client process. It is not safe for concurrent use, and the times passed to
// it must not decrease.
//
// Each event method appends the resulting actions to the slice acts and returns the extended slice.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	actions  []Action // result of the event being handled

	classIndex     map[string]int // index in settings.Classes, by class name
	classEstimates []classEstimate
	weightSum      float64 // sum of the priority weights of all classes
	requests       map[string]*request

	// Timers.
	timers   []timer       // earliest first
	armedFor time.Duration // due time of the caller's earliest timer, 0 if none is armed

	// Endpoints.
	serversByID    map[string]*server
	servers        []*server
	ready          []*server // servers whose state is Ready, sorted by sortKey
	shuffleSeed    uint64    // determines the sort keys, so that the order of ready differs between balancers
	listGeneration uint64
	ring           ring
	subscribed     bool
	nextSubscribe  time.Duration // clock time of the next scheduled subscription

	// Outliers.
	ejected          []*server
	baselineFailures [statusCount]float64 // recent failures per success at healthy servers, by status

	// Admission.
	budget       retryBudget
	shedShare    float64 // share of requests to shed, derived from the recent share of late responses
	servedShare  float64 // share of recent requests that were served
	tenantIndex  map[string]int
	tenantShares []float64 // share of each tenant in the recent requests of this balancer
	quotaSum     float64

	// Slow start.
	servedByWarm      float64       // share of recent requests that were served by warm servers
	previousWarmLoad  float64       // load of a warm server relative to an even share, when a server was last warm
	previousWarmCount float64       // number of warm servers when previousWarmLoad was recorded
	warmCount         int           // number of warm servers at the latest count
	nextWarmCount     time.Duration // clock time from which the warm servers are counted again
	sampledWarmCount  int           // number of warm servers within the subset (see subsetSize)
	machineKinds      map[string]*machineKind
}

// New returns a Balancer with an empty endpoint list. Its random decisions are determined by seed. The error names
// the first invalid setting.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:       set,
		rng:            rand.New(rand.NewPCG(seed, mixBits(seed))),
		classIndex:     map[string]int{},
		classEstimates: make([]classEstimate, len(set.Classes)+1),
		requests:       map[string]*request{},
		serversByID:    map[string]*server{},
		tenantIndex:    map[string]int{},
		machineKinds:   map[string]*machineKind{},
		servedByWarm:   1, previousWarmLoad: 1, previousWarmCount: 1,
		servedShare: 1,
		shuffleSeed: mixBits(seed + 1),
	}
	b.setClasses(set.Classes)
	b.setTenants(set.Tenants)
	return b, nil
}

// setClasses stores the classes in a new slice, since requests in progress hold pointers into the previous one. The
// last entry is used for requests of an unknown class, which are handled as non-idempotent.
func (b *Balancer) setClasses(classes []Class) {
	b.settings.Classes = append(slices.Clone(classes), Class{Idempotency: NonIdempotent, LatePriorityWeight: 1})
	b.weightSum = 0
	for i, c := range classes {
		b.classIndex[c.Name] = i
		b.weightSum += c.PriorityWeight
	}
}

// Reconfigure replaces the tenants and the LatencyObjective, PriorityWeight and LatePriorityWeight of the classes;
// all other fields of the classes must be unchanged. Requests in progress keep the class settings they started
// with. On error nothing is changed.
func (b *Balancer) Reconfigure(classes []Class, tenants []Tenant) error {
	same := slices.EqualFunc(b.settings.Classes[:len(b.settings.Classes)-1], classes, func(old, c Class) bool {
		old.LatencyObjective, old.PriorityWeight, old.LatePriorityWeight = c.LatencyObjective, c.PriorityWeight, c.LatePriorityWeight
		return old == c && c.LatencyObjective >= 0
	})
	if !same {
		return errors.New("balance: Classes: only LatencyObjective (not negative), PriorityWeight and LatePriorityWeight may change")
	}
	b.setClasses(classes)
	if !slices.Equal(tenants, b.settings.Tenants) {
		b.setTenants(tenants)
	}
	return nil
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// Retained returns the number of stored entries. A caller can monitor the memory use with this number.
func (b *Balancer) Retained() int {
	return len(b.requests) + len(b.timers) + len(b.servers) + len(b.ring.points) + len(b.budget.firsts) + len(b.budget.retries)
}
