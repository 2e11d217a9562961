package configuration

import "fmt"

// ValidationError reports an invalid value in a message, a change or the settings of a
// service. Its text is a single line.
type ValidationError struct {
	Path     string // path of the value, such as tenants[2].name
	Found    string
	Expected string
}

// Error returns a single line with the path, the value found and what was expected.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s: found %s, wanted %s", e.Path, e.Found, e.Expected)
}

func invalidError(path, found, expected string) error {
	return &ValidationError{Path: path, Found: found, Expected: expected}
}

// tooManyError reports a count that exceeds its limit.
func tooManyError(path string, found, limit int) error {
	return invalidError(path, fmt.Sprint(found), fmt.Sprintf("%d at most", limit))
}

// tooLargeError reports a size that exceeds its limit.
func tooLargeError(path string, bytes int, note string, limit int) error {
	return invalidError(path, fmt.Sprintf("%d bytes%s", bytes, note), fmt.Sprintf("%d at most", limit))
}

// ValidateName checks that a name is 1 to MaxNameBytes printable ASCII characters without
// spaces. Its error is a *ValidationError with the given path.
func ValidateName(path, name string) error {
	valid := name != "" && len(name) <= MaxNameBytes
	for i := 0; valid && i < len(name); i++ {
		valid = name[i] > ' ' && name[i] < 0x7f
	}
	if !valid {
		return invalidError(path, fmt.Sprintf("%.80q", name), fmt.Sprintf("1 to %d printable bytes without blanks", MaxNameBytes))
	}
	return nil
}
