package strictconfig

import (
	"fmt"
	"os"
	"reflect"

	"github.com/pelletier/go-toml/v2"

	"otterspring/internal/disk"
)

// MaxFileBytes is the size of the largest file that is read.
const MaxFileBytes = 1 << 20

// Load reads the file at path into the struct that into points to. Its errors are
// those of Read and Decode.
func Load(path string, into any) error {
	text, err := Read(path)
	if err != nil {
		return err
	}
	return Decode(path, text, into)
}

// Read reads a file that may be decoded: a regular one, of at most MaxFileBytes. Its
// errors are of type *Error.
func Read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{File: path, Found: withoutPath(err), Wanted: "a readable file"}
	}
	if !info.Mode().IsRegular() {
		return nil, &Error{File: path, Found: info.Mode().Type().String(), Wanted: "a regular file"}
	}
	if info.Size() > MaxFileBytes {
		return nil, &Error{File: path, Found: fmt.Sprintf("%d bytes", info.Size()), Wanted: fmt.Sprintf("%d at most", MaxFileBytes)}
	}
	text, err := disk.Read(path)
	if err != nil {
		return nil, &Error{File: path, Found: withoutPath(err), Wanted: "a readable file"}
	}
	return text, nil
}

// Decode reads text into the struct that into points to; name is the file's in errors.
// It returns the first of the errors of DecodeAll, after which the struct is as it was.
func Decode(name string, text []byte, into any) error {
	if _, errs := DecodeAll(name, text, into); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// DecodeAll decodes like Decode and returns all errors in the order of the file, at
// most MaxErrors. Lines has the line of each key, for faults that only the caller can
// find.
func DecodeAll(name string, text []byte, into any) (Lines, []*Error) {
	return decode(name, text, into, true)
}

// DecodePartial decodes like DecodeAll, but what could be read is in the struct even if
// there are errors, so that the caller can look for further faults. The struct must not
// be used for anything else.
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

// Overlay decodes like Decode, over a struct that a complete file has filled: mandatory
// keys need not be there again.
func Overlay(name string, text []byte, into any) error {
	if _, errs := decode(name, text, into, false); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

func decode(name string, text []byte, into any, checkMandatory bool) (Lines, []*Error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, []*Error{syntaxError(name, err)}
	}
	d := &decoder{file: name, lines: linesOf(text), checkMandatory: checkMandatory}
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
