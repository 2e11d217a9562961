package strictconfig

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxErrors bounds the errors that are returned for one file.
const MaxErrors = 100

// Error is one fault of a file.
type Error struct {
	File   string
	Line   int    // from 1; 0 where no line can be named
	Key    string // with its table, like drain.finish; empty where there is none
	Found  string
	Wanted string
}

// Error words the fault in one line: file:line: key: found, wanted.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		b.WriteString(": " + e.Key)
	}
	b.WriteString(": found " + e.Found)
	if e.Wanted != "" {
		b.WriteString(", wanted " + e.Wanted)
	}
	return b.String()
}

// withoutPath is the cause of an operating system's error without the path, which the
// line has already.
func withoutPath(err error) string {
	if pathError, ok := errors.AsType[*os.PathError](err); ok {
		return pathError.Err.Error()
	}
	return err.Error()
}

// syntaxError names the place at which the parser stopped.
func syntaxError(name string, err error) *Error {
	e := &Error{File: name, Found: strings.TrimPrefix(err.Error(), "toml: "), Wanted: "TOML"}
	if decodeError, ok := errors.AsType[*toml.DecodeError](err); ok {
		e.Line, _ = decodeError.Position()
		e.Key = strings.Join(decodeError.Key(), ".")
	}
	e.Found = strings.ReplaceAll(e.Found, "\n", " ")
	return e
}
