// Package cost has helpers for the benchmarks behind docs/CAPACITY.md. They report the heap
// memory that a value retains, and the CPU time that a function uses. They do not report wall
// time, because other load on the machine increases it.
package cost

import (
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// CPUTime returns the CPU time that all threads of this process have used.
func CPUTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &now); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(now.Nano())
}

// Loop calls body in a b.Loop. The parameter i of body is the number of the iteration, from 0.
// Loop reports the CPU time of an iteration, including garbage collection, as the metric
// "cpu-ns/op".
func Loop(b *testing.B, body func(i int)) {
	start := CPUTime()
	i := 0
	for b.Loop() {
		body(i)
		i++
	}
	b.ReportMetric(float64((CPUTime()-start).Nanoseconds())/float64(i), "cpu-ns/op")
}

// HeapInUse runs a garbage collection and returns the bytes of allocated heap objects.
func HeapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// ReportRetainedHeap measures the heap memory that the result of build retains, in bytes. It
// divides that number by n and reports the quotient under the given metric name.
func ReportRetainedHeap(b *testing.B, n int, name string, build func() any) {
	var value any
	bytes := 0.0
	for b.Loop() {
		value = nil
		before := HeapInUse()
		value = build()
		bytes = HeapInUse() - before
	}
	runtime.KeepAlive(value)
	b.ReportMetric(bytes/float64(n), name)
}
