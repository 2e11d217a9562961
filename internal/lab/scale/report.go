package scale

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/fleet/configuration"
)

// ReportKind is the kind of a simulator's report.
type ReportKind uint8

// The kinds of report, with the fields that they use in addition to At.
const (
	ReportReady    ReportKind = iota + 1 // the process has started, or it has created its subscribers
	ReportStarted                        // Subscriber has started
	ReportStopped                        // Subscriber has stopped
	ReportApplied                        // Subscriber has applied the version Value of Service; Value is 0 for a removal
	ReportBytes                          // all connections together have carried Value bytes within a second
	ReportMaxBytes                       // Subscriber had the most traffic of all: Value bytes within a second
	ReportDone                           // the process exits
)

// Report is a message from a simulator to the rig.
type Report struct {
	Kind       ReportKind
	Service    uint16
	Subscriber uint32
	Value      uint64
	At         time.Duration
}

// NotSubscribed is the Service of a report about a service that the subscriber has not subscribed
// to.
const NotSubscribed = 1<<16 - 1

const reportBytes = 1 + 2 + 4 + 8 + 8

// Append appends the encoded report to text.
func (r *Report) Append(text []byte) []byte {
	text = append(text, byte(r.Kind))
	text = binary.LittleEndian.AppendUint16(text, r.Service)
	text = binary.LittleEndian.AppendUint32(text, r.Subscriber)
	text = binary.LittleEndian.AppendUint64(text, r.Value)
	return binary.LittleEndian.AppendUint64(text, uint64(r.At))
}

// ReadReport reads one report. It returns io.EOF at the end of the input.
func ReadReport(in io.Reader) (Report, error) {
	var text [reportBytes]byte
	if _, err := io.ReadFull(in, text[:]); err != nil {
		return Report{}, err
	}
	r := Report{
		Kind:       ReportKind(text[0]),
		Service:    binary.LittleEndian.Uint16(text[1:]),
		Subscriber: binary.LittleEndian.Uint32(text[3:]),
		Value:      binary.LittleEndian.Uint64(text[7:]),
		At:         time.Duration(binary.LittleEndian.Uint64(text[15:])),
	}
	if r.Kind < ReportReady || r.Kind > ReportDone {
		return Report{}, fmt.Errorf("report: found kind %d, wanted %d to %d", r.Kind, ReportReady, ReportDone)
	}
	return r, nil
}

// Version returns Value as a version.
func (r *Report) Version() configuration.Version { return configuration.Version(r.Value) }

// Command is a message from the rig to a simulator: one JSON object per line.
type Command struct {
	Spec *SimulatorSpec `json:"spec,omitempty"` // only in the first command
	// Start and Restart are numbers of subscribers within the process. Each subscriber starts
	// at a random time within WithinMS milliseconds.
	Start    []int `json:"start,omitempty"`
	Restart  []int `json:"restart,omitempty"`
	WithinMS int   `json:"within_ms,omitempty"`
	Stop     bool  `json:"end,omitempty"`
}

// SimulatorSpec describes the subscribers of a simulator.
type SimulatorSpec struct {
	Region      string           `json:"region"`
	Seed        uint64           `json:"seed"`
	Relays      []string         `json:"relays"`
	Services    []string         `json:"services"`
	Subscribers []SubscriberSpec `json:"subscribers"`
}

// SubscriberSpec describes one subscriber of a simulator. Relays and Services are indexes into the
// fields Relays and Services of the SimulatorSpec.
type SubscriberSpec struct {
	Name     string `json:"name"`
	Relays   []int  `json:"relays"`
	Services []int  `json:"services"`
}

// Now returns the time of CLOCK_MONOTONIC, which all processes of a machine share.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(fmt.Sprintf("CLOCK_MONOTONIC: %v", err)) // every Linux kernel has this clock
	}
	return time.Duration(now.Nano())
}
