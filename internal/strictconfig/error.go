package strictconfig

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxErrors is the maximum number of errors returned for one file.
const MaxErrors = 100

// Error is one error in a file.
type Error struct {
	File   string
	Line   int    // from 1; 0 if unknown
	Key    string // key with its table, like "drain.finish"; empty for an error of the whole file
	Found  string
	Wanted string
}

// Error formats the error in one line: "file:line: key: found ..., wanted ...".
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

// errorWithoutPath returns the text of an error without the path of an os.PathError, since
// Error.File already contains the path.
func errorWithoutPath(err error) string {
	if pathError, ok := errors.AsType[*os.PathError](err); ok {
		return pathError.Err.Error()
	}
	return err.Error()
}

// newSyntaxError converts a parser error, with the position at which the parser stopped.
func newSyntaxError(name string, err error) *Error {
	e := &Error{File: name, Found: strings.TrimPrefix(err.Error(), "toml: "), Wanted: "TOML"}
	if decodeError, ok := errors.AsType[*toml.DecodeError](err); ok {
		e.Line, _ = decodeError.Position()
		e.Key = strings.Join(decodeError.Key(), ".")
	}
	e.Found = strings.ReplaceAll(e.Found, "\n", " ")
	return e
}
