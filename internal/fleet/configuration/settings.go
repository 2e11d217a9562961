package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Bounds of one service's settings.
const (
	MaxTenants = 128
	MaxClasses = 32
	MaxAim     = 10 * time.Minute
	MaxQuota   = 1e9 // requests a second
	MaxWorth   = 1e9
)

// Settings are what a service's resource may say: what takes force in a running
// sidecar. Absent fields leave the sidecar's own as they are.
type Settings struct {
	// Tenants replace the sidecar's tenants and their shares; absent leaves them.
	Tenants []Tenant `json:"tenants,omitempty"`
	Classes []Class  `json:"classes,omitempty"`
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
	// AimMicroseconds is within what an answer earns the full worth.
	AimMicroseconds *int64   `json:"aim-us,omitempty"`
	Worth           *float64 `json:"worth,omitempty"`
	// LateWorth is the share of the worth that is left after the aim, 0 to 1.
	LateWorth *float64 `json:"late-worth,omitempty"`
}

// Keys of a sidecar's settings that a running one can't take. A change of them is
// refused, so that nobody waits for it to take force.
var (
	topKeys    = []string{"tenants", "classes"}
	tenantKeys = []string{"name", "quota-per-s"}
	classKeys  = []string{"name", "aim-us", "worth", "late-worth"}
	rollKeys   = []string{"limits", "rules", "extra", "discovery", "round-us", "over-share-worth"}
	rollOfOne  = []string{"deadline-us", "aim-stretch", "effect", "group", "window-us"} // of a class
)

// ParseSettings reads a service's settings strictly and checks them. The error is one
// line: which key, what was found and what is wanted. A council's member makes this
// check before it proposes a change, and a sidecar before it takes one.
func ParseSettings(text []byte) (Settings, error) {
	var settings Settings
	if len(text) > MaxSettingsBytes {
		return settings, fmt.Errorf("settings: found %d bytes, wanted %d at most", len(text), MaxSettingsBytes)
	}
	if err := checkKeys(text); err != nil {
		return settings, err
	}
	if err := decodeStrictly(text, &settings); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := settings.check(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// checkKeys names the first key that is not known or wants a roll.
func checkKeys(text []byte) error {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil || top == nil {
		return fmt.Errorf("settings: found %.40q, wanted a JSON object", text)
	}
	for _, key := range sortedKeys(top) {
		if err := checkKey(key, key, topKeys, rollKeys); err != nil {
			return err
		}
	}
	if err := checkEntries("tenants", top["tenants"], tenantKeys, nil); err != nil {
		return err
	}
	return checkEntries("classes", top["classes"], classKeys, rollOfOne)
}

func checkEntries(list string, text json.RawMessage, known, roll []string) error {
	var entries []map[string]json.RawMessage
	if text == nil {
		return nil
	}
	if err := json.Unmarshal(text, &entries); err != nil {
		return fmt.Errorf("%s: found %.40q, wanted a list of objects", list, text)
	}
	for i, entry := range entries {
		for _, key := range sortedKeys(entry) {
			if err := checkKey(fmt.Sprintf("%s[%d].%s", list, i, key), key, known, roll); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkKey(place, key string, known, roll []string) error {
	switch {
	case slices.Contains(known, key):
		return nil
	case slices.Contains(roll, key):
		return fmt.Errorf("%s: found a change that takes force at a start only, wanted one of %q: change the files and roll", place, known)
	}
	return fmt.Errorf("%s: found an unknown key, wanted one of %q", place, known)
}

func sortedKeys(m map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func decodeStrictly(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("found more behind the object, wanted its end")
	}
	return nil
}

func (s *Settings) check() error {
	if len(s.Tenants) > MaxTenants || len(s.Classes) > MaxClasses {
		return fmt.Errorf("settings: found %d tenants and %d classes, wanted %d and %d at most", len(s.Tenants), len(s.Classes), MaxTenants, MaxClasses)
	}
	names := map[string]bool{}
	for i, tenant := range s.Tenants {
		if err := checkEntryName("tenants", i, tenant.Name, names); err != nil {
			return err
		}
		if err := checkRange(fmt.Sprintf("tenants[%d].quota-per-s", i), tenant.Quota, MaxQuota); err != nil {
			return err
		}
	}
	clear(names)
	for i := range s.Classes {
		if err := checkEntryName("classes", i, s.Classes[i].Name, names); err != nil {
			return err
		}
		if err := s.Classes[i].check(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func checkEntryName(list string, i int, name string, seen map[string]bool) error {
	place := fmt.Sprintf("%s[%d].name", list, i)
	if err := CheckName(place, name); err != nil {
		return err
	}
	if seen[name] {
		return fmt.Errorf("%s: found %q twice, wanted each once", place, name)
	}
	seen[name] = true
	return nil
}

func (c *Class) check(place string) error {
	if c.AimMicroseconds != nil {
		if err := checkRange(place+".aim-us", float64(*c.AimMicroseconds), float64(MaxAim.Microseconds())); err != nil {
			return err
		}
	}
	if c.Worth != nil {
		if err := checkRange(place+".worth", *c.Worth, MaxWorth); err != nil {
			return err
		}
	}
	if c.LateWorth != nil {
		return checkRange(place+".late-worth", *c.LateWorth, 1)
	}
	return nil
}

func checkRange(place string, value, most float64) error {
	if math.IsNaN(value) || value < 0 || value > most {
		return fmt.Errorf("%s: found %v, wanted 0 to %v", place, value, most)
	}
	return nil
}
