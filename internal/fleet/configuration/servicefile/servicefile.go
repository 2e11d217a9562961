// Package servicefile is the form in which operators write the settings of a
// service: TOML, parsed strictly, for the JSON that a coordination cluster agrees on and
// sidecars apply.
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
// A file without tenants leaves those of the sidecars unchanged; tenant = [] removes
// them. Package configuration has the limits.
package servicefile

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/strictconfig"
)

// File is a service and its settings.
type File struct {
	Service  string
	Settings json.RawMessage // in the form of configuration.Settings
}

// document is the format of a file. The keys that it refuses are those of a sidecar's
// own files that take effect at a restart only.
type document struct {
	Service string   `toml:"service" need:"true"`
	Tenants []tenant `toml:"tenant" max:"128"`
	Classes []class  `toml:"class" max:"32"`

	_ struct{} `toml:"limits" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"rules" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"extra" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"discovery" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"round" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"over_share_worth" refused:"it in the sidecars' files, with a rolling restart"`
}

type tenant struct {
	Name  string  `toml:"name" need:"true"`
	Quota float64 `toml:"quota_per_s" min:"0" max:"1e9"`
}

type class struct {
	Name               string           `toml:"name" need:"true"`
	LatencyObjective   optionalDuration `toml:"aim"`
	PriorityWeight     optionalWeight   `toml:"worth"`
	LatePriorityWeight optionalFraction `toml:"late_worth"`

	_ struct{} `toml:"deadline" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"aim_stretch" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"effect" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"group" refused:"it in the sidecars' files, with a rolling restart"`
	_ struct{} `toml:"window" refused:"it in the sidecars' files, with a rolling restart"`
}

// optionalDuration is a duration of a latency objective; nil if the file has none.
type optionalDuration struct{ microseconds *int64 }

// UnmarshalText parses a duration of whole microseconds up to
// configuration.MaxLatencyObjective.
func (d *optionalDuration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || value < 0 || value > configuration.MaxLatencyObjective || value%time.Microsecond != 0 {
		return fmt.Errorf(`a duration of whole microseconds with its unit, like "250ms", of %v at most`, configuration.MaxLatencyObjective)
	}
	microseconds := value.Microseconds()
	d.microseconds = &microseconds
	return nil
}

// optionalWeight is a priority weight; nil if the file has none.
type optionalWeight struct{ value *float64 }

// UnmarshalText parses a number from 0 to configuration.MaxPriorityWeight.
func (w *optionalWeight) UnmarshalText(text []byte) (err error) {
	w.value, err = parseNumber(text, configuration.MaxPriorityWeight)
	return err
}

// optionalFraction is a number from 0 to 1; nil if the file has none.
type optionalFraction struct{ value *float64 }

// UnmarshalText parses a number from 0 to 1.
func (f *optionalFraction) UnmarshalText(text []byte) (err error) {
	f.value, err = parseNumber(text, 1)
	return err
}

func parseNumber(text []byte, limit float64) (*float64, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(value >= 0 && value <= limit) {
		return nil, fmt.Errorf("a number from 0 to %v", limit)
	}
	return &value, nil
}

// Load reads and parses a file, and validates it as a coordination cluster and a sidecar
// will.
func Load(path string) (*File, error) {
	text, err := strictconfig.Read(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text)
}

// Decode is Load for the text of a file; name is the file's name in errors. Errors are
// one line: a *strictconfig.Error, or one that wraps a *configuration.ValidationError.
func Decode(name string, text []byte) (*File, error) {
	var file document
	if err := strictconfig.Decode(name, text, &file); err != nil {
		return nil, err
	}
	if err := configuration.ValidateName("service", file.Service); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	settings, err := encodeSettings(&file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &File{Service: file.Service, Settings: settings}, nil
}

// encodeSettings returns the JSON of a document's settings, if they are valid.
func encodeSettings(file *document) (json.RawMessage, error) {
	text, err := json.Marshal(file.settings())
	if err == nil {
		_, err = configuration.ParseSettings(text)
	}
	return text, err
}

func (d *document) settings() configuration.Settings {
	var settings configuration.Settings
	if d.Tenants != nil { // an empty list removes the tenants, an absent one does not
		settings.Tenants = []configuration.Tenant{}
	}
	if d.Classes != nil {
		settings.Classes = []configuration.Class{}
	}
	for _, tenant := range d.Tenants {
		settings.Tenants = append(settings.Tenants, configuration.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	for _, class := range d.Classes {
		settings.Classes = append(settings.Classes, configuration.Class{
			Name:                         class.Name,
			LatencyObjectiveMicroseconds: class.LatencyObjective.microseconds,
			PriorityWeight:               class.PriorityWeight.value,
			LatePriorityWeight:           class.LatePriorityWeight.value,
		})
	}
	return settings
}

// Encode returns the text of a file that Decode parses. Its error is the one of
// configuration.ParseSettings.
func Encode(file *File) (string, error) {
	settings, err := configuration.ParseSettings(file.Settings)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "service = %q\n", file.Service)
	if settings.Tenants != nil && len(settings.Tenants) == 0 {
		text.WriteString("tenant = []\n")
	}
	if settings.Classes != nil && len(settings.Classes) == 0 {
		text.WriteString("class = []\n")
	}
	for _, tenant := range settings.Tenants {
		fmt.Fprintf(&text, "\n[[tenant]]\nname = %q\nquota_per_s = %s\n", tenant.Name, formatNumber(tenant.Quota))
	}
	for _, class := range settings.Classes {
		fmt.Fprintf(&text, "\n[[class]]\nname = %q\n", class.Name)
		if class.LatencyObjectiveMicroseconds != nil {
			fmt.Fprintf(&text, "aim = %q\n", time.Duration(*class.LatencyObjectiveMicroseconds)*time.Microsecond)
		}
		if class.PriorityWeight != nil {
			fmt.Fprintf(&text, "worth = %s\n", formatNumber(*class.PriorityWeight))
		}
		if class.LatePriorityWeight != nil {
			fmt.Fprintf(&text, "late_worth = %s\n", formatNumber(*class.LatePriorityWeight))
		}
	}
	return text.String(), nil
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
