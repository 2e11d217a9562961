// Package servicefile reads and writes the TOML files in which operators specify the
// settings of a service. Files are parsed strictly and converted to the JSON form that
// coordination clusters store and sidecars apply.
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
// A file without tenants leaves the tenants of the sidecars unchanged. A file with the line
// "tenant = []" removes them. The limits are those of package configuration.
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

// File contains the name of a service and its settings.
type File struct {
	Service  string
	Settings json.RawMessage // encoded configuration.Settings
}

// document is the schema of a file. The keys with the tag "refused" are valid in a sidecar's
// local configuration files, where they take effect only at a restart. A service file must
// not contain them.
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

// optionalDuration holds a latency objective. Its field is nil if the file does not set the
// objective.
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

// optionalWeight holds a priority weight. Its field is nil if the file does not set the
// weight.
type optionalWeight struct{ value *float64 }

// UnmarshalText parses a number from 0 to configuration.MaxPriorityWeight.
func (w *optionalWeight) UnmarshalText(text []byte) (err error) {
	w.value, err = parseNumber(text, configuration.MaxPriorityWeight)
	return err
}

// optionalFraction holds a number from 0 to 1. Its field is nil if the file does not set the
// number.
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

// Load reads and parses a file and applies the same validation as coordination clusters
// and sidecars.
func Load(path string) (*File, error) {
	text, err := strictconfig.Read(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text)
}

// Decode is like Load, but takes the content of the file; name is the file name used in
// errors. Errors are a single line: a *strictconfig.Error, or an error that wraps a
// *configuration.ValidationError.
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

// encodeSettings encodes the settings of a document as JSON and validates them.
func encodeSettings(file *document) (json.RawMessage, error) {
	text, err := json.Marshal(file.settings())
	if err == nil {
		_, err = configuration.ParseSettings(text)
	}
	return text, err
}

func (d *document) settings() configuration.Settings {
	var settings configuration.Settings
	if d.Tenants != nil { // an empty list removes the tenants, an absent one leaves them unchanged
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

// Encode returns the content of a file in the format that Decode parses. It returns the
// error from configuration.ParseSettings if the settings are invalid.
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
