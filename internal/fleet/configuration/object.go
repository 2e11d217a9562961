package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// objectMember is a key of a JSON object with its value.
type objectMember struct {
	key   string
	value json.RawMessage
}

// readObject reads the members of a JSON object in their order. A key that occurs
// twice is an error: readers differ in which of the two they use.
func readObject(path string, text json.RawMessage) ([]objectMember, error) {
	if !startsWith(text, '{') {
		return nil, invalid(path, excerpt(text), "a JSON object")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.Token(); err != nil {
		return nil, fmt.Errorf("%s: found no JSON (%w), wanted an object", path, err)
	}
	var members []objectMember
	seen := map[string]bool{}
	for decoder.More() {
		var next objectMember
		token, err := decoder.Token()
		if err == nil {
			next.key, _ = token.(string) // the decoder takes only a string for a key
			err = decoder.Decode(&next.value)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: found no JSON (%w), wanted an object", path, err)
		}
		if seen[next.key] {
			return nil, invalid(memberPath(path, next.key), "the key twice", "each once")
		}
		seen[next.key] = true
		members = append(members, next)
	}
	return members, nil
}

// readList reads the elements of a JSON list of at most limit elements.
func readList(path string, text json.RawMessage, limit int) ([]json.RawMessage, error) {
	elements := []json.RawMessage{}
	if !startsWith(text, '[') || json.Unmarshal(text, &elements) != nil {
		return nil, invalid(path, excerpt(text), "a list of objects")
	}
	if len(elements) > limit {
		return nil, tooMany(path, len(elements), limit)
	}
	return elements, nil
}

func readString(path string, text json.RawMessage) (string, error) {
	var value string
	if !startsWith(text, '"') || json.Unmarshal(text, &value) != nil {
		return "", invalid(path, excerpt(text), "a string")
	}
	return value, nil
}

// readNumber reads a number from 0 to limit. text is valid JSON, so that it can't be
// one of the words that strconv reads, such as Inf.
func readNumber(path string, text json.RawMessage, limit float64) (float64, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || value < 0 || value > limit {
		return 0, invalid(path, excerpt(text), fmt.Sprintf("a number from 0 to %v", limit))
	}
	return value, nil
}

// readInteger reads an integer from 0 to limit. text is valid JSON.
func readInteger(path string, text json.RawMessage, limit int64) (int64, error) {
	value, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || value < 0 || value > limit {
		return 0, invalid(path, excerpt(text), fmt.Sprintf("a whole number from 0 to %d", limit))
	}
	return value, nil
}

// startsWith reports whether a JSON value is of the kind that starts with a byte.
func startsWith(text json.RawMessage, first byte) bool {
	text = bytes.TrimLeft(text, " \t\r\n")
	return len(text) > 0 && text[0] == first
}

// memberPath returns the path of a member of an object. A key that is no valid name is
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
