package sidecar

import (
	"bytes"
	"log/slog"
	"os"
	"runtime"
	"strconv"
	"time"
)

const (
	memoryWatchInterval = time.Second
	// Resident memory is logged when it rises above highMemoryPercent of the limit and when
	// it falls below normalMemoryPercent again. The platform kills the process at the limit.
	highMemoryPercent   = 75
	normalMemoryPercent = 60
)

// memoryLevel follows the resident memory of the process.
type memoryLevel struct {
	limitBytes int
	high       bool // highMemoryPercent was passed, and normalMemoryPercent not reached again
}

// update records a measurement and reports whether the level has changed.
func (m *memoryLevel) update(residentBytes int) bool {
	switch {
	case !m.high && residentBytes*100 > m.limitBytes*highMemoryPercent, m.high && residentBytes*100 < m.limitBytes*normalMemoryPercent:
		m.high = !m.high
		return true
	}
	return false
}

// residentBytes returns the resident memory of this process, 0 if it can't be read.
func residentBytes() int {
	const residentField = 1 // in pages; see proc(5) on statm
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) <= residentField {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[residentField]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// watchMemory logs when the resident memory comes near the limit, with what holds it, until
// stop is closed.
func (s *Sidecar) watchMemory(stop <-chan struct{}) {
	level := memoryLevel{limitBytes: s.config.MemoryBytes}
	ticker := time.NewTicker(memoryWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		resident := residentBytes()
		if !level.update(resident) {
			continue
		}
		var heap runtime.MemStats
		runtime.ReadMemStats(&heap)
		requests, attempts, _ := s.dispatcher.Counts()
		upstreamConnections, _ := s.httpPool.Counts()
		slog.Warn("resident memory", "high", level.high, "bytes", resident, "limit", level.limitBytes, "heap_bytes", heap.HeapAlloc, "stack_bytes", heap.StackInuse,
			"goroutines", runtime.NumGoroutine(), "connections", s.httpServer.Connections(), "requests", requests, "attempts", attempts, "upstream_connections", upstreamConnections)
	}
}
