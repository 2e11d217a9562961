// Package history stores the events of a run of many processes in a file, which can be checked
// after the run: requests and responses, executed effects, discovery notifications, operators'
// orders, effects of lease holders, and faults. Apart from reading and writing that file it
// has no side effects.
//
// A file consists of lines of JSON: a header, the entries in the order in which they were
// recorded, and a trailer with the number of entries. One monotonic clock of the rig supplies
// the times of all entries. The trailer is missing if the rig was killed. A history without a
// trailer is checked as far as it goes, and reported as truncated.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"otterspring/internal/lab/invariant"
	"otterspring/internal/strictconfig"
)

// Version is the version of the file format; files of any other version are rejected.
const Version = 1

// MaxEntries bounds the number of entries in a history. Entries beyond MaxEntries are not stored.
// They make the run void, and the trailer has their number.
const MaxEntries = 5_000_000

// The kinds of entries other than the events of an invariant.Checker. The names in the
// comments are fields of Entry.
const (
	KindOrder       invariant.EventKind = "order"  // Actor ordered Target to do Op, with Result at End
	KindEffect      invariant.EventKind = "effect" // Actor did Op to Target as the holder of Lease in epoch Number
	KindOperation   invariant.EventKind = "op"     // Actor did Op on Key; Op is "read", "write", "cas", "take" or "check"
	KindObservation invariant.EventKind = "saw"    // Actor had version Number of Key: the index of a list, or an epoch
	KindGrant       invariant.EventKind = "grant"  // Actor granted Amount units of Key to Target, until End
	KindLimit       invariant.EventKind = "limit"  // from now on, the grants for Key may total at most Amount
	KindFault       invariant.EventKind = "fault"  // fault Op was injected into Actor, until End
	// KindProcess: the process named by Actor changed its state or logged a line. Op is "started",
	// "ready", "stopped", "woken", "ended", "killed" or "said". For the rig, Op is "teardown".
	KindProcess invariant.EventKind = "process"
	KindVoid    invariant.EventKind = "void" // the run is inconclusive; Value gives the reason
)

// The results of an order, an effect or an operation.
const (
	Done    = "done"
	Refused = "refused"
	Unknown = "unknown" // no answer: the operation may have been executed, or may be executed later
)

// Entry is one recorded event. Kind determines which fields are used.
type Entry struct {
	invariant.Event
	End      time.Duration `json:"end,omitempty"` // 0 if the event has not ended or its end is unknown
	Result   string        `json:"result,omitempty"`
	Actor    string        `json:"who,omitempty"`
	Target   string        `json:"to,omitempty"`
	Lease    string        `json:"duty,omitempty"`
	Number   uint64        `json:"number,omitempty"` // an epoch, the index of a list, or the ID of a process
	Op       string        `json:"op,omitempty"`
	Key      string        `json:"key,omitempty"`
	Expected string        `json:"old,omitempty"` // value that a cas expects
	Value    string        `json:"value,omitempty"`
	Amount   float64       `json:"amount,omitempty"`

	Line int `json:"-"` // line number in the file, from 1
}

// Header is the first line: it identifies the run.
type Header struct {
	Version           int             `json:"otterspring_history"`
	Clock             string          `json:"clock"` // identifies the clock: times of different clocks can't be compared
	Experiment        string          `json:"storm"`
	Seed              uint64          `json:"seed"`
	Rules             invariant.Rules `json:"rules"`
	UnrecordedClients bool            `json:"rude,omitempty"` // some clients send requests that the history doesn't record
}

// trailer is the last line.
type trailer struct {
	End   int `json:"end_of_history"`
	Extra int `json:"not_kept"`
}

// Writer writes a history. It is safe for concurrent use.
type Writer struct {
	mu      sync.Mutex
	buf     *bufio.Writer
	closer  io.Closer // closes the file; nil for a Writer that NewWriter returned
	enc     *json.Encoder
	count   int
	dropped int   // entries beyond MaxEntries
	err     error // the first error; nothing is written after it
}

// Create creates a history at path, replacing an existing file.
func Create(path string, h Header) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	w := NewWriter(f, h)
	w.closer = f
	return w, nil
}

// NewWriter begins a history on w with its header.
func NewWriter(w io.Writer, h Header) *Writer {
	h.Version = Version
	b := bufio.NewWriterSize(w, 256<<10)
	out := &Writer{buf: b, enc: json.NewEncoder(b)}
	out.err = out.enc.Encode(h)
	return out
}

// Add writes an entry.
func (w *Writer) Add(e Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.err != nil:
	case w.count >= MaxEntries:
		w.dropped++
	default:
		w.count++
		w.err = w.enc.Encode(&e)
	}
}

