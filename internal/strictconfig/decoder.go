package strictconfig

import (
	"cmp"
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxShownBytes bounds a value in a message, so that the line stays readable.
const maxShownBytes = 60

// The struct tags.
const (
	tagKey     = "toml"
	tagMin     = "min"
	tagMax     = "max"
	tagOneOf   = "oneof"
	tagNeed    = "need"
	tagRefused = "refused"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// decoder sets the fields of a struct.
type decoder struct {
	file           string
	lines          Lines
	checkMandatory bool
	errs           []*Error
}

// fail adds a fault; decoding continues with what follows.
func (d *decoder) fail(key, found, wanted string) {
	if len(d.errs) < MaxErrors {
		d.errs = append(d.errs, &Error{File: d.file, Line: d.lines[key], Key: key, Found: found, Wanted: wanted})
	}
}

// tableFields are the keys that a struct defines.
type tableFields struct {
	index   map[string]int    // of the field, by key
	refused map[string]string // what is wanted instead, by key
	keys    []string          // of index, in the order of the fields
}

func fieldsOf(table reflect.Type) tableFields {
	fields := tableFields{index: map[string]int{}, refused: map[string]string{}}
	for i := range table.NumField() {
		tag := table.Field(i).Tag
		key, reason := tag.Get(tagKey), tag.Get(tagRefused)
		switch {
		case reason != "":
			fields.refused[key] = reason
		case key != "":
			fields.index[key] = i
			fields.keys = append(fields.keys, key)
		}
	}
	return fields
}

func mandatory(tag reflect.StructTag) bool { return tag.Get(tagNeed) == "true" }

// decodeTable sets the fields of a struct from a table.
func (d *decoder) decodeTable(values map[string]any, into reflect.Value, path string) {
	fields := fieldsOf(into.Type())
	for _, key := range d.keysInOrder(values, path) {
		keyPath := join(path, key)
		if reason := fields.refused[key]; reason != "" {
			d.fail(keyPath, "a key that is not taken here", reason)
			continue
		}
		i, known := fields.index[key]
		if !known {
			d.fail(keyPath, "a key that is not known", "one of "+strings.Join(fields.keys, ", "))
			continue
		}
		d.decodeValue(values[key], into.Field(i), into.Type().Field(i).Tag, keyPath)
	}
	for _, key := range fields.keys {
		if _, found := values[key]; !found && d.checkMandatory && mandatory(into.Type().Field(fields.index[key]).Tag) {
			d.fail(path, "no "+key, "it given")
		}
	}
}

// keysInOrder returns the keys of a table in the order of the file, which is that of
// the errors.
func (d *decoder) keysInOrder(values map[string]any, path string) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(d.lines[join(path, a)]-d.lines[join(path, b)], strings.Compare(a, b))
	})
	return keys
}

// decodeValue sets a field from a value, within the bounds of its tags.
func (d *decoder) decodeValue(value any, into reflect.Value, tag reflect.StructTag, key string) {
	switch into.Type() {
	case durationType:
		d.decodeDuration(value, into, tag, key)
		return
	case sizeType:
		d.decodeSize(value, into, tag, key)
		return
	}
	if unmarshaler, ok := reflect.TypeAssert[encoding.TextUnmarshaler](into.Addr()); ok {
		d.decodeText(value, unmarshaler, key)
		return
	}
	switch into.Kind() {
	case reflect.String:
		d.decodeString(value, into, tag, key)
	case reflect.Bool:
		d.decodeBool(value, into, key)
	case reflect.Int:
		d.decodeInt(value, into, tag, key)
	case reflect.Float64:
		d.decodeFloat(value, into, tag, key)
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.fail(key, shown(value), "a table")
			return
		}
		d.decodeTable(table, into, key)
	case reflect.Slice:
		d.decodeArray(value, into, tag, key)
	default:
		panic("strictconfig: unsupported field type " + into.Type().String())
	}
}

func (d *decoder) decodeDuration(value any, into reflect.Value, tag reflect.StructTag, key string) {
	text, ok := value.(string)
	duration, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.fail(key, shown(value), `a duration with its unit, like "250ms"`)
		return
	}
	into.SetInt(int64(duration))
	d.checkBounds(float64(duration), shown(value), tag, key, func(bound string) float64 {
		parsed, _ := time.ParseDuration(bound)
		return float64(parsed)
	})
}

