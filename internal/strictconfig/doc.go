// Package strictconfig reads TOML files that operators write, strictly: an unknown key, a
// value of another kind or without its unit, and one out of its bounds are each one
// line with file, line, key, what was found and what is wanted. A file is applied
// completely or not at all.
//
// The fields of a struct define what a file may contain, by their tags:
//
//	toml:"finish"   the key; a field without this tag is not read
//	min:"100ms"     least value, as it is written in the file
//	max:"5m"        largest value; of a slice, the largest number of entries
//	oneof:"a|b"     the only strings allowed
//	need:"true"     the key is mandatory, and a string not empty
//	refused:"why"   the key is known and rejected; why says what is wanted instead
//
// Field types are string, bool, int, float64, time.Duration ("250ms"), Size ("8MiB"),
// types that read their own text (encoding.TextUnmarshaler, whose error says what is
// wanted), slices of these, structs (tables) and slices of structs (arrays of tables).
// What the struct contains before is the default.
package strictconfig
