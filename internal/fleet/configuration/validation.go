package configuration

import "fmt"

// ValidationError is a value of a message, a change or a service's settings that is
// not valid. Its text is one line.
type ValidationError struct {
	Path     string // of the value, such as tenants[2].name
	Found    string
	Expected string
}

// Error returns one line: path, what was found and what was expected.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s: found %s, wanted %s", e.Path, e.Found, e.Expected)
}

func invalid(path, found, expected string) error {
	return &ValidationError{Path: path, Found: found, Expected: expected}
}

// tooMany is the error for a count that exceeds its limit.
func tooMany(path string, found, limit int) error {
	return invalid(path, fmt.Sprint(found), fmt.Sprintf("%d at most", limit))
}

// tooLarge is the error for a size that exceeds its limit.
func tooLarge(path string, bytes int, note string, limit int) error {
	return invalid(path, fmt.Sprintf("%d bytes%s", bytes, note), fmt.Sprintf("%d at most", limit))
}

// ValidateName checks a name: 1 to MaxNameBytes printable ASCII bytes without blanks.
// Its error is a *ValidationError with the given path.
func ValidateName(path, name string) error {
	valid := name != "" && len(name) <= MaxNameBytes
	for i := 0; valid && i < len(name); i++ {
		valid = name[i] > ' ' && name[i] < 0x7f
	}
	if !valid {
		return invalid(path, fmt.Sprintf("%.80q", name), fmt.Sprintf("1 to %d printable bytes without blanks", MaxNameBytes))
	}
	return nil
}
