// Package keytest guards the names that the program writes for others to read: the
// keys of its messages, files and settings, and whole recorded texts. A test compares
// the keys of the types that a package marshals with a list in testdata, so that renaming a field in Go
// can't rename it in a file that an older version wrote, or on the wire.
//
// Only tests import it.
package keytest

import (
	"encoding"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"otterspring/internal/disk"
)

var (
	updateKeys   = flag.Bool("update-keys", false, "write the lists of keys anew instead of comparing them")
	updateGolden = flag.Bool("update-golden", false, "write the golden files anew instead of comparing them")
)

// Marshaled is one type that is written for others to read.
type Marshaled struct {
	// Role says in the list what the type is for. It stays the same when the Go type is renamed.
	Role string
	// Encoding is the struct tag that names the keys: json or toml.
	Encoding string
	// Value is any value of the type.
	Value any
}

// Compare fails the test where the keys of the types, with those of all types nested
// in them, are not the ones that the file lists.
func Compare(t *testing.T, path string, types []Marshaled) {
	t.Helper()
	var list strings.Builder
	for _, m := range types {
		fmt.Fprintf(&list, "# %s (%s)\n", m.Role, m.Encoding)
		for _, line := range Keys(m.Encoding, reflect.TypeOf(m.Value)) {
			list.WriteString(line + "\n")
		}
		list.WriteString("\n")
	}
	got := list.String()
	if *updateKeys {
		write(t, path, got)
		return
	}
	if want := read(t, path); got != want {
		t.Errorf("the keys differ from %s: %s", path, difference(got, want))
	}
}

// CompareGolden fails the test at the first line in which a text differs from the
// golden file, which an earlier version of the program has written.
func CompareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *updateGolden {
		write(t, path, got)
		return
	}
	want := read(t, path)
	if got == want {
		return
	}
	found, wanted := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(found), len(wanted)) {
		if found[i] != wanted[i] {
			t.Fatalf("%s:%d: found %s, wanted %s", path, i+1, found[i], wanted[i])
		}
	}
	t.Fatalf("%s: found %d lines, wanted %d", path, len(found), len(wanted))
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := disk.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := disk.Replace(path, []byte(text), false); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// difference names the lines that only one of two lists has.
func difference(got, want string) string {
	found, wanted := strings.Split(got, "\n"), strings.Split(want, "\n")
	var lines []string
	for _, line := range wanted {
		if !slices.Contains(found, line) {
			lines = append(lines, fmt.Sprintf("missing %q", line))
		}
	}
	for _, line := range found {
		if !slices.Contains(wanted, line) {
			lines = append(lines, fmt.Sprintf("unexpected %q", line))
		}
	}
	if len(lines) == 0 {
		return "the same lines in another order or number"
	}
	return strings.Join(lines, ", ")
}

// Keys lists the keys of a type, each with the kind of its value and the options of
// its tag, as "hosts[].address string omitempty". A key without a tag is marked as
// untagged, since renaming the field renames it. A type that is no struct has one
// line with its kind.
func Keys(encodingName string, t reflect.Type) []string {
	c := collector{encoding: encodingName, open: map[reflect.Type]bool{}}
	c.visit("", t, "")
	slices.Sort(c.lines)
	return c.lines
}

type collector struct {
	encoding string
	open     map[reflect.Type]bool // structs on the path from the root
	lines    []string
}

var (
	jsonMarshaler = reflect.TypeFor[json.Marshaler]()
	textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()
)

// opaque reports whether a type writes itself, so that its fields name no keys.
func opaque(t reflect.Type) bool {
	pointer := reflect.PointerTo(t)
	return pointer.Implements(jsonMarshaler) || pointer.Implements(textMarshaler)
}

func (c *collector) visit(path string, t reflect.Type, note string) {
	switch {
	case t.Kind() == reflect.Pointer:
		c.visit(path, t.Elem(), note)
	case opaque(t):
		c.add(path, "marshals itself", note)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8:
		c.add(path, "bytes", note)
	case t.Kind() == reflect.Slice, t.Kind() == reflect.Array:
		c.visit(path+"[]", t.Elem(), note)
	case t.Kind() == reflect.Map:
		c.visit(path+"{"+t.Key().Kind().String()+"}", t.Elem(), note)
	case t.Kind() == reflect.Struct:
		c.visitStruct(path, t, note)
	default:
		c.add(path, t.Kind().String(), note)
	}
}

func (c *collector) add(path, kind, note string) {
	c.lines = append(c.lines, strings.TrimSpace(strings.TrimSpace(path+" "+kind)+" "+note))
}

func (c *collector) visitStruct(path string, t reflect.Type, note string) {
	if c.open[t] {
		c.add(path, "recursive", note)
		return
	}
	c.open[t] = true
	defer delete(c.open, t)
	before := len(c.lines)
	for field := range t.Fields() {
		c.visitField(path, field)
	}
	if len(c.lines) == before {
		c.add(path, "empty struct", note)
	}
}

func (c *collector) visitField(path string, field reflect.StructField) {
	tag, tagged := field.Tag.Lookup(c.encoding)
	name, options, _ := strings.Cut(tag, ",")
	if name == "-" {
		return
	}
	if field.Anonymous && name == "" {
		c.visit(path, field.Type, "")
		return
	}
	if !field.IsExported() {
		return
	}
	note := options
	if !tagged || name == "" {
		name = field.Name
		note = strings.TrimSpace(note + " untagged")
	}
	if path != "" {
		name = path + "." + name
	}
	c.visit(name, field.Type, note)
}
