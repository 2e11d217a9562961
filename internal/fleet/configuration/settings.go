package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Bounds of one service's settings.
const (
	MaxTenants          = 128
	MaxClasses          = 32
	MaxLatencyObjective = 10 * time.Minute
	MaxQuota            = 1e9 // requests a second
	MaxPriorityWeight   = 1e9
)

// Settings are what a service's resource may say: what takes force in a running
// sidecar. Absent fields leave the sidecar's own as they are.
type Settings struct {
	// Tenants replace the sidecar's tenants and their shares; absent leaves them, an
	// empty list removes them.
	Tenants []Tenant `json:"tenants,omitzero"`
	Classes []Class  `json:"classes,omitzero"`
}

// Tenant is a customer with its agreed rate.
type Tenant struct {
	Name string `json:"name"`
	// Quota is in requests a second over all sidecars; 0 for none agreed.
	Quota float64 `json:"quota-per-s"`
}

// Class is what may change of a class of requests that the sidecar knows.
type Class struct {
	Name string `json:"name"`
	// LatencyObjectiveMicroseconds is within what an answer earns the full worth.
	LatencyObjectiveMicroseconds *int64   `json:"aim-us,omitempty"`
	PriorityWeight               *float64 `json:"worth,omitempty"`
	// LatePriorityWeight is the share of the worth that is left after the aim, 0 to 1.
	LatePriorityWeight *float64 `json:"late-worth,omitempty"`
}

// Keys of a sidecar's settings that a running one can't take. A change of them is
// refused, so that nobody waits for it to take force.
var (
	topKeys          = []string{"tenants", "classes"}
	tenantKeys       = []string{"name", "quota-per-s"}
	classKeys        = []string{"name", "aim-us", "worth", "late-worth"}
	restartKeys      = []string{"limits", "rules", "extra", "discovery", "round-us", "over-share-worth"}
	restartClassKeys = []string{"deadline-us", "aim-stretch", "effect", "group", "window-us"} // of a class
)

// ParseSettings reads a service's settings strictly and checks them. The error is one
// line: which key, what was found and what is wanted. A council's member makes this
// check before it proposes a change, and a sidecar before it takes one.
func ParseSettings(text []byte) (Settings, error) {
	canonical, err := canonicalSettings(text)
	if err != nil {
		return Settings{}, err
	}
	members, err := readObject("settings", canonical)
	if err != nil {
		return Settings{}, err
	}
	var settings Settings
	for _, member := range members {
		switch member.key {
		case "tenants":
			settings.Tenants, err = readTenants(member.value)
		case "classes":
			settings.Classes, err = readClasses(member.value)
		default:
			err = unknownKeyError(memberPath("settings", member.key), member.key, topKeys, restartKeys)
		}
		if err != nil {
			return Settings{}, err
		}
	}
	return settings, nil
}

// canonicalSettings returns settings in the form in which they are stored and sent.
// Their size is bounded in this form: the one of the file may be shorter, since JSON
// that is sent escapes some characters.
func canonicalSettings(text []byte) (json.RawMessage, error) {
	if len(text) > MaxSettingsBytes {
		return nil, fmt.Errorf("settings: found %d bytes, wanted %d at most", len(text), MaxSettingsBytes)
	}
	canonical, err := json.Marshal(json.RawMessage(text))
	if err != nil || len(text) == 0 {
		return nil, fmt.Errorf("settings: found %s, wanted a JSON object and nothing behind it", excerpt(text))
	}
	if len(canonical) > MaxSettingsBytes {
		return nil, fmt.Errorf("settings: found %d bytes as they are sent, wanted %d at most", len(canonical), MaxSettingsBytes)
	}
	return canonical, nil
}

// unknownKeyError is the error for a key that is not one of those known.
func unknownKeyError(place, key string, known, roll []string) error {
	if slices.Contains(roll, key) {
		return fmt.Errorf("%s: found a change that takes force at a start only, wanted one of %q: change the files and roll", place, known)
	}
	return fmt.Errorf("%s: found an unknown key, wanted one of %q", place, known)
}

func readTenants(text json.RawMessage) ([]Tenant, error) {
	elements, err := readList("tenants", text, MaxTenants)
	if err != nil {
		return nil, err
	}
	tenants, names := make([]Tenant, len(elements)), map[string]bool{}
	for i, element := range elements {
		place := fmt.Sprintf("tenants[%d]", i)
		if err := tenants[i].read(place, element); err != nil {
			return nil, err
		}
		if err := validateEntryName(place+".name", tenants[i].Name, names); err != nil {
			return nil, err
		}
	}
	return tenants, nil
}

func (t *Tenant) read(place string, text json.RawMessage) error {
	members, err := readObject(place, text)
	if err != nil {
		return err
	}
	for _, member := range members {
		at := memberPath(place, member.key)
		switch member.key {
		case "name":
			t.Name, err = readString(at, member.value)
		case "quota-per-s":
			t.Quota, err = readNumber(at, member.value, MaxQuota)
		default:
			err = unknownKeyError(at, member.key, tenantKeys, nil)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func readClasses(text json.RawMessage) ([]Class, error) {
	elements, err := readList("classes", text, MaxClasses)
	if err != nil {
		return nil, err
	}
	classes, names := make([]Class, len(elements)), map[string]bool{}
	for i, element := range elements {
		place := fmt.Sprintf("classes[%d]", i)
		if err := classes[i].read(place, element); err != nil {
			return nil, err
		}
		if err := validateEntryName(place+".name", classes[i].Name, names); err != nil {
			return nil, err
		}
	}
	return classes, nil
}

func (c *Class) read(place string, text json.RawMessage) error {
	members, err := readObject(place, text)
	if err != nil {
		return err
	}
	for _, member := range members {
		if err := c.readMember(memberPath(place, member.key), member); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) readMember(place string, member objectMember) (err error) {
	switch member.key {
	case "name":
		c.Name, err = readString(place, member.value)
	case "aim-us":
		c.LatencyObjectiveMicroseconds = new(int64)
		*c.LatencyObjectiveMicroseconds, err = readInteger(place, member.value, MaxLatencyObjective.Microseconds())
	case "worth":
		c.PriorityWeight = new(float64)
		*c.PriorityWeight, err = readNumber(place, member.value, MaxPriorityWeight)
	case "late-worth":
		c.LatePriorityWeight = new(float64)
		*c.LatePriorityWeight, err = readNumber(place, member.value, 1)
	default:
		err = unknownKeyError(place, member.key, classKeys, restartClassKeys)
	}
	return err
}

func validateEntryName(place, name string, seen map[string]bool) error {
	if err := ValidateName(place, name); err != nil {
		return err
	}
	if seen[name] {
		return fmt.Errorf("%s: found %q twice, wanted each once", place, name)
	}
	seen[name] = true
	return nil
}
