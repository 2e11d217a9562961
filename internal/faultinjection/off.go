//go:build !faults

package faultinjection

import (
	"context"
	"time"
)

// Compiled tells whether faults can be brought into this binary.
const Compiled = false

// At marks a point of the code.
func At(string) {}

// BeforeSend is asked before a process sends something to an address.
func BeforeSend(context.Context, string) error { return nil }

// WallClock is the wall clock, with no monotonic reading in it.
func WallClock() time.Time { return time.Now().Round(0) }

// DiskError is asked before an operation on a file.
func DiskError(op, path string) error { return nil }

// TornWrite tells whether a write to path is to end in its middle.
func TornWrite(path string) bool { return false }
