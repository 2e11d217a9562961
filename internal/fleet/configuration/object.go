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

// readObject reads the members of a JSON object in their order. A key that stands
// twice is refused: readers differ in which of the two they take.
func readObject(place string, text json.RawMessage) ([]objectMember, error) {
	if !startsWith(text, '{') {
		return nil, fmt.Errorf("%s: found %s, wanted a JSON object", place, excerpt(text))
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.Token(); err != nil {
		return nil, fmt.Errorf("%s: found no JSON (%w), wanted an object", place, err)
	}
	var members []objectMember
	seen := map[string]bool{}
	for decoder.More() {
		var next objectMember
		token, err := decoder.Token()
		if err == nil {
			next.key, _ = token.(string) // what stands for a key is a string
			err = decoder.Decode(&next.value)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: found no JSON (%w), wanted an object", place, err)
		}
		if seen[next.key] {
			return nil, fmt.Errorf("%s: found the key twice, wanted each once", memberPath(place, next.key))
		}
		seen[next.key] = true
		members = append(members, next)
	}
	return members, nil
}

// readList reads the elements of a JSON list.
func readList(place string, text json.RawMessage, most int) ([]json.RawMessage, error) {
	elements := []json.RawMessage{}
	if !startsWith(text, '[') || json.Unmarshal(text, &elements) != nil {
		return nil, fmt.Errorf("%s: found %s, wanted a list of objects", place, excerpt(text))
	}
	if len(elements) > most {
		return nil, fmt.Errorf("%s: found %d, wanted %d at most", place, len(elements), most)
	}
	return elements, nil
}

func readString(place string, text json.RawMessage) (string, error) {
	var value string
	if !startsWith(text, '"') || json.Unmarshal(text, &value) != nil {
		return "", fmt.Errorf("%s: found %s, wanted a string", place, excerpt(text))
	}
	return value, nil
}

// readNumber reads a number from 0 to most out of valid JSON, which has no words such
// as Inf that strconv takes.
func readNumber(place string, text json.RawMessage, most float64) (float64, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || value < 0 || value > most {
		return 0, fmt.Errorf("%s: found %s, wanted a number from 0 to %v", place, excerpt(text), most)
	}
	return value, nil
}

// readInteger reads a whole number from 0 to most out of valid JSON.
func readInteger(place string, text json.RawMessage, most int64) (int64, error) {
	value, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || value < 0 || value > most {
		return 0, fmt.Errorf("%s: found %s, wanted a whole number from 0 to %d", place, excerpt(text), most)
	}
	return value, nil
}

// startsWith tells the kind of a JSON value by its first byte.
func startsWith(text json.RawMessage, first byte) bool {
	text = bytes.TrimLeft(text, " \t\r\n")
	return len(text) > 0 && text[0] == first
}

// memberPath names a member of an object. A key that can't stand in a line is quoted.
func memberPath(place, key string) string {
	if ValidateName("key", key) != nil {
		key = fmt.Sprintf("%.40q", key)
	}
	if place == "settings" {
		return key
	}
	return place + "." + key
}

func excerpt(text []byte) string { return fmt.Sprintf("%.40q", text) }
