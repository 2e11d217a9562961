package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// objectMember is a key-value pair of a JSON object.
type objectMember struct {
	key   string
	value json.RawMessage
}

// readObject returns the members of a JSON object in their order. Duplicate keys are an
// error, since JSON parsers differ in which of the values they use.
func readObject(path string, text json.RawMessage) ([]objectMember, error) {
	if !startsWith(text, '{') {
		return nil, invalidError(path, excerpt(text), "a JSON object")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.Token(); err != nil {
		return nil, fmt.Errorf("%s: found invalid JSON (%w), wanted an object", path, err)
	}
	var members []objectMember
	seen := map[string]bool{}
	for decoder.More() {
		var next objectMember
		token, err := decoder.Token()
		if err == nil {
			next.key, _ = token.(string) // the decoder accepts only strings as keys
			err = decoder.Decode(&next.value)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: found invalid JSON (%w), wanted an object", path, err)
		}
		if seen[next.key] {
			return nil, invalidError(memberPath(path, next.key), "the key twice", "each once")
		}
		seen[next.key] = true
		members = append(members, next)
	}
	return members, nil
}

// readList returns the elements of a JSON array of at most limit elements.
func readList(path string, text json.RawMessage, limit int) ([]json.RawMessage, error) {
	elements := []json.RawMessage{}
	if !startsWith(text, '[') || json.Unmarshal(text, &elements) != nil {
		return nil, invalidError(path, excerpt(text), "a list of objects")
	}
	if len(elements) > limit {
		return nil, tooManyError(path, len(elements), limit)
	}
	return elements, nil
}

func readString(path string, text json.RawMessage) (string, error) {
	var value string
	if !startsWith(text, '"') || json.Unmarshal(text, &value) != nil {
		return "", invalidError(path, excerpt(text), "a string")
	}
	return value, nil
}

// readNumber parses a number from 0 to limit. text must be valid JSON, which excludes the
// non-numeric values that strconv accepts, such as Inf.
func readNumber(path string, text json.RawMessage, limit float64) (float64, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || value < 0 || value > limit {
		return 0, invalidError(path, excerpt(text), fmt.Sprintf("a number from 0 to %v", limit))
	}
	return value, nil
}

// readInteger parses an integer from 0 to limit. text must be valid JSON.
func readInteger(path string, text json.RawMessage, limit int64) (int64, error) {
	value, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || value < 0 || value > limit {
		return 0, invalidError(path, excerpt(text), fmt.Sprintf("a whole number from 0 to %d", limit))
	}
	return value, nil
}

// startsWith reports whether first is the first byte of a JSON value after white space. The
// first byte shows whether the value is an object, an array or a string.
func startsWith(text json.RawMessage, first byte) bool {
	text = bytes.TrimLeft(text, " \t\r\n")
	return len(text) > 0 && text[0] == first
}

// memberPath returns the path of an object member. A key that is not a valid name is
// quoted, so that the path is printable.
func memberPath(path, key string) string {
	if ValidateName("key", key) != nil {
		key = fmt.Sprintf("%.40q", key)
	}
	if path == settingsPath {
		return key
	}
	return path + "." + key
}

func excerpt(text []byte) string { return fmt.Sprintf("%.40q", text) }
