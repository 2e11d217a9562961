package main

import (
	"context"
	"errors"
	"io"
)

func runSpeed(ctx context.Context, args []string, out io.Writer) error { return errors.New("tbd") }
func runProxy(args []string) int                                       { return 2 }
