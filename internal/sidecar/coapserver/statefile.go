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

// While a process runs, the state file holds its marker; a graceful shutdown replaces the
// marker by a record of the unsafe exchanges. A process that finds a marker at its start
// concludes that the previous process crashed, and that the exchanges of the previous process
// are unknown.

const (
	recordHeader = "otterspring coap note 1\n"
	markerPrefix = "otterspring coap running "
	// markerTokenBytes is the length of a random token that distinguishes the markers of
	// processes with the same process ID.
	markerTokenBytes = 16
)

// ErrStateFile is wrapped by all errors of reading and writing the state file.
var ErrStateFile = errors.New("coap: state")

// Reasons why the exchanges of the previous process are unknown, or why a record is not saved.
var (
	errCrashed         = errors.New("marker of a process that did not shut down gracefully")
	errMalformedRecord = errors.New("malformed shutdown record, or one of another version")
	errOtherBoot       = errors.New("shutdown record from before the last boot")
	errOtherMarker     = errors.New("file no longer holds the marker of this process")
)

// shutdownRecord is the state that a process saves on a graceful shutdown. The file begins
// with the line recordHeader. The second line has all fields except Table in JSON. The table
// of exchanges and a SHA-256 checksum of the second line and the table follow.
type shutdownRecord struct {
	BootID        string `json:"boot"`
	SavedAtMillis int64  `json:"at_ms"` // time at which the record was saved, since boot
	// UncertainMillis is the time during which clients can still retransmit requests that
	// they sent to earlier processes and that are unknown to the process that saved the record.
	UncertainMillis int64  `json:"clean_ms"`
	Table           []byte `json:"-"`
}

// stateFile is the state file of a running process, with the marker that it has written.
type stateFile struct {
	path   string
	marker string
}

// previousState is the state that the previous process left. unknownReason is nil if there
// was no previous process or if the previous process saved a valid record.
type previousState struct {
	record        *shutdownRecord // nil if there is no valid record
	unknownReason error
}

// bootClock returns the time since boot in milliseconds and the ID of the boot. It reads
// CLOCK_BOOTTIME, which is never set, unlike the wall clock, and which includes the time in
// suspend. The age of a record is therefore correct.
func bootClock() (millis int64, bootID string, err error) {
	var clock unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &clock); err != nil {
		return 0, "", err
	}
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return time.Duration(clock.Nano()).Milliseconds(), strings.TrimSpace(string(id)), err
}

// openStateFile reads the state of the previous process from path and replaces the file by
// the marker of this process. The marker is synced to disk before openStateFile returns. All
// errors wrap ErrStateFile.
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
		previous.unknownReason = errCrashed
	default:
		previous.record, previous.unknownReason = parseRecord(text)
	}
	if err := disk.Replace(path, []byte(file.marker), true); err != nil {
		return nil, previousState{}, fmt.Errorf("%w: %w", ErrStateFile, err)
	}
	return file, previous, nil
}

// parseRecord parses a shutdown record. It rejects a record from another boot.
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
		return 0 // keeps the exchanges for the longest time
	}
	return time.Duration(max(0, now-r.SavedAtMillis)) * time.Millisecond
}

// save replaces the marker by a shutdown record. It fails if the file no longer holds the
// marker of this process, because the process that replaced the marker may have executed
// requests that are unknown to this process.
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
