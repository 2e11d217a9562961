// Package clients is a stand-in for the application beside a sidecar: requests
// of the site's classes at times drawn ahead from a seed, never slowed by the
// answers, over connections that it keeps, with its own retries and deadlines.
package clients

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"otterspring/internal/audit"
)

// Class is a class of requests as the clients see it.
type Class struct {
	Name     string
	Effect   audit.Effect
	Share    float64       // of the requests
	Aim      time.Duration // an answer after this earns nothing
	Deadline time.Duration // given up after this, over all tries
	Worth    float64
}

// Surge multiplies the rate for a while.
type Surge struct {
	At, For time.Duration
	Times   float64
}

// Shape is how requests come.
type Shape struct {
	Rate   float64 // a second, outside surges
	For    time.Duration
	Surges []Surge
	Keys   int     // distinct keys; 0 for none
	Skew   float64 // exponent of their popularity
}

// Arrival is one request to come.
type Arrival struct {
	At    time.Duration // from the start of the run
	Class int
	Key   string
}

// MostArrivals bounds a plan.
const MostArrivals = 5_000_000

// Draw draws all arrivals of a run from a seed: a Poisson stream whose rate
// follows the surges. The same seed gives the same plan.
func Draw(s Shape, classes []Class, seed uint64) ([]Arrival, error) {
	switch {
	case !(s.Rate >= 0) || s.For < 0:
		return nil, fmt.Errorf("clients: rate %v for %v: wanted none below 0", s.Rate, s.For)
	case len(classes) == 0:
		return nil, fmt.Errorf("clients: no class")
	case s.Rate*s.For.Seconds()*s.mostTimes() > MostArrivals:
		return nil, fmt.Errorf("clients: rate %v for %v: wanted %d requests at most", s.Rate, s.For, MostArrivals)
	}
	rng := rand.New(rand.NewPCG(seed, 0x636c69656e7473))
	keys := popularity(s.Keys, s.Skew)
	total := 0.0
	for _, c := range classes {
		total += c.Share
	}
	var plan []Arrival
	// Thinning: drawn at the highest rate, kept with the share of the present.
	peak := s.Rate * s.mostTimes()
	for at := 0.0; peak > 0; {
		at += rng.ExpFloat64() / peak
		t := time.Duration(at * float64(time.Second))
		if t >= s.For {
			break
		}
		if rng.Float64()*peak >= s.Rate*s.times(t) {
			continue
		}
		a := Arrival{At: t}
		for x := rng.Float64() * total; a.Class < len(classes)-1 && x >= classes[a.Class].Share; a.Class++ {
			x -= classes[a.Class].Share
		}
		if len(keys) > 0 {
			n, _ := slices.BinarySearchFunc(keys, rng.Float64()*keys[len(keys)-1], func(a, b float64) int { return cmp.Compare(a, b) })
			a.Key = fmt.Sprintf("k%d", min(n, len(keys)-1))
		}
		plan = append(plan, a)
	}
	return plan, nil
}

// times is by how much the surges multiply the rate at t.
func (s *Shape) times(t time.Duration) float64 {
	m := 1.0
	for _, g := range s.Surges {
		if t >= g.At && t < g.At+g.For {
			m *= g.Times
		}
	}
	return m
}

// mostTimes bounds times.
func (s *Shape) mostTimes() float64 {
	m := 1.0
	for _, g := range s.Surges {
		m *= max(1, g.Times)
	}
	return m
}

// popularity is the running sum of the keys' weights.
func popularity(n int, skew float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -skew)
		sums[i] = sum
	}
	return sums
}
