package endpointlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// MaxEntries is the largest number of servers in an update. Larger updates are rejected.
const MaxEntries = 4096

// Server statuses on the wire.
const (
	statusActive  = "active"
	statusLeaving = "leaving"
	statusLeft    = "left"
)

var statuses = []string{statusActive, statusLeaving, statusLeft}

// ErrMalformed is returned for an answer from discovery that is not a valid update.
var ErrMalformed = errors.New("malformed endpoint list")

// Entry is a server's entry as encoded by discovery.
type Entry struct {
	Name           string
	Status         string
	JSON           json.RawMessage // the complete entry, relayed unchanged
	changedVersion int64           // version of the list at which the entry last changed
}

// Update is a snapshot of the list or a delta between two of its versions.
type Update struct {
	Source  string  // name of the source that assigned the versions
	From    int64   // version that a delta starts from; 0 for a snapshot
	Version int64   // version that the update leads to
	Entries []Entry // a snapshot contains no departed server
}

// wireUpdate is the JSON encoding of an update. Index is the version.
type wireUpdate struct {
	Index     *int64            `json:"index"`
	Snapshot  *bool             `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"`
}

// wireEntry holds the fields of a server's entry that are decoded. Relaying uses the
// complete entry.
type wireEntry struct {
	Name   string `json:"name"`
	Status string `json:"status"`
}

// Decode decodes discovery's answer to a request for the changes since the given version.
// If since is 0, the request was for a snapshot. A single malformed entry makes the whole
// answer malformed. All errors wrap ErrMalformed.
func Decode(text []byte, source string, since int64) (Update, error) {
	var wire wireUpdate
	if err := json.Unmarshal(text, &wire); err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if wire.Index == nil || *wire.Index < 0 || wire.Snapshot == nil || wire.Endpoints == nil || len(wire.Endpoints) > MaxEntries {
		return Update{}, fmt.Errorf("%w: found %.60q, wanted index, snapshot and up to %d endpoints", ErrMalformed, text, MaxEntries)
	}
	update := Update{Source: source, From: since, Version: *wire.Index}
	if *wire.Snapshot {
		update.From = 0
	} else if since == 0 {
		return Update{}, fmt.Errorf("%w: found a delta, wanted a snapshot", ErrMalformed)
	}
	for i, entryText := range wire.Endpoints {
		var entry wireEntry
		if err := json.Unmarshal(entryText, &entry); err != nil || entry.Name == "" || !slices.Contains(statuses, entry.Status) {
			return Update{}, fmt.Errorf("%w: endpoint %d: found %.60q, wanted a name and a status", ErrMalformed, i, entryText)
		}
		update.Entries = append(update.Entries, Entry{Name: entry.Name, Status: entry.Status, JSON: entryText})
	}
	return update, nil
}

// Encode encodes an update in discovery's format. It returns nil if the JSON of an entry
// is malformed. Decode never returns such an entry.
func (u *Update) Encode() []byte {
	snapshot := u.From == 0
	wire := wireUpdate{Index: &u.Version, Snapshot: &snapshot, Endpoints: make([]json.RawMessage, 0, len(u.Entries))}
	for _, entry := range u.Entries {
		wire.Endpoints = append(wire.Endpoints, entry.JSON)
	}
	text, err := json.Marshal(wire)
	if err != nil {
		return nil
	}
	return text
}

// withStatusLeft returns an entry's JSON with its status set to statusLeft, or the
// unchanged JSON if it cannot be decoded.
func withStatusLeft(text json.RawMessage) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return text
	}
	fields["status"] = json.RawMessage(`"` + statusLeft + `"`)
	out, err := json.Marshal(fields)
	if err != nil {
		return text
	}
	return out
}
