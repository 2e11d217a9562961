package rig

import (
	"math"
	"runtime"
	"runtime/metrics"
	"slices"
	"sync"
	"time"

	"otterspring/internal/lab/invariant"
)

const (
	suspensionPollInterval = 5 * time.Millisecond
	// suspensionThreshold is the delay of a wake-up above which a thread counts as suspended. Events during the
	// suspension may have been observed late.
	suspensionThreshold = 15 * time.Millisecond
	// voidSuspension is the suspension above which a run is void: the rig's process was stopped, or the machine was
	// suspended.
	voidSuspension = 2 * time.Second
)

// monitorSuspensions reports suspensions of the rig's own threads to the checker. The returned function ends the
// monitoring and returns the longest suspension. There are as many monitoring threads as cores, since a busy machine
// may delay one thread while others run.
func monitorSuspensions(checker *invariant.Checker) func() time.Duration {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	longest := time.Duration(0)
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			timer := time.NewTimer(suspensionPollInterval)
			defer timer.Stop()
			for {
				sleepStart := checker.Now()
				timer.Reset(suspensionPollInterval)
				stopping := false
				select {
				case <-stop:
					stopping = true // checked once more: a suspension may just have ended
				case <-timer.C:
				}
				if now := checker.Now(); now-sleepStart > suspensionPollInterval+suspensionThreshold {
					checker.Suspended(sleepStart+suspensionPollInterval, now)
					mu.Lock()
					longest = max(longest, now-sleepStart-suspensionPollInterval)
					mu.Unlock()
				}
				if stopping {
					return
				}
			}
		}()
	}
	wg.Go(func() { monitorSchedulerLatency(checker, stop) })
	return func() time.Duration { close(stop); wg.Wait(); return longest }
}

// monitorSchedulerLatency reports to the checker how long goroutines of the rig waited for a thread, as measured by
// the Go runtime. If thousands of goroutines are runnable, a goroutine that a packet has woken reads the clock late
// although no thread is suspended.
func monitorSchedulerLatency(checker *invariant.Checker, stop <-chan struct{}) {
	sample := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	var previous []uint64
	ticker := time.NewTicker(10 * suspensionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
			return
		}
		histogram := sample[0].Value.Float64Histogram()
		longest := 0.0
		for i, count := range histogram.Counts {
			if len(previous) == len(histogram.Counts) && count > previous[i] && !math.IsInf(histogram.Buckets[i+1], 0) {
				longest = histogram.Buckets[i+1]
			}
		}
		previous = slices.Clone(histogram.Counts)
		if latency := time.Duration(longest * float64(time.Second)); latency > suspensionThreshold {
			now := checker.Now()
			checker.Suspended(now-latency, now)
		}
	}
}
