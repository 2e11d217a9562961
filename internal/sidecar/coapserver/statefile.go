package coapserver

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/coap/exchange"
	"otterspring/internal/disk"
)

// While a process runs, the state file holds its marker; a graceful shutdown replaces it
// by a record of the unsafe exchanges. A process that finds a marker knows that its
// predecessor crashed, and that the exchanges are unknown.

const (
	recordHeader = "otterspring coap note 1\n"
	markerPrefix = "otterspring coap running "
	// markerTokenBytes is the length of the random token that tells apart markers of
	// processes with the same ID.
	markerTokenBytes = 16
)

// ErrStateFile wraps each failure to read or write the state file.
var ErrStateFile = errors.New("coap: state")

// Reasons for which the exchanges of the previous process are unknown, or not saved.
var (
	errCrashed         = errors.New("found the marker of a process that crashed, wanted a shutdown record")
	errMalformedRecord = errors.New("found a malformed shutdown record, wanted one of version 1")
	errOtherBoot       = errors.New("found a shutdown record from before the machine's last boot")
	errOtherMarker     = errors.New("found another process's marker, wanted this process's")
)

// shutdownRecord is what a process saves on a graceful shutdown. The header is one line of
// JSON; the table of exchanges and a SHA-256 over both follow.
type shutdownRecord struct {
	BootID          string `json:"boot"`
	SavedAtMillis   int64  `json:"at_ms"`    // since boot
	UncertainMillis int64  `json:"clean_ms"` // for how long even earlier exchanges were unknown
	Table           []byte `json:"-"`
}

// stateFile is a process's claim on the state file.
type stateFile struct {
	path   string
	marker string
}

// previousState is what the previous process left. unknown is nil where no exchange of an
// earlier process is unknown: there was none, or it left a record.
type previousState struct {
	record  *shutdownRecord // nil for none
	unknown error
}

// bootClock returns the time since boot in milliseconds, and the boot's ID. The clock
// counts during suspend and is never set, so that it tells the age of a record where the
// wall clock may not.
func bootClock() (millis int64, bootID string, err error) {
	var clock unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &clock); err != nil {
		return 0, "", err
	}
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return time.Duration(clock.Nano()).Milliseconds(), strings.TrimSpace(string(id)), err
}

// openStateFile reads what the previous process left at path and replaces it by this
// process's marker, synced before it returns. Its errors wrap ErrStateFile.
func openStateFile(path string) (*stateFile, previousState, error) {
	token := make([]byte, markerTokenBytes)
	rand.Read(token) // never fails
	file := &stateFile{path: path, marker: fmt.Sprintf("%s%d %s\n", markerPrefix, os.Getpid(), hex.EncodeToString(token))}
	var previous previousState
	text, err := disk.Read(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return nil, previous, fmt.Errorf("%w: %w", ErrStateFile, err)
	case strings.HasPrefix(string(text), markerPrefix):
		previous.unknown = errCrashed
	default:
		previous.record, previous.unknown = parseRecord(text)
	}
	if err := disk.Replace(path, []byte(file.marker), true); err != nil {
		return nil, previousState{}, fmt.Errorf("%w: %w", ErrStateFile, err)
	}
	return file, previous, nil
}

// parseRecord parses a shutdown record of the machine's present boot.
func parseRecord(text []byte) (*shutdownRecord, error) {
	rest, ok := bytes.CutPrefix(text, []byte(recordHeader))
	if !ok || len(rest) < sha256.Size || len(text) > exchange.MaxTableSize {
		return nil, fmt.Errorf("%w: %d bytes", errMalformedRecord, len(text))
	}
	body, checksum := rest[:len(rest)-sha256.Size], rest[len(rest)-sha256.Size:]
	if want := sha256.Sum256(body); !bytes.Equal(want[:], checksum) {
		return nil, fmt.Errorf("%w: checksum mismatch", errMalformedRecord)
	}
	header, table, _ := bytes.Cut(body, []byte("\n"))
	record := &shutdownRecord{Table: table}
	if err := json.Unmarshal(header, record); err != nil {
		return nil, fmt.Errorf("%w: header: %w", errMalformedRecord, err)
	}
	_, bootID, err := bootClock()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errOtherBoot, err)
	}
	if bootID != record.BootID {
		return nil, errOtherBoot
	}
	return record, nil
}

// age returns how long ago the record was saved.
func (r *shutdownRecord) age() time.Duration {
	now, _, err := bootClock()
	if err != nil {
		return 0 // the exchanges are remembered the longest
	}
	return time.Duration(max(0, now-r.SavedAtMillis)) * time.Millisecond
}

// save replaces the marker by a shutdown record. It fails where the file holds another
// process's marker: that one may have run requests that are unknown here.
func (f *stateFile) save(table []byte, uncertainFor time.Duration) error {
	text, err := disk.Read(f.path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStateFile, err)
	}
	if string(text) != f.marker {
		return fmt.Errorf("%w: %s: %w", ErrStateFile, f.path, errOtherMarker)
	}
	now, bootID, err := bootClock()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStateFile, err)
	}
	header, err := json.Marshal(shutdownRecord{BootID: bootID, SavedAtMillis: now, UncertainMillis: uncertainFor.Milliseconds()})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStateFile, err)
	}
	body := append(append(header, '\n'), table...)
	checksum := sha256.Sum256(body)
	return disk.Replace(f.path, bytes.Join([][]byte{[]byte(recordHeader), body, checksum[:]}, nil), true)
}
