// Package strictfile reads TOML files that operators write, strictly: a key
// that is not known, a value of another kind or without its unit, and one out
// of its bounds are each one line with file, line, key, what was found and what
// is wanted. The file is taken whole or not at all.
//
// A struct's fields say what a file may hold, by their tags:
//
//	toml:"finish"   the key; a field without this tag is not read
//	min:"100ms"     least value, in the words of the file
//	max:"5m"        largest value
//	oneof:"a|b"     the only words allowed
//	need:"true"     the key must be there
//	refused:"why"   the key is known and not taken; why says what is wanted instead
//
// Field types are string, bool, int, float64, time.Duration ("250ms"), Size
// ("8MiB"), types that read their own text (encoding.TextUnmarshaler, whose
// error says what is wanted), slices of these, structs (tables) and slices of
// structs (arrays of tables). What the struct holds before is the default.
package strictfile

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"otterspring/internal/disk"
)

// MostBytes is the largest file that is read.
const MostBytes = 1 << 20

// Size is a number of bytes, written with a unit: "512B", "64KiB", "8MiB",
// "1GiB".
type Size int64

// String writes a size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s >= u.bytes && s%u.bytes == 0 {
			return fmt.Sprintf("%d%s", s/u.bytes, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

var sizeUnits = []struct {
	name  string
	bytes Size
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// ParseSize reads a whole number with one of the units B, KiB, MiB, GiB.
func ParseSize(text string) (Size, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.bytes) {
			break
		}
		return Size(n) * u.bytes, nil
	}
	return 0, errors.New(`a size with its unit, like "8MiB"`)
}

// Error is what is wrong with a file, in one line.
type Error struct {
	File   string
	Line   int    // from 1; 0 where no line can be named
	Key    string // with its table, like drain.finish; empty where there is none
	Found  string
	Wanted string
}

// Error words it: file:line: key: found, wanted.
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

// Load reads the file at path into the struct that into points to.
func Load(path string, into any) error {
	text, err := Read(path)
	if err != nil {
		return err
	}
	return Decode(path, text, into)
}

// Read reads a file that may be decoded: a regular one, of MostBytes at most.
func Read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &Error{File: path, Found: plainOS(err), Wanted: "a readable file"}
	}
	if !info.Mode().IsRegular() {
		return nil, &Error{File: path, Found: info.Mode().Type().String(), Wanted: "a regular file"}
	}
	if info.Size() > MostBytes {
		return nil, &Error{File: path, Found: fmt.Sprintf("%d bytes", info.Size()), Wanted: fmt.Sprintf("%d at most", MostBytes)}
	}
	text, err := disk.Read(path)
	if err != nil {
		return nil, &Error{File: path, Found: plainOS(err), Wanted: "a readable file"}
	}
	return text, nil
}

// plainOS is the cause of an operating system's error without the path, which
// the line has already.
func plainOS(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Decode reads text into the struct that into points to; name stands for the
// file in errors. After an error, of which the first is returned, the struct is
// as it was.
func Decode(name string, text []byte, into any) error {
	if _, errs := DecodeAll(name, text, into); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// DecodeAll does as Decode and returns all that is wrong, in the file's order,
// MostErrors at most. Lines tells where each key of the file stands, for errors
// that only the caller can see.
func DecodeAll(name string, text []byte, into any) (Lines, []*Error) {
	return decode(name, text, into, true)
}

// DecodePart is DecodeAll, but what could be read is put into into though there
// are errors: for who looks for further faults. It is not to be used.
func DecodePart(name string, text []byte, into any) (Lines, []*Error) {
	lines, errs := decode(name, text, into, true)
	if len(errs) > 0 && lines != nil {
		d := &decoder{file: name, lines: lines, need: true}
		values := map[string]any{}
		if toml.Unmarshal(text, &values) == nil {
			d.table(values, reflect.ValueOf(into).Elem(), "")
		}
	}
	return lines, errs
}

// Overlay does as Decode, over a struct that a whole file has filled: keys that
// are needed need not come again.
func Overlay(name string, text []byte, into any) error {
	if _, errs := decode(name, text, into, false); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

func decode(name string, text []byte, into any, need bool) (Lines, []*Error) {
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, []*Error{syntaxError(name, err)}
	}
	d := &decoder{file: name, lines: keyLines(text), need: need}
	target := reflect.ValueOf(into).Elem()
	work := reflect.New(target.Type()).Elem()
	work.Set(target)
	d.table(values, work, "")
	if len(d.errs) > 0 {
		return d.lines, d.errs
	}
	target.Set(work)
	return d.lines, nil
}

// MostErrors bounds what is said of one file.
const MostErrors = 100

// Lines maps each key of a file, with its tables (drain.finish, fault[2].kind),
// to the line that it stands in.
type Lines map[string]int

// syntaxError names the place that the parser stopped at.
func syntaxError(name string, err error) *Error {
	e := &Error{File: name, Found: strings.TrimPrefix(err.Error(), "toml: "), Wanted: "TOML"}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		e.Line, _ = de.Position()
		e.Key = strings.Join(de.Key(), ".")
	}
	e.Found = strings.ReplaceAll(e.Found, "\n", " ")
	return e
}

// keyLines maps every key, and every table, to the line of its first mention.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{} // tables of each array so far
	var p unstable.Parser
	p.Reset(text)
	table := ""
	note := func(key string, n *unstable.Node) {
		if _, ok := lines[key]; !ok {
			lines[key] = p.Shape(n.Raw).Start.Line
		}
	}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		var last *unstable.Node
		for it := e.Key(); it.Next(); {
			last = it.Node()
			parts = append(parts, string(last.Data))
		}
		if last == nil {
			continue
		}
		switch e.Kind {
		case unstable.Table:
			table = within(counts, parts)
			note(table, last)
		case unstable.ArrayTable:
			array := within(counts, parts)
			counts[array]++
			table = fmt.Sprintf("%s[%d]", array, counts[array])
			note(table, last)
		case unstable.KeyValue:
			path := table
			for _, part := range parts {
				path = join(path, part)
				note(path, last)
			}
			inlineLines(&p, path, e.Value(), note)
		}
	}
	return lines
}

