package clients

import (
	"slices"
	"time"
)

// ClassService is the service level of one class.
type ClassService struct {
	Name          string
	Asked, InTime int
	P50, P99      time.Duration // latency of served requests
}

// Service is the service level of a run: the priority weight of requests answered within their
// latency objective, relative to that of all requests.
type Service struct {
	Asked, Earned    float64 // sums of priority weights
	WorstWindowShare float64 // lowest share of the weight earned in any window of 10 s
	Classes          []ClassService
}

// Share returns the earned share of the whole run.
func (s *Service) Share() float64 {
	if s.Asked == 0 {
		return 1
	}
	return s.Earned / s.Asked
}

// Score returns the weighted score of the site's definition: 55 % for the whole run, 35 % for
// the worst 10 s and 10 % for the worst class.
func (s *Service) Score() float64 {
	worst := 1.0
	for _, c := range s.Classes {
		if c.Asked > 0 {
			worst = min(worst, float64(c.InTime)/float64(c.Asked))
		}
	}
	return 0.55*s.Share() + 0.35*s.WorstWindowShare + 0.10*worst
}

// Summarize computes the service level of samples. The retries of a request count with its
// first attempt.
func Summarize(classes []Class, samples []Sample) Service {
	var s Service
	const step = time.Second
	type bucket struct{ asked, earned float64 }
	buckets := map[int]*bucket{}
	first, last := 1<<30, 0
	took := make([][]time.Duration, len(classes))
	for _, c := range classes {
		s.Classes = append(s.Classes, ClassService{Name: c.Name})
	}
	for _, x := range samples {
		c, cs := &classes[x.Class], &s.Classes[x.Class]
		at := int(x.At / step)
		b := buckets[at]
		if b == nil {
			b = &bucket{}
			buckets[at] = b
		}
		first, last = min(first, at), max(last, at)
		cs.Asked++
		s.Asked += c.PriorityWeight
		b.asked += c.PriorityWeight
		if x.OK {
			took[x.Class] = append(took[x.Class], x.Latency)
		}
		if x.OK && x.Latency <= c.LatencyObjective {
			cs.InTime++
			s.Earned += c.PriorityWeight
			b.earned += c.PriorityWeight
		}
	}
	s.WorstWindowShare = s.Share()
	for from := first; from+10 <= last+1; from++ {
		asked, earned := 0.0, 0.0
		for at := from; at < from+10; at++ {
			if b := buckets[at]; b != nil {
				asked, earned = asked+b.asked, earned+b.earned
			}
		}
		if asked > 0 {
			s.WorstWindowShare = min(s.WorstWindowShare, earned/asked)
		}
	}
	for i := range took {
		s.Classes[i].P50, s.Classes[i].P99 = Quantile(took[i], 0.5), Quantile(took[i], 0.99)
	}
	return s
}

// Quantile returns the q-quantile of times, or 0 if there are none. It sorts times in place.
func Quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(int(q*float64(len(times))), len(times)-1)]
}
