// Package clients simulates the application beside a sidecar. It sends requests of the site's
// classes over persistent connections, with its own retries and deadlines. The arrival times
// of the requests are drawn in advance from a seed. The workload is therefore open: slow
// answers don't slow down the arrivals.
package clients

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"otterspring/internal/lab/invariant"
)

// Class is a class of requests as the clients see it.
type Class struct {
	Name                string
	Effect              invariant.Effect
	Share               float64       // share of the requests
	LatencyObjective    time.Duration // answers with a higher latency earn no weight in the service level
	Deadline            time.Duration // for all attempts of a request together
	PriorityWeight      float64
	MaxAttempts         int     // maximum number of attempts, including the first; 0 uses Config.Retries
	AttemptTimeoutShare float64 // time-out of an attempt as a share of Deadline; 0 uses Config.AttemptTimeoutShare
}

// RetryPolicy returns the class's number of retries and the share of the deadline for one
// attempt. The arguments are the values for a class that does not set its own.
func (c *Class) RetryPolicy(retries int, share float64) (int, float64) {
	if c.MaxAttempts > 0 {
		retries = c.MaxAttempts - 1
	}
	if c.AttemptTimeoutShare > 0 {
		share = c.AttemptTimeoutShare
	}
	return retries, share
}

// Tenant is a customer of the application.
type Tenant struct {
	Name  string
	Share float64 // share of the requests
	Quota float64 // agreed requests per second, relative to other tenants
}

// Surge multiplies a request rate for a while. It applies to the whole rate, or to the rate of
// one class or tenant.
type Surge struct {
	At, Duration time.Duration
	Factor       float64
	Class        int // index into the classes, from 1; 0 for all
	Tenant       int // index into the tenants, from 1; 0 for all
}

// Workload describes the arrivals of requests.
type Workload struct {
	Rate     float64 // requests per second outside surges
	Duration time.Duration
	Surges   []Surge
	// Tenants are the tenants that share the requests. If there are none, requests have no
	// tenant.
	Tenants []Tenant
	Keys    int     // number of distinct affinity keys; 0 for none
	Skew    float64 // exponent of the keys' Zipf distribution
}

// Arrival is one planned request.
type Arrival struct {
	At     time.Duration // offset from the start of the run
	Class  int
	Tenant int // index into the tenants, from 1; 0 for none
	Key    string
}

// MaxArrivals limits the arrivals of a plan.
const MaxArrivals = 5_000_000

// Draw returns the arrivals of a run: a Poisson process whose rate follows the surges. The
// same seed gives the same plan.
func Draw(s Workload, classes []Class, seed uint64) ([]Arrival, error) {
	switch {
	case !(s.Rate >= 0) || s.Duration < 0:
		return nil, fmt.Errorf("clients: rate %v for %v: wanted none below 0", s.Rate, s.Duration)
	case len(classes) == 0:
		return nil, fmt.Errorf("clients: no class")
	case s.Rate*s.Duration.Seconds()*s.maxFactor() > MaxArrivals:
		return nil, fmt.Errorf("clients: rate %v for %v: wanted %d requests at most", s.Rate, s.Duration, MaxArrivals)
	}
	rng := rand.New(rand.NewPCG(seed, 0x636c69656e7473))
	keys := cumulativeWeights(s.Keys, s.Skew)
	by := newMix(&s, classes)
	var plan []Arrival
	// Thinning: draw at the peak rate and keep each arrival with probability rate/peak.
	peak := s.Rate * s.maxFactor()
	for at := 0.0; peak > 0; {
		at += rng.ExpFloat64() / peak
		t := time.Duration(at * float64(time.Second))
		if t >= s.Duration {
			break
		}
		class, tenant, all := by.at(t)
		if rng.Float64()*peak >= s.Rate*s.factorAt(t)*all {
			continue
		}
		a := Arrival{At: t, Class: pick(class, rng)}
		if len(tenant) > 0 {
			a.Tenant = 1 + pick(tenant, rng)
		}
		if len(keys) > 0 {
			n, _ := slices.BinarySearchFunc(keys, rng.Float64()*keys[len(keys)-1], func(a, b float64) int { return cmp.Compare(a, b) })
			a.Key = fmt.Sprintf("k%d", min(n, len(keys)-1))
		}
		plan = append(plan, a)
	}
	return plan, nil
}

// mix computes the shares of classes and tenants over time.
type mix struct {
	workload                    *Workload
	class, tenant               []float64 // shares outside surges
	currentClass, currentTenant []float64 // shares returned by the latest call of the method at
}

func newMix(s *Workload, classes []Class) *mix {
	m := &mix{workload: s}
	for _, c := range classes {
		m.class = append(m.class, c.Share)
	}
	for _, t := range s.Tenants {
		m.tenant = append(m.tenant, t.Share)
	}
	m.currentClass, m.currentTenant = make([]float64, len(m.class)), make([]float64, len(m.tenant))
	return m
}

// at returns the shares at the time t, and the factor by which surges of single classes and
// tenants change the total rate. The slices are valid until the next call.
func (m *mix) at(t time.Duration) (class, tenant []float64, all float64) {
	copy(m.currentClass, m.class)
	copy(m.currentTenant, m.tenant)
	for _, g := range m.workload.Surges {
		if t < g.At || t >= g.At+g.Duration {
			continue
		}
		if g.Class > 0 {
			m.currentClass[g.Class-1] *= g.Factor
		}
		if g.Tenant > 0 {
			m.currentTenant[g.Tenant-1] *= g.Factor
		}
	}
	all = sum(m.currentClass) / sum(m.class)
	if len(m.tenant) > 0 {
		all *= sum(m.currentTenant) / sum(m.tenant)
	}
	return m.currentClass, m.currentTenant, all
}

func sum(v []float64) float64 {
	s := 0.0
	for _, x := range v {
		s += x
	}
	return s
}

// pick returns a random index with probability proportional to its weight.
func pick(weights []float64, rng *rand.Rand) int {
	i := 0
	for x := rng.Float64() * sum(weights); i < len(weights)-1 && x >= weights[i]; i++ {
		x -= weights[i]
	}
	return i
}

// factorAt returns the factor by which surges of the whole rate multiply it at t.
func (s *Workload) factorAt(t time.Duration) float64 {
	m := 1.0
	for _, g := range s.Surges {
		if g.Class == 0 && g.Tenant == 0 && t >= g.At && t < g.At+g.Duration {
			m *= g.Factor
		}
	}
	return m
}

// maxFactor returns an upper bound of factorAt multiplied by the factor of mix.at.
func (s *Workload) maxFactor() float64 {
	m := 1.0
	for _, g := range s.Surges {
		m *= max(1, g.Factor)
	}
	return m
}

// cumulativeWeights returns the cumulative Zipf weights of n keys.
func cumulativeWeights(n int, skew float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -skew)
		sums[i] = sum
	}
	return sums
}
