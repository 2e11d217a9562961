// Package lab has what the cases share: a record file, a sidecar process, and stand-ins for
// clients, call servers and discovery. The stand-ins use plain sockets, so that each byte and
// its time are known.
package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes one line for each event, with the seconds since the start of the case.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file}, nil
}

// Since returns the seconds from the start of the record to t.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Add writes an event that happens now.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt writes an event that happened at t.
func (r *Record) AddAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.6f %s\n", r.Since(t), fmt.Sprintf(format, args...))
}

// Close flushes and closes the file.
func (r *Record) Close() { r.file.Close() }
