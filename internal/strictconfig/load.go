package strictconfig

import (
	"fmt"
	"os"
	"reflect"

	"github.com/pelletier/go-toml/v2"

	"otterspring/internal/disk"
)

// MaxFileBytes is the maximum size of a file.
const MaxFileBytes = 1 << 20

// Load reads and decodes the file at path. The parameter into is a pointer to the struct that
// receives the decoded values. Load returns the errors of Read and Decode.
func Load(path string, into any) error {
	text, err := Read(path)
	if err != nil {
		return err
	}
	return Decode(path, text, into)
}

// Read reads a file, which must be a regular file of at most MaxFileBytes. Its errors have
// the type *Error.
func Read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{File: path, Found: errorWithoutPath(err), Wanted: "a readable file"}
	}
	if !info.Mode().IsRegular() {
		return nil, &Error{File: path, Found: info.Mode().Type().String(), Wanted: "a regular file"}
	}
	if info.Size() > MaxFileBytes {
		return nil, &Error{File: path, Found: fmt.Sprintf("%d bytes", info.Size()), Wanted: fmt.Sprintf("%d at most", MaxFileBytes)}
	}
	text, err := disk.Read(path)
	if err != nil {
		return nil, &Error{File: path, Found: errorWithoutPath(err), Wanted: "a readable file"}
	}
	return text, nil
}

// Decode decodes text. The parameter into is a pointer to the struct that receives the decoded
// values; name is the file name in errors. If there are errors, Decode returns the first one
// that DecodeAll would return and leaves the struct unchanged.
func Decode(name string, text []byte, into any) error {
	if _, errs := DecodeAll(name, text, into); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// DecodeAll is like Decode but returns all errors in file order, up to MaxErrors. Lines
// allows the caller to report the line of errors from its own checks.
func DecodeAll(name string, text []byte, into any) (Lines, []*Error) {
	return decode(name, text, into, true)
}

// DecodePartial is like DecodeAll but sets the fields that could be decoded even if there are
// errors, so that the caller can check these fields and report further errors. After an error
// the struct must not be used for anything else.
func DecodePartial(name string, text []byte, into any) (Lines, []*Error) {
	lines, errs := decode(name, text, into, true)
	if len(errs) > 0 && lines != nil {
		d := &decoder{file: name, lines: lines, checkMandatory: true}
		values := map[string]any{}
		if toml.Unmarshal(text, &values) == nil {
			d.decodeTable(values, reflect.ValueOf(into).Elem(), "")
		}
	}
	return lines, errs
}

// Overlay is like Decode for a file that overrides some values of a struct decoded from a
// complete file: mandatory keys may be absent.
func Overlay(name string, text []byte, into any) error {
	if _, errs := decode(name, text, into, false); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

func decode(name string, text []byte, into any, checkMandatory bool) (Lines, []*Error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, []*Error{newSyntaxError(name, err)}
	}
	d := &decoder{file: name, lines: indexLines(text), checkMandatory: checkMandatory}
	target := reflect.ValueOf(into).Elem()
	decoded := reflect.New(target.Type()).Elem()
	decoded.Set(target)
	d.decodeTable(values, decoded, "")
	if len(d.errs) > 0 {
		return d.lines, d.errs
	}
	target.Set(decoded)
	return d.lines, nil
}