func (d *decoder) decodeSize(value any, into reflect.Value, tag reflect.StructTag, key string) {
	text, _ := value.(string)
	size, err := ParseSize(text)
	if err != nil {
		d.fail(key, shown(value), err.Error())
		return
	}
	into.SetInt(int64(size))
	d.checkBounds(float64(size), shown(value), tag, key, func(bound string) float64 {
		parsed, _ := ParseSize(bound)
		return float64(parsed)
	})
}

// decodeText lets a type read its own text. A bare number is read like one in quotes.
func (d *decoder) decodeText(value any, into encoding.TextUnmarshaler, key string) {
	text, ok := value.(string)
	if !ok {
		text = fmt.Sprint(value)
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.fail(key, shown(value), err.Error())
	}
}

func (d *decoder) decodeString(value any, into reflect.Value, tag reflect.StructTag, key string) {
	text, ok := value.(string)
	if !ok {
		d.fail(key, shown(value), "a string")
		return
	}
	if allowed := tag.Get(tagOneOf); allowed != "" && !slices.Contains(strings.Split(allowed, "|"), text) {
		d.fail(key, shown(value), "one of "+strings.ReplaceAll(allowed, "|", ", "))
		return
	}
	if text == "" && mandatory(tag) {
		d.fail(key, shown(value), "text that is not empty")
		return
	}
	into.SetString(text)
}

func (d *decoder) decodeBool(value any, into reflect.Value, key string) {
	flag, ok := value.(bool)
	if !ok {
		d.fail(key, shown(value), "true or false")
		return
	}
	into.SetBool(flag)
}

func (d *decoder) decodeInt(value any, into reflect.Value, tag reflect.StructTag, key string) {
	number, ok := value.(int64)
	if !ok {
		d.fail(key, shown(value), "a whole number")
		return
	}
	into.SetInt(number)
	d.checkBounds(float64(number), shown(value), tag, key, parseNumber)
}

func (d *decoder) decodeFloat(value any, into reflect.Value, tag reflect.StructTag, key string) {
	number, ok := value.(float64)
	if integer, isInteger := value.(int64); isInteger {
		number, ok = float64(integer), true
	}
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		d.fail(key, shown(value), "a number")
		return
	}
	into.SetFloat(number)
	d.checkBounds(number, shown(value), tag, key, parseNumber)
}

// decodeArray sets a slice from an array of values or of tables.
func (d *decoder) decodeArray(value any, into reflect.Value, tag reflect.StructTag, key string) {
	entries, ok := value.([]any)
	if tables, isTables := value.([]map[string]any); isTables {
		for _, table := range tables {
			entries = append(entries, table)
		}
		ok = true
	}
	if !ok {
		d.fail(key, shown(value), "an array")
		return
	}
	d.checkBounds(float64(len(entries)), fmt.Sprintf("%d entries", len(entries)), tag, key, parseNumber)
	slice := reflect.MakeSlice(into.Type(), len(entries), len(entries))
	for i, entry := range entries {
		path := entryPath(key, i+1)
		if _, found := d.lines[path]; !found {
			d.lines[path] = d.lines[key]
		}
		d.decodeValue(entry, slice.Index(i), "", path)
	}
	into.Set(slice)
}

func parseNumber(text string) float64 {
	number, _ := strconv.ParseFloat(text, 64)
	return number
}

// checkBounds compares a number with the tags min and max. A bound that parse can't
// read counts as 0.
func (d *decoder) checkBounds(number float64, found string, tag reflect.StructTag, key string, parse func(string) float64) {
	least, most := tag.Get(tagMin), tag.Get(tagMax)
	if (least == "" || number >= parse(least)) && (most == "" || number <= parse(most)) {
		return
	}
	switch {
	case most == "":
		d.fail(key, found, least+" or more")
	case least == "":
		d.fail(key, found, most+" at most")
	default:
		d.fail(key, found, least+" to "+most)
	}
}

// shown words a value as it is written in the file.
func shown(value any) string {
	text := fmt.Sprint(value)
	switch typed := value.(type) {
	case string:
		text = strconv.Quote(typed)
	case map[string]any:
		text = "a table"
	case []any, []map[string]any:
		text = "an array"
	}
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes-3] + "..."
	}
	return text
}
