// Package servicefile is the form in which operators write the settings of a
// service: TOML, read strictly, for the JSON that a council agrees on and sidecars
// take.
//
//	service = "mail"
//
//	[[tenant]]
//	name = "acme"
//	quota_per_s = 120
//
//	[[class]]
//	name = "interactive"
//	aim = "250ms"
//	worth = 2
//	late_worth = 0.5
//
// A file without tenants leaves those of the sidecars; tenant = [] removes them.
package servicefile

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/strictfile"
)

// File is a service and its settings, as they are sent to a council.
type File struct {
	Service  string
	Settings json.RawMessage
}

// document is what a file may hold. The keys that are refused stand in a sidecar's
// own files and take force when it starts.
type document struct {
	Service string   `toml:"service" need:"true"`
	Tenants []tenant `toml:"tenant" max:"128"`
	Classes []class  `toml:"class" max:"32"`

	_ struct{} `toml:"limits" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"rules" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"extra" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"discovery" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"round" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"over_share_worth" refused:"it in the sidecars' files, and a roll"`
}

type tenant struct {
	Name  string  `toml:"name" need:"true"`
	Quota float64 `toml:"quota_per_s" min:"0" max:"1e9"`
}

type class struct {
	Name      string `toml:"name" need:"true"`
	Aim       aim    `toml:"aim"`
	Worth     worth  `toml:"worth"`
	LateWorth share  `toml:"late_worth"`

	_ struct{} `toml:"deadline" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"aim_stretch" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"effect" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"group" refused:"it in the sidecars' files, and a roll"`
	_ struct{} `toml:"window" refused:"it in the sidecars' files, and a roll"`
}

// aim is a duration that a file may leave out.
type aim struct{ microseconds *int64 }

// UnmarshalText reads a duration of whole microseconds.
func (a *aim) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < 0 || value > configuration.MaxLatencyObjective || value%time.Microsecond != 0 {
		return fmt.Errorf(`a duration of whole microseconds with its unit, like "250ms", of %v at most`, configuration.MaxLatencyObjective)
	}
	microseconds := value.Microseconds()
	a.microseconds = &microseconds
	return nil
}

// worth is a number that a file may leave out.
type worth struct{ value *float64 }

// UnmarshalText reads a number from 0 to configuration.MaxPriorityWeight.
func (w *worth) UnmarshalText(text []byte) (err error) {
	w.value, err = parseNumber(text, configuration.MaxPriorityWeight)
	return err
}

// share is a number from 0 to 1 that a file may leave out.
type share struct{ value *float64 }

// UnmarshalText reads a number from 0 to 1.
func (s *share) UnmarshalText(text []byte) (err error) {
	s.value, err = parseNumber(text, 1)
	return err
}

func parseNumber(text []byte, most float64) (*float64, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(value >= 0 && value <= most) {
		return nil, fmt.Errorf("a number from 0 to %v", most)
	}
	return &value, nil
}

// Load reads a file and makes the checks that a council and a sidecar will make.
func Load(path string) (*File, error) {
	text, err := strictfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text)
}

// Decode is Load for a text; name stands for the file in errors.
func Decode(name string, text []byte) (*File, error) {
	var d document
	if err := strictfile.Decode(name, text, &d); err != nil {
		return nil, err
	}
	if err := configuration.ValidateName("service", d.Service); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	settings, err := encodeSettings(&d)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &File{Service: d.Service, Settings: settings}, nil
}

// encodeSettings returns the JSON of a document's settings, where they are good.
func encodeSettings(d *document) (json.RawMessage, error) {
	text, err := json.Marshal(d.settings())
	if err == nil {
		_, err = configuration.ParseSettings(text)
	}
	return text, err
}

func (d *document) settings() configuration.Settings {
	var settings configuration.Settings
	if d.Tenants != nil { // an empty list says that there are none, an absent one says nothing
		settings.Tenants = []configuration.Tenant{}
	}
	if d.Classes != nil {
		settings.Classes = []configuration.Class{}
	}
	for _, t := range d.Tenants {
		settings.Tenants = append(settings.Tenants, configuration.Tenant{Name: t.Name, Quota: t.Quota})
	}
	for _, c := range d.Classes {
		settings.Classes = append(settings.Classes, configuration.Class{
			Name: c.Name, LatencyObjectiveMicroseconds: c.Aim.microseconds, PriorityWeight: c.Worth.value, LatePriorityWeight: c.LateWorth.value,
		})
	}
	return settings
}

// Encode writes a service's settings as a file that Decode reads.
func Encode(f *File) (string, error) {
	settings, err := configuration.ParseSettings(f.Settings)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "service = %q\n", f.Service)
	if settings.Tenants != nil && len(settings.Tenants) == 0 {
		b.WriteString("tenant = []\n")
	}
	if settings.Classes != nil && len(settings.Classes) == 0 {
		b.WriteString("class = []\n")
	}
	for _, t := range settings.Tenants {
		fmt.Fprintf(&b, "\n[[tenant]]\nname = %q\nquota_per_s = %s\n", t.Name, number(t.Quota))
	}
	for _, c := range settings.Classes {
		fmt.Fprintf(&b, "\n[[class]]\nname = %q\n", c.Name)
		if c.LatencyObjectiveMicroseconds != nil {
			fmt.Fprintf(&b, "aim = %q\n", time.Duration(*c.LatencyObjectiveMicroseconds)*time.Microsecond)
		}
		if c.PriorityWeight != nil {
			fmt.Fprintf(&b, "worth = %s\n", number(*c.PriorityWeight))
		}
		if c.LatePriorityWeight != nil {
			fmt.Fprintf(&b, "late_worth = %s\n", number(*c.LatePriorityWeight))
		}
	}
	return b.String(), nil
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
