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

// maxValueBytes is the length to which a value is truncated in an error message.
const maxValueBytes = 60

// Names of the struct tags; see the package documentation.
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

// decoder decodes the values of a file into a struct and collects the errors.
type decoder struct {
	file           string
	lines          Lines
	checkMandatory bool
	errs           []*Error
}

// addError records an error, up to MaxErrors. Decoding continues with the next value.
func (d *decoder) addError(key, found, wanted string) {
	if len(d.errs) < MaxErrors {
		d.errs = append(d.errs, &Error{File: d.file, Line: d.lines[key], Key: key, Found: found, Wanted: wanted})
	}
}

// tableFields are the keys that the tags of a struct define.
type tableFields struct {
	index   map[string]int    // field indexes of the accepted keys
	refused map[string]string // reasons of the rejected keys
	keys    []string          // accepted keys, in field order
}

func newTableFields(table reflect.Type) tableFields {
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

func isMandatory(tag reflect.StructTag) bool { return tag.Get(tagNeed) == "true" }

// decodeTable decodes a table into a struct.
func (d *decoder) decodeTable(values map[string]any, into reflect.Value, path string) {
	fields := newTableFields(into.Type())
	for _, key := range d.keysInOrder(values, path) {
		keyPath := joinPath(path, key)
		if reason := fields.refused[key]; reason != "" {
			d.addError(keyPath, "a key that is not taken here", reason)
			continue
		}
		i, known := fields.index[key]
		if !known {
			d.addError(keyPath, "a key that is not known", "one of "+strings.Join(fields.keys, ", "))
			continue
		}
		d.decodeValue(values[key], into.Field(i), into.Type().Field(i).Tag, keyPath)
	}
	for _, key := range fields.keys {
		if _, found := values[key]; !found && d.checkMandatory && isMandatory(into.Type().Field(fields.index[key]).Tag) {
			d.addError(path, "no "+key, "it given")
		}
	}
}

// keysInOrder returns the keys of a table in file order, so that errors are reported in that
// order.
func (d *decoder) keysInOrder(values map[string]any, path string) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(d.lines[joinPath(path, a)]-d.lines[joinPath(path, b)], strings.Compare(a, b))
	})
	return keys
}

// decodeValue decodes a value into a field and checks it against the tags of the field.
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
			d.addError(key, formatValue(value), "a table")
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
		d.addError(key, formatValue(value), `a duration with its unit, like "250ms"`)
		return
	}
	into.SetInt(int64(duration))
	d.checkBounds(float64(duration), formatValue(value), tag, key, func(bound string) float64 {
		parsed, _ := time.ParseDuration(bound)
		return float64(parsed)
	})
}

func (d *decoder) decodeSize(value any, into reflect.Value, tag reflect.StructTag, key string) {
	text, _ := value.(string)
	size, err := ParseSize(text)
	if err != nil {
		d.addError(key, formatValue(value), err.Error())
		return
	}
	into.SetInt(int64(size))
	d.checkBounds(float64(size), formatValue(value), tag, key, func(bound string) float64 {
		parsed, _ := ParseSize(bound)
		return float64(parsed)
	})
}

// decodeText decodes a value by UnmarshalText. It accepts values without quotes, such as a
// number, and passes their text.
func (d *decoder) decodeText(value any, into encoding.TextUnmarshaler, key string) {
	text, ok := value.(string)
	if !ok {
		text = fmt.Sprint(value)
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		d.addError(key, formatValue(value), err.Error())
	}
}

func (d *decoder) decodeString(value any, into reflect.Value, tag reflect.StructTag, key string) {
	text, ok := value.(string)
	if !ok {
		d.addError(key, formatValue(value), "a string")
		return
	}
	if allowed := tag.Get(tagOneOf); allowed != "" && !slices.Contains(strings.Split(allowed, "|"), text) {
		d.addError(key, formatValue(value), "one of "+strings.ReplaceAll(allowed, "|", ", "))
		return
	}
	if text == "" && isMandatory(tag) {
		d.addError(key, formatValue(value), "text that is not empty")
		return
	}
	into.SetString(text)
}

func (d *decoder) decodeBool(value any, into reflect.Value, key string) {
	flag, ok := value.(bool)
	if !ok {
		d.addError(key, formatValue(value), "true or false")
		return
	}
	into.SetBool(flag)
}

func (d *decoder) decodeInt(value any, into reflect.Value, tag reflect.StructTag, key string) {
	number, ok := value.(int64)
	if !ok {
		d.addError(key, formatValue(value), "a whole number")
		return
	}
	into.SetInt(number)
	d.checkBounds(float64(number), formatValue(value), tag, key, parseNumber)
}

func (d *decoder) decodeFloat(value any, into reflect.Value, tag reflect.StructTag, key string) {
	number, ok := value.(float64)
	if integer, isInteger := value.(int64); isInteger {
		number, ok = float64(integer), true
	}
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		d.addError(key, formatValue(value), "a number")
		return
	}
	into.SetFloat(number)
	d.checkBounds(number, formatValue(value), tag, key, parseNumber)
}

// decodeArray decodes an array of values or of tables into a slice.
func (d *decoder) decodeArray(value any, into reflect.Value, tag reflect.StructTag, key string) {
	entries, ok := value.([]any)
	if tables, isTables := value.([]map[string]any); isTables {
		for _, table := range tables {
			entries = append(entries, table)
		}
		ok = true
	}
	if !ok {
		d.addError(key, formatValue(value), "an array")
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

// checkBounds checks a number against the tags min and max. A bound that parse rejects
// counts as 0.
func (d *decoder) checkBounds(number float64, found string, tag reflect.StructTag, key string, parse func(string) float64) {
	lower, upper := tag.Get(tagMin), tag.Get(tagMax)
	if (lower == "" || number >= parse(lower)) && (upper == "" || number <= parse(upper)) {
		return
	}
	switch {
	case upper == "":
		d.addError(key, found, lower+" or more")
	case lower == "":
		d.addError(key, found, upper+" at most")
	default:
		d.addError(key, found, lower+" to "+upper)
	}
}

// formatValue formats a value as written in the file, truncated to maxValueBytes.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	switch typed := value.(type) {
	case string:
		text = strconv.Quote(typed)
	case map[string]any:
		text = "a table"
	case []any, []map[string]any:
		text = "an array"
	}
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes-3] + "..."
	}
	return text
}
