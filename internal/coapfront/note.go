package coapfront

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

// A note is what a process leaves at a stop in order, so that the next one knows
// what has run. While a process runs, the file holds its mark: one that is
// killed leaves that, and the next one knows that it knows nothing.

const (
	noteHead = "otterspring coap note 1\n"
	markHead = "otterspring coap running "
)

// note is what was left.
type note struct {
	Boot    string `json:"boot"`     // of the machine's start
	AtMS    int64  `json:"at_ms"`    // since then
	CleanMS int64  `json:"clean_ms"` // for how long the writer still had to wait
	Table   []byte `json:"-"`
}

// life is a process's hold on its file.
type life struct {
	path string
	mark string
}

// sinceBoot is a clock that neither steps nor stops in a sleep, and what names the
// machine's start: between two processes of one start it tells how long ago a note
// was written, which the wall clock does not where it is set.
func sinceBoot() (ms int64, boot string, err error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, "", err
	}
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return ts.Nano() / 1e6, strings.TrimSpace(string(id)), err
}

// begin reads what the process before left at path, and puts this one's mark
// there. clean says that nothing is unknown of earlier processes: there was none,
// or it left a note. why says what was found where that is not so.
func begin(path string) (l *life, left *note, clean bool, why string, err error) {
	token := make([]byte, 16)
	rand.Read(token)
	l = &life{path: path, mark: fmt.Sprintf("%s%d %s\n", markHead, os.Getpid(), hex.EncodeToString(token))}
	text, err := disk.Read(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		clean = true
	case err != nil:
		return nil, nil, false, "", fmt.Errorf("coap: state: %w", err)
	case strings.HasPrefix(string(text), markHead):
		why = "the process before was killed"
	default:
		if left, err = readNote(text); err != nil {
			why = err.Error()
		}
		clean = err == nil
	}
	// The mark is on the disk before anything is received.
	if err := disk.Replace(path, []byte(l.mark), true); err != nil {
		return nil, nil, false, "", fmt.Errorf("coap: state: %w", err)
	}
	return l, left, clean, why, nil
}

// readNote reads a note of this start of the machine.
func readNote(text []byte) (*note, error) {
	rest, ok := bytes.CutPrefix(text, []byte(noteHead))
	if !ok || len(rest) < sha256.Size || len(text) > exchange.MaxTableSize {
		return nil, fmt.Errorf("found %d bytes that are no note of version 1", len(text))
	}
	body, sum := rest[:len(rest)-sha256.Size], rest[len(rest)-sha256.Size:]
	if want := sha256.Sum256(body); string(want[:]) != string(sum) {
		return nil, errors.New("found a note with another checksum than it has")
	}
	head, table, _ := bytes.Cut(body, []byte("\n"))
	n := &note{Table: table}
	if err := json.Unmarshal(head, n); err != nil {
		return nil, fmt.Errorf("found a note that can't be read: %w", err)
	}
	_, boot, err := sinceBoot()
	if err != nil || boot != n.Boot {
		return nil, errors.New("found a note of an earlier start of the machine")
	}
	return n, nil
}

// age is how long ago a note was written.
func (n *note) age() time.Duration {
	now, _, err := sinceBoot()
	if err != nil {
		return 0 // the longest memory
	}
	return time.Duration(max(0, now-n.AtMS)) * time.Millisecond
}

// end leaves a note, if the file is still this process's: where another has begun
// meanwhile, its mark says more.
func (l *life) end(table []byte, cleanIn time.Duration) error {
	if text, err := disk.Read(l.path); err != nil || string(text) != l.mark {
		return fmt.Errorf("coap: state: %s: found another process's mark, wanted the own one: no note is left", l.path)
	}
	now, boot, err := sinceBoot()
	if err != nil {
		return fmt.Errorf("coap: state: %w", err)
	}
	head, err := json.Marshal(note{Boot: boot, AtMS: now, CleanMS: cleanIn.Milliseconds()})
	if err != nil {
		return fmt.Errorf("coap: state: %w", err)
	}
	body := append(append(head, '\n'), table...)
	sum := sha256.Sum256(body)
	return disk.Replace(l.path, bytes.Join([][]byte{[]byte(noteHead), body, sum[:]}, nil), true)
}