// inlineLines notes the keys of an inline table, and of those in arrays.
func inlineLines(p *unstable.Parser, path string, v *unstable.Node, note func(string, *unstable.Node)) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			kv := it.Node()
			at := path
			var last *unstable.Node
			for k := kv.Key(); k.Next(); {
				last = k.Node()
				at = join(at, string(last.Data))
				note(at, last)
			}
			inlineLines(p, at, kv.Value(), note)
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			i++
			inlineLines(p, fmt.Sprintf("%s[%d]", path, i), it.Node(), note)
		}
	}
}

// within joins a table's name; a part that is an array stands for its latest
// table.
func within(counts map[string]int, parts []string) string {
	path := ""
	for i, part := range parts {
		path = join(path, part)
		if n := counts[path]; n > 0 && i < len(parts)-1 {
			path = fmt.Sprintf("%s[%d]", path, n)
		}
	}
	return path
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// decoder puts values into fields.
type decoder struct {
	file  string
	lines Lines
	need  bool // keys that are needed are asked for
	errs  []*Error
}

// fail notes what is wrong; the reading goes on with what follows.
func (d *decoder) fail(key, found, wanted string) {
	if len(d.errs) < MostErrors {
		d.errs = append(d.errs, &Error{File: d.file, Line: d.lines[key], Key: key, Found: found, Wanted: wanted})
	}
}

// table puts a table's values into a struct.
func (d *decoder) table(values map[string]any, into reflect.Value, path string) {
	fields := map[string]int{}
	refused := map[string]string{}
	var known []string
	for i := range into.NumField() {
		tag := into.Type().Field(i).Tag
		key, why := tag.Get("toml"), tag.Get("refused")
		switch {
		case why != "":
			refused[key] = why
		case key != "":
			fields[key] = i
			known = append(known, key)
		}
	}
	// The first key in the file's order is the one to name.
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		if n := d.lines[join(path, a)] - d.lines[join(path, b)]; n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
	for _, key := range keys {
		if why := refused[key]; why != "" {
			d.fail(join(path, key), "a key that is not taken here", why)
			continue
		}
		at, ok := fields[key]
		if !ok {
			d.fail(join(path, key), "a key that is not known", "one of "+strings.Join(known, ", "))
			continue
		}
		d.value(values[key], into.Field(at), into.Type().Field(at).Tag, join(path, key))
	}
	for _, key := range known {
		if _, there := values[key]; !there && d.need && into.Type().Field(fields[key]).Tag.Get("need") == "true" {
			d.fail(path, "no "+key, "it given")
		}
	}
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// value puts one value into a field, within the bounds of its tags.
func (d *decoder) value(v any, into reflect.Value, tag reflect.StructTag, key string) {
	switch {
	case into.Type() == durationType:
		text, ok := v.(string)
		n, err := time.ParseDuration(text)
		if !ok || err != nil {
			d.fail(key, show(v), `a duration with its unit, like "250ms"`)
			return
		}
		into.SetInt(int64(n))
		d.bounds(float64(n), show(v), tag, key, func(s string) float64 { b, _ := time.ParseDuration(s); return float64(b) })
		return
	case into.Type() == sizeType:
		text, _ := v.(string)
		n, err := ParseSize(text)
		if err != nil {
			d.fail(key, show(v), err.Error())
			return
		}
		into.SetInt(int64(n))
		d.bounds(float64(n), show(v), tag, key, func(s string) float64 { b, _ := ParseSize(s); return float64(b) })
		return
	}
	if own, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		text, ok := v.(string)
		if !ok {
			text = fmt.Sprint(v) // a bare number is as good as one in quotes
		}
		if err := own.UnmarshalText([]byte(text)); err != nil {
			d.fail(key, show(v), err.Error())
		}
		return
	}
	switch into.Kind() {
	case reflect.String:
		d.text(v, into, tag, key)
	case reflect.Bool:
		b, ok := v.(bool)
		if !ok {
			d.fail(key, show(v), "true or false")
			return
		}
		into.SetBool(b)
	case reflect.Int:
		n, ok := v.(int64)
		if !ok {
			d.fail(key, show(v), "a whole number")
			return
		}
		into.SetInt(n)
		d.bounds(float64(n), show(v), tag, key, plainNumber)
	case reflect.Float64:
		f, ok := v.(float64)
		if n, whole := v.(int64); whole {
			f, ok = float64(n), true
		}
		if !ok || math.IsNaN(f) || math.IsInf(f, 0) {
			d.fail(key, show(v), "a number")
			return
		}
		into.SetFloat(f)
		d.bounds(f, show(v), tag, key, plainNumber)
	case reflect.Struct:
		t, ok := v.(map[string]any)
		if !ok {
			d.fail(key, show(v), "a table")
			return
		}
		d.table(t, into, key)
	case reflect.Slice:
		d.list(v, into, tag, key)
	default:
		panic("strictfile: no rule for fields of type " + into.Type().String())
	}
}

func plainNumber(s string) float64 { f, _ := strconv.ParseFloat(s, 64); return f }

// text puts a string into a field.
func (d *decoder) text(v any, into reflect.Value, tag reflect.StructTag, key string) {
	s, ok := v.(string)
	if !ok {
		d.fail(key, show(v), "a string")
		return
	}
	if words := tag.Get("oneof"); words != "" && !slices.Contains(strings.Split(words, "|"), s) {
		d.fail(key, show(v), "one of "+strings.ReplaceAll(words, "|", ", "))
		return
	}
	if s == "" && tag.Get("need") == "true" {
		d.fail(key, show(v), "text that is not empty")
		return
	}
	into.SetString(s)
}

// list puts an array of strings or of tables into a slice.
func (d *decoder) list(v any, into reflect.Value, tag reflect.StructTag, key string) {
	items, ok := v.([]any)
	if !ok {
		if tables, is := v.([]map[string]any); is {
			for _, t := range tables {
				items = append(items, t)
			}
			ok = true
		}
	}
	if !ok {
		d.fail(key, show(v), "an array")
		return
	}
	d.bounds(float64(len(items)), fmt.Sprintf("%d entries", len(items)), tag, key, plainNumber)
	out := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		at := fmt.Sprintf("%s[%d]", key, i+1)
		if _, ok := d.lines[at]; !ok {
			d.lines[at] = d.lines[key]
		}
		d.value(item, out.Index(i), "", at)
	}
	into.Set(out)
}

// bounds holds a number against the tags min and max, which are in the words
// of the file.
func (d *decoder) bounds(n float64, found string, tag reflect.StructTag, key string, parse func(string) float64) {
	least, most := tag.Get("min"), tag.Get("max")
	if (least == "" || n >= parse(least)) && (most == "" || n <= parse(most)) {
		return
	}
	switch {
	case most == "":
		d.fail(key, found, least+" or more")
		return
	case least == "":
		d.fail(key, found, most+" at most")
		return
	}
	d.fail(key, found, least+" to "+most)
}

// show words a value as it stands in the file, cut to a length that leaves the
// line readable.
func show(v any) string {
	text := fmt.Sprint(v)
	switch t := v.(type) {
	case string:
		text = strconv.Quote(t)
	case map[string]any:
		text = "a table"
	case []any, []map[string]any:
		text = "an array"
	}
	if len(text) > 60 {
		text = text[:57] + "..."
	}
	return text
}