// AddEvent writes an event of an invariant.Checker.
func (w *Writer) AddEvent(e invariant.Event) { w.Add(Entry{Event: e}) }

// Close writes the trailer and closes the file. If an earlier write failed, Close writes no
// trailer and the returned error includes the error of that write.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.enc.Encode(trailer{w.count, w.dropped})
	}
	err := errors.Join(w.err, w.buf.Flush())
	if w.closer != nil {
		err = errors.Join(err, w.closer.Close())
	}
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}

// History is the content of a history file.
type History struct {
	Header
	Entries   []Entry
	Truncated bool // it has no trailer: the rig was killed, or its disk was full
	Dropped   int  // number of entries beyond MaxEntries
}

// Load reads the history at path. Its errors are of type *strictconfig.Error: one line
// with the file, the line, what was found and what is wanted.
func Load(path string) (*History, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &strictconfig.Error{File: path, Found: err.Error(), Wanted: "a history"}
	}
	defer f.Close()
	return Read(path, f)
}

// Read reads a history; name is the name of the file in errors.
func Read(name string, r io.Reader) (*History, error) {
	invalid := func(line int, key, found, wanted string) error {
		return &strictconfig.Error{File: name, Line: line, Key: key, Found: found, Wanted: wanted}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), 1<<20)
	h := &History{Truncated: true}
	line := 0
	for scanner.Scan() {
		line++
		text := scanner.Bytes()
		if line == 1 {
			if err := json.Unmarshal(text, &h.Header); err != nil || h.Version == 0 {
				return nil, invalid(1, "otterspring_history", "a line that is not a header", "the header of a history")
			}
			if h.Version != Version {
				return nil, invalid(1, "otterspring_history", "version "+strconv.Itoa(h.Version), "version "+strconv.Itoa(Version))
			}
			continue
		}
		var probe struct {
			Kind    string `json:"do"`
			Version int    `json:"otterspring_history"`
			Clock   string
			Count   *int `json:"end_of_history"`
			Dropped int  `json:"not_kept"`
		}
		if err := json.Unmarshal(text, &probe); err != nil {
			if atEnd(scanner) {
				return h, nil // the last line is truncated
			}
			return nil, invalid(line, "", "a line that is not JSON", "an entry")
		}
		switch {
		case probe.Version > 0:
			return nil, invalid(line, "clock", "a second header, of clock "+strconv.Quote(probe.Clock), "one clock, "+strconv.Quote(h.Clock)+": times of different clocks can't be compared")
		case probe.Count != nil:
			if *probe.Count != len(h.Entries) {
				return nil, invalid(line, "end_of_history", fmt.Sprintf("a trailer that counts %d entries after %d", *probe.Count, len(h.Entries)), "the number of entries in the file")
			}
			h.Truncated, h.Dropped = false, probe.Dropped
		case !h.Truncated:
			return nil, invalid(line, "", "a line after the trailer", "the end of the file")
		default:
			var e Entry
			if err := json.Unmarshal(text, &e); err != nil {
				return nil, invalid(line, "", "an entry with a value of the wrong type", "numbers, strings and booleans as this version writes them")
			}
			if !knownKinds[e.Kind] {
				return nil, invalid(line, "do", strconv.Quote(probe.Kind), "a kind of entry that this version knows")
			}
			e.Line = line
			h.Entries = append(h.Entries, e)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, invalid(line+1, "", err.Error(), "lines of 1 MiB at most")
	}
	if line == 0 {
		return nil, invalid(1, "", "an empty file", "the header of a history")
	}
	return h, nil
}

// atEnd consumes the next line, if there is one, and reports whether there was none.
func atEnd(scanner *bufio.Scanner) bool { return !scanner.Scan() }

// knownKinds are the kinds of entries that Read accepts.
var knownKinds = map[invariant.EventKind]bool{
	invariant.KindRequestSent: true, invariant.KindAnswered: true, invariant.KindConnectionBroke: true, invariant.KindAbandoned: true, invariant.KindAttemptArrived: true, invariant.KindEffectExecuted: true, invariant.KindNotified: true,
	invariant.KindEndpointChanged: true, invariant.KindDiscoveryUnavailable: true, invariant.KindRestarted: true, invariant.KindKillAnnounced: true, invariant.KindKilled: true,
	invariant.KindSuspended: true, invariant.KindPartitioned: true, invariant.KindKillExcused: true,
	KindOrder: true, KindEffect: true, KindOperation: true, KindObservation: true, KindGrant: true, KindLimit: true, KindFault: true, KindProcess: true, KindVoid: true,
}
