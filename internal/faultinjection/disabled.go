//go:build !faults

package faultinjection

import (
	"context"
	"time"
)

// Enabled reports whether this binary supports fault injection.
const Enabled = false

// At does nothing.
func At(string) {}

// BeforeSend is called before a process sends to an address. It returns nil.
func BeforeSend(context.Context, string) error { return nil }

// WallClock returns the wall-clock time without a monotonic reading.
func WallClock() time.Time { return time.Now().Round(0) }

// DiskError is called before an operation on a file. It returns nil.
func DiskError(operation, path string) error { return nil }

// TornWrite reports whether a write to path must stop after half of the data. It returns
// false.
func TornWrite(path string) bool { return false }
