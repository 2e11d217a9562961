package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterspring/internal/disk"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/inject"
)

// store is a member's disk.
type store struct {
	db    *bolt.DB
	path  string
	hard  *raftpb.HardState // not on the disk yet; nil if it is
	Syncs int
}

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	keyMember  = []byte("member")
	keyCouncil = []byte("council")
	keyForm    = []byte("form")
	keyHard    = []byte("hard")
	keySnap    = []byte("snapshot")
)

// form is the version of the file's layout.
const form = 1

// errEmpty is a directory without a state.
var errEmpty = errors.New("no state")

func storePath(dir string) string { return filepath.Join(dir, "council.db") }

// createStore makes the disk of a member that begins. A directory that has a state
// is refused.
func createStore(dir, name string, member uint64, d coordination.PersistentState) error {
	if err := disk.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(storePath(dir)); err == nil {
		return fmt.Errorf("%s: found a state, wanted none: a member that has been needs no word but run", dir)
	}
	s, err := openDB(storePath(dir) + ".new")
	if err != nil {
		return err
	}
	err = s.update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err == nil {
			_, err = tx.CreateBucketIfNotExists(bucketLog)
		}
		if err != nil {
			return err
		}
		return errors.Join(meta.Put(keyForm, number(form)), meta.Put(keyMember, number(member)), meta.Put(keyCouncil, []byte(name)))
	})
	if err == nil {
		err = s.save(coordination.Ready{HardState: d.HardState, Snapshot: d.Snapshot, MustSync: true})
	}
	if err = errors.Join(err, s.db.Close()); err != nil {
		return err
	}
	return disk.Rename(storePath(dir)+".new", storePath(dir))
}

func openDB(path string) (*store, error) {
	if err := inject.Disk("open", path); err != nil {
		return nil, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: another member has this directory", filepath.Dir(path))
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &store{db: db, path: path}, nil
}

// openStore opens a member's disk and reads all of it. It is refused where it is
// another's, another council's or a newer program's.
func openStore(dir, name string, member uint64) (*store, string, coordination.PersistentState, error) {
	var d coordination.PersistentState
	if _, err := os.Stat(storePath(dir)); err != nil {
		return nil, "", d, fmt.Errorf("%s: %w", dir, errEmpty)
	}
	s, err := openDB(storePath(dir))
	if err != nil {
		return nil, "", d, err
	}
	of := ""
	err = s.db.View(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return errors.New("found no member's state")
		}
		of = string(meta.Get(keyCouncil))
		switch {
		case value(meta.Get(keyForm)) > form:
			return fmt.Errorf("found form %d, wanted %d at most: a newer program wrote it", value(meta.Get(keyForm)), form)
		case value(meta.Get(keyMember)) != member:
			return fmt.Errorf("found the state of member %d, wanted member %d's", value(meta.Get(keyMember)), member)
		case nameOf(of) != name:
			return fmt.Errorf("found the state of council %q, wanted %q's", nameOf(of), name)
		}
		if text := meta.Get(keyHard); text != nil {
			d.HardState = &raftpb.HardState{}
			if err := proto.Unmarshal(text, d.HardState); err != nil {
				return err
			}
		}
		if text := meta.Get(keySnap); text != nil {
			d.Snapshot = &raftpb.Snapshot{}
			if err := proto.Unmarshal(text, d.Snapshot); err != nil {
				return err
			}
		}
		return log.ForEach(func(_, text []byte) error {
			e := &raftpb.Entry{}
			err := proto.Unmarshal(text, e)
			if e.GetIndex() > d.Snapshot.GetMetadata().GetIndex() {
				d.Entries = append(d.Entries, e)
			}
			return err
		})
	})
	if err != nil {
		s.db.Close()
		return nil, "", d, fmt.Errorf("%s: %w", dir, err)
	}
	return s, of, d, nil
}

func nameOf(of string) string {
	for i := range of {
		if of[i] == '#' {
			return of[:i]
		}
	}
	return of
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func value(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (s *store) update(f func(*bolt.Tx) error) error {
	if err := inject.Disk("write", s.path); err != nil {
		return err
	}
	if err := inject.Disk("sync", s.path); err != nil {
		return err
	}
	s.Syncs++
	if err := s.db.Update(f); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// save puts an output on the disk; after it all of it is there, or the member has
// to end: what a failed write left can't be known. A commit index alone is not
// worth a write, and goes with the next.
func (s *store) save(out coordination.Ready) error {
	if out.HardState != nil {
		s.hard = out.HardState
	}
	if !out.MustSync && len(out.Entries) == 0 && out.Snapshot == nil {
		return nil
	}
	err := s.update(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if s.hard != nil {
			if err := put(meta, keyHard, s.hard); err != nil {
				return err
			}
		}
		if len(out.Entries) > 0 {
			// A log that is cut off has no tail of before behind it.
			if err := cut(log, out.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range out.Entries {
			if err := put(log, number(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if out.Snapshot == nil {
			return nil
		}
		if err := put(meta, keySnap, out.Snapshot); err != nil {
			return err
		}
		return cut(log, 0, out.CompactTo)
	})
	if err == nil {
		s.hard = nil
	}
	return err
}

func put(b *bolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err == nil {
		err = b.Put(key, text)
	}
	return err
}

// cut removes the entries from one number to another.
func cut(log *bolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(number(from)); k != nil && value(k) <= to; k, _ = c.Seek(number(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
