package scale

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/fleet/configuration"
)

// ReportKind is what a record of a hollow process tells.
type ReportKind uint8

// The kinds of record, and what their fields hold beside At.
const (
	ReportReady   ReportKind = iota + 1 // the process is up; then: its subscribers are known
	ReportStart                         // Subscriber has started
	ReportEnd                           // Subscriber has ended
	ReportApplied                       // Subscriber has Value, a version, of Service in force; 0 for dropped
	ReportBytes                         // Value bytes went over all connections within a second
	ReportWorst                         // Value bytes were the most of any, those of Subscriber
	ReportDone                          // the process ends now
)

// Report is one record.
type Report struct {
	Kind       ReportKind
	Service    uint16
	Subscriber uint32
	Value      uint64
	At         time.Duration
}

// NotSubscribed is the Service of an application that the subscriber did not ask for.
const NotSubscribed = 1<<16 - 1

const reportBytes = 1 + 2 + 4 + 8 + 8

// Append writes a record behind text.
func (r *Report) Append(text []byte) []byte {
	text = append(text, byte(r.Kind))
	text = binary.LittleEndian.AppendUint16(text, r.Service)
	text = binary.LittleEndian.AppendUint32(text, r.Subscriber)
	text = binary.LittleEndian.AppendUint64(text, r.Value)
	return binary.LittleEndian.AppendUint64(text, uint64(r.At))
}

// ReadReport reads one record; io.EOF where there is none any more.
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

// Version is Value as that of a resource.
func (r *Report) Version() configuration.Version { return configuration.Version(r.Value) }

// Order is what the rig tells a hollow process, one JSON object a line.
type Order struct {
	Spec *HollowSpec `json:"spec,omitempty"` // the first order
	// Start and Restart name subscribers by their number within the process; each is
	// started at a drawn moment within WithinMS.
	Start    []int `json:"start,omitempty"`
	Restart  []int `json:"restart,omitempty"`
	WithinMS int   `json:"within_ms,omitempty"`
	End      bool  `json:"end,omitempty"`
}

// HollowSpec is what the subscribers of a process are.
type HollowSpec struct {
	Region      string             `json:"region"`
	Seed        uint64             `json:"seed"`
	Relays      []string           `json:"relays"`
	Services    []string           `json:"services"`
	Subscribers []HollowSubscriber `json:"subscribers"`
}

// HollowSubscriber is one of them; relays and services by number.
type HollowSubscriber struct {
	Name     string `json:"name"`
	Relays   []int  `json:"relays"`
	Services []int  `json:"services"`
}

// Now is the moment by CLOCK_MONOTONIC.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(fmt.Sprintf("CLOCK_MONOTONIC: %v", err)) // every Linux has it
	}
	return time.Duration(now.Nano())
}
