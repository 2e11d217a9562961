package operatorconfig

import (
	"net/netip"
	"time"

	"otterspring/internal/strictconfig"
)

// Defaults returns the values of keys that are not set. Every feature is disabled.
func Defaults() File {
	return File{
		Handover:     Handover{StepTimeout: 10 * time.Second},
		EndpointList: EndpointList{Source: "discovery", Jitter: 2 * time.Second},
		CoAP: CoAP{
			MaxPendingRequests: 256, MaxDedupEntries: 4096, MaxDedupBytes: 1 << 20, MaxCompletedUnsafe: 65536,
			MaxTransfers: 16, MaxTransferBytes: 1 << 20, MaxObservers: 64, ObserveInterval: 2 * time.Second,
			AckTimeout:      2 * time.Second,
			TrustedNetworks: []Network{{netip.MustParsePrefix("127.0.0.0/8")}, {netip.MustParsePrefix("::1/128")}},
		},
	}
}

// Load reads and validates the file at path; an empty path means no file. It returns the first
// error of LoadAll.
func Load(path string) (File, error) {
	file, errs := LoadAll(path)
	if len(errs) > 0 {
		return file, errs[0]
	}
	return file, nil
}

// LoadAll reads and validates the file at path and returns all errors, each with its line and
// key. If there are errors, the returned File is the result of Defaults.
func LoadAll(path string) (File, []error) {
	file := Defaults()
	if path == "" {
		return file, nil
	}
	text, err := strictconfig.Read(path)
	if err != nil {
		return file, []error{err}
	}
	lines, faults := strictconfig.DecodeAll(path, text, &file)
	if len(faults) == 0 {
		faults = file.validate(path, lines)
	}
	if len(faults) == 0 {
		return file, nil
	}
	errs := make([]error, 0, len(faults))
	for _, fault := range faults {
		errs = append(errs, fault)
	}
	return Defaults(), errs
}
