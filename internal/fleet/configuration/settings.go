package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// settingsPath is the path of the whole settings in errors. Paths of their members leave
// it out.
const settingsPath = "settings"

// Limits of one service's settings.
const (
	MaxTenants          = 128
	MaxClasses          = 32
	MaxLatencyObjective = 10 * time.Minute
	MaxQuota            = 1e9 // requests per second
	MaxPriorityWeight   = 1e9
)

// Settings are the part of a service's settings that a running sidecar can apply.
// Absent fields leave those of the sidecar's own files unchanged.
type Settings struct {
	// Tenants replace the sidecar's tenants and their quotas; absent leaves them
	// unchanged, an empty list removes them.
	Tenants []Tenant `json:"tenants,omitzero"`
	Classes []Class  `json:"classes,omitzero"`
}

// Tenant is a customer with its agreed rate.
type Tenant struct {
	Name string `json:"name"`
	// Quota is in requests per second over all sidecars; 0 for none.
	Quota float64 `json:"quota-per-s"`
}

// Class has what may change of a request class of the sidecar's own files.
type Class struct {
	Name string `json:"name"`
	// LatencyObjectiveMicroseconds is the latency up to which a response counts with the
	// full PriorityWeight.
	LatencyObjectiveMicroseconds *int64   `json:"aim-us,omitempty"`
	PriorityWeight               *float64 `json:"worth,omitempty"`
	// LatePriorityWeight is the fraction of the weight that counts after that, 0 to 1.
	LatePriorityWeight *float64 `json:"late-worth,omitempty"`
}

// The restart keys are those of a sidecar's own files that a running one can't apply. A
// change of them is rejected, since it would have no effect.
var (
	topKeys          = []string{"tenants", "classes"}
	tenantKeys       = []string{"name", "quota-per-s"}
	classKeys        = []string{"name", "aim-us", "worth", "late-worth"}
	restartKeys      = []string{"limits", "rules", "extra", "discovery", "round-us", "over-share-worth"}
	restartClassKeys = []string{"deadline-us", "aim-stretch", "effect", "group", "window-us"} // of a class
)

// ParseSettings parses a service's settings strictly and validates them. The error is
// one line, in most cases a *ValidationError. A cluster member validates a change with
// it before proposing it, and a sidecar before applying it.
func ParseSettings(text []byte) (Settings, error) {
	canonical, err := canonicalSettings(text)
	if err != nil {
		return Settings{}, err
	}
	members, err := readObject(settingsPath, canonical)
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
			err = unknownKeyError(memberPath(settingsPath, member.key), member.key, topKeys, restartKeys)
		}
		if err != nil {
			return Settings{}, err
		}
	}
	return settings, nil
}

// canonicalSettings returns settings in the form in which they are stored and sent.
// Their size is limited in this form, too: it may be longer than the original, since
// json.Marshal escapes some characters.
func canonicalSettings(text []byte) (json.RawMessage, error) {
	if len(text) > MaxSettingsBytes {
		return nil, tooLarge(settingsPath, len(text), "", MaxSettingsBytes)
	}
	canonical, err := json.Marshal(json.RawMessage(text))
	if err != nil || len(text) == 0 {
		return nil, invalid(settingsPath, excerpt(text), "a JSON object and nothing after it")
	}
	if len(canonical) > MaxSettingsBytes {
		return nil, tooLarge(settingsPath, len(canonical), " as they are sent", MaxSettingsBytes)
	}
	return canonical, nil
}

// unknownKeyError returns the error for a key that is not one of the known ones.
func unknownKeyError(path, key string, known, restartKeys []string) error {
	expected := fmt.Sprintf("one of %q", known)
	if slices.Contains(restartKeys, key) {
		return invalid(path, "a change that takes effect at a restart only", expected+": change the files and do a rolling restart")
	}
	return invalid(path, "an unknown key", expected)
}

func readTenants(text json.RawMessage) ([]Tenant, error) {
	elements, err := readList("tenants", text, MaxTenants)
	if err != nil {
		return nil, err
	}
	tenants, names := make([]Tenant, len(elements)), map[string]bool{}
	for i, element := range elements {
		path := fmt.Sprintf("tenants[%d]", i)
		if err := tenants[i].read(path, element); err != nil {
			return nil, err
		}
		if err := validateEntryName(path+".name", tenants[i].Name, names); err != nil {
			return nil, err
		}
	}
	return tenants, nil
}

func (t *Tenant) read(path string, text json.RawMessage) error {
	members, err := readObject(path, text)
	if err != nil {
		return err
	}
	for _, member := range members {
		memberPath := memberPath(path, member.key)
		switch member.key {
		case "name":
			t.Name, err = readString(memberPath, member.value)
		case "quota-per-s":
			t.Quota, err = readNumber(memberPath, member.value, MaxQuota)
		default:
			err = unknownKeyError(memberPath, member.key, tenantKeys, nil)
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
		path := fmt.Sprintf("classes[%d]", i)
		if err := classes[i].read(path, element); err != nil {
			return nil, err
		}
		if err := validateEntryName(path+".name", classes[i].Name, names); err != nil {
			return nil, err
		}
	}
	return classes, nil
}

func (c *Class) read(path string, text json.RawMessage) error {
	members, err := readObject(path, text)
	if err != nil {
		return err
	}
	for _, member := range members {
		if err := c.readMember(memberPath(path, member.key), member); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) readMember(path string, member objectMember) (err error) {
	switch member.key {
	case "name":
		c.Name, err = readString(path, member.value)
	case "aim-us":
		c.LatencyObjectiveMicroseconds = new(int64)
		*c.LatencyObjectiveMicroseconds, err = readInteger(path, member.value, MaxLatencyObjective.Microseconds())
	case "worth":
		c.PriorityWeight = new(float64)
		*c.PriorityWeight, err = readNumber(path, member.value, MaxPriorityWeight)
	case "late-worth":
		c.LatePriorityWeight = new(float64)
		*c.LatePriorityWeight, err = readNumber(path, member.value, 1)
	default:
		err = unknownKeyError(path, member.key, classKeys, restartClassKeys)
	}
	return err
}

func validateEntryName(path, name string, seen map[string]bool) error {
	if err := ValidateName(path, name); err != nil {
		return err
	}
	if seen[name] {
		return invalid(path, fmt.Sprintf("%q twice", name), "each once")
	}
	seen[name] = true
	return nil
}
