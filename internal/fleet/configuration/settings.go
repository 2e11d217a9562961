package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// settingsPath denotes the settings as a whole in validation errors. The paths of members
// omit it.
const settingsPath = "settings"

// Limits of the settings of one service.
const (
	MaxTenants          = 128
	MaxClasses          = 32
	MaxLatencyObjective = 10 * time.Minute
	MaxQuota            = 1e9 // requests per second
	MaxPriorityWeight   = 1e9
)

// Settings are the settings of a service that a running sidecar can apply. Absent fields
// leave the values from the sidecar's local configuration files unchanged.
type Settings struct {
	// Tenants replaces the sidecar's tenants and their quotas. If Tenants is absent, the
	// sidecar keeps its tenants; an empty list removes them.
	Tenants []Tenant `json:"tenants,omitzero"`
	Classes []Class  `json:"classes,omitzero"`
}

// Tenant is a customer with its quota.
type Tenant struct {
	Name string `json:"name"`
	// Quota is the agreed rate in requests per second over all sidecars; 0 means no quota.
	Quota float64 `json:"quota-per-s"`
}

// Class overrides settings of a request class that is defined in the sidecar's local
// configuration files.
type Class struct {
	Name string `json:"name"`
	// LatencyObjectiveMicroseconds is the latency up to which a response counts with its
	// full PriorityWeight.
	LatencyObjectiveMicroseconds *int64   `json:"aim-us,omitempty"`
	PriorityWeight               *float64 `json:"worth,omitempty"`
	// LatePriorityWeight is the fraction of PriorityWeight, from 0 to 1, with which a later
	// response counts.
	LatePriorityWeight *float64 `json:"late-worth,omitempty"`
}

// restartKeys and restartClassKeys are keys of the sidecar's local configuration files that
// take effect only at a restart. ParseSettings rejects settings that contain such keys,
// since a running sidecar would ignore them. The other variables list the valid keys.
var (
	topKeys          = []string{"tenants", "classes"}
	tenantKeys       = []string{"name", "quota-per-s"}
	classKeys        = []string{"name", "aim-us", "worth", "late-worth"}
	restartKeys      = []string{"limits", "rules", "extra", "discovery", "round-us", "over-share-worth"}
	restartClassKeys = []string{"deadline-us", "aim-stretch", "effect", "group", "window-us"}
)

// ParseSettings strictly parses and validates the settings of a service. Its error is a
// single line, in most cases a *ValidationError. Cluster members call it before proposing
// a change, and sidecars before applying one.
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

// canonicalSettings returns settings in the form in which they are stored and sent. The
// size limit applies to this form too, which can be longer than the original because
// json.Marshal escapes some characters.
func canonicalSettings(text []byte) (json.RawMessage, error) {
	if len(text) > MaxSettingsBytes {
		return nil, tooLargeError(settingsPath, len(text), "", MaxSettingsBytes)
	}
	canonical, err := json.Marshal(json.RawMessage(text))
	if err != nil || len(text) == 0 {
		return nil, invalidError(settingsPath, excerpt(text), "a JSON object and nothing after it")
	}
	if len(canonical) > MaxSettingsBytes {
		return nil, tooLargeError(settingsPath, len(canonical), " as they are sent", MaxSettingsBytes)
	}
	return canonical, nil
}

// unknownKeyError reports a key that is not in known. Its text states whether the key takes
// effect only at a restart.
func unknownKeyError(path, key string, known, restartKeys []string) error {
	expected := fmt.Sprintf("one of %q", known)
	if slices.Contains(restartKeys, key) {
		return invalidError(path, "a change that takes effect at a restart only", expected+": change the files and do a rolling restart")
	}
	return invalidError(path, "an unknown key", expected)
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
		return invalidError(path, fmt.Sprintf("%q twice", name), "each once")
	}
	seen[name] = true
	return nil
}
