// Package strictconfig decodes TOML configuration files strictly. Unknown keys, values of the
// wrong type or without a unit, and values out of range are errors. Each error is one line
// with the file, the line number, the key, the value found and the value wanted. A file is
// applied completely or not at all.
//
// The tags of a struct's fields define the accepted keys and values:
//
//	toml:"finish"   key; a field without this tag is ignored
//	min:"100ms"     minimum value, in the syntax of the file; for a slice, minimum number of entries
//	max:"5m"        maximum value, in the syntax of the file; for a slice, maximum number of entries
//	oneof:"a|b"     allowed strings
//	need:"true"     the key is mandatory; a string must not be empty
//	refused:"why"   the key is known but rejected; the tag says what to use instead
//
// Supported field types are string, bool, int, float64, time.Duration ("250ms"), Size
// ("8MiB"), implementations of encoding.TextUnmarshaler (whose error says what is wanted),
// slices of these, structs (tables) and slices of structs (arrays of tables). A key that the
// file does not contain leaves its field unchanged, so the caller sets defaults beforehand.
package strictconfig
