//go:build !faults

package inject

import (
	"context"
	"time"
)

// Compiled tells whether faults can be brought into this binary.
const Compiled = false

// At marks a point of the code.
func At(string) {}

// Way is asked before a process sends something to an address.
func Way(context.Context, string) error { return nil }

// Wall is the wall clock, with no monotonic reading in it.
func Wall() time.Time { return time.Now().Round(0) }

// Disk is asked before an operation on a file.
func Disk(op, path string) error { return nil }

// Torn tells whether a write to path is to end in its middle.
func Torn(path string) bool { return false }
