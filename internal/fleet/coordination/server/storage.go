package server

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterspring/internal/disk"
	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
)

// Buckets and keys of a member's file. They must not change, since other versions of the
// program read and write them. The bucket "log" holds the raft entries. The key of an entry
// is its index, encoded as 8 bytes in big-endian order.
var (
	bucketMeta   = []byte("meta")
	bucketLog    = []byte("log")
	keyMember    = []byte("member")
	keyCluster   = []byte("council")
	keyFormat    = []byte("form")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyPositions = []byte("positions") // JSON of the other members' positions; not written by earlier versions
)

const (
	// formatVersion is the version of the file's layout.
	formatVersion = 1
	// lockTimeout bounds the wait for the lock on a file that another process has open.
	lockTimeout = time.Second
)

var (
	// errNoState is returned for a directory without a member's file.
	errNoState = errors.New("no state")
	// errStateExists is returned if a new member's directory already has a file.
	errStateExists = errors.New("the member's file already exists: start an existing member with run, without -new and -join")
	// errDirectoryInUse is returned for a file that another process has open.
	errDirectoryInUse = errors.New("another member has this directory")
)

// storage is a member's file. It is owned by the Server.Run goroutine.
type storage struct {
	db        *bolt.DB
	path      string
	cluster   string                 // ID of the member's cluster
	hardState *raftpb.HardState      // hard state that is still to be written; nil if there is none
	positions map[uint64]logPosition // other members' positions that are still to be written; nil if there are none
	syncs     int                    // number of synced writes since the start
}

func storagePath(directory string) string { return filepath.Join(directory, "council.db") }

// createStorage writes the file of a new member. It returns errStateExists if the directory
// already contains a member's file.
func createStorage(directory, cluster string, member uint64, initial coordination.PersistentState) error {
	if err := disk.MkdirAll(directory, 0o700); err != nil {
		return err
	}
	path := storagePath(directory)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s: %w", directory, errStateExists)
	}
	created, err := openDatabase(path + ".new")
	if err != nil {
		return err
	}
	err = created.update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err == nil {
			_, err = tx.CreateBucketIfNotExists(bucketLog)
		}
		if err != nil {
			return err
		}
		return errors.Join(meta.Put(keyFormat, encodeUint64(formatVersion)), meta.Put(keyMember, encodeUint64(member)), meta.Put(keyCluster, []byte(cluster)))
	})
	if err == nil {
		err = created.save(coordination.Ready{HardState: initial.HardState, Snapshot: initial.Snapshot, MustSync: true})
	}
	if err = errors.Join(err, created.db.Close()); err != nil {
		return err
	}
	return disk.Rename(path+".new", path)
}

func openDatabase(path string) (*storage, error) {
	if err := faultinjection.DiskError("open", path); err != nil {
		return nil, err
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", filepath.Dir(path), errDirectoryInUse)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &storage{db: db, path: path}, nil
}

// readPositions reads the positions of the other members. The map is empty if an earlier
// version wrote the file.
func (s *storage) readPositions() (map[uint64]logPosition, error) {
	positions := map[uint64]logPosition{}
	err := s.db.View(func(tx *bolt.Tx) error {
		value := tx.Bucket(bucketMeta).Get(keyPositions)
		if value == nil {
			return nil
		}
		return json.Unmarshal(value, &positions)
	})
	if err != nil {
		return nil, fmt.Errorf("%s: decoding the positions of the other members: %w", s.path, err)
	}
	return positions, nil
}

// openStorage opens and reads a member's file. It returns errNoState if the directory
// contains no such file. It also returns an error if the file belongs to another member or to
// a cluster with another name, or if a newer program wrote the file.
func openStorage(directory, name string, member uint64) (*storage, coordination.PersistentState, error) {
	var stored coordination.PersistentState
	if _, err := os.Stat(storagePath(directory)); err != nil {
		return nil, stored, fmt.Errorf("%s: %w", directory, errNoState)
	}
	opened, err := openDatabase(storagePath(directory))
	if err != nil {
		return nil, stored, err
	}
	err = opened.db.View(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return errors.New("not a member's file: bucket meta or log is missing")
		}
		opened.cluster = string(meta.Get(keyCluster))
		if err := checkMeta(meta, name, member); err != nil {
			return err
		}
		return readState(meta, log, &stored)
	})
	if err != nil {
		return nil, coordination.PersistentState{}, errors.Join(fmt.Errorf("%s: %w", directory, err), opened.db.Close())
	}
	return opened, stored, nil
}

// checkMeta returns an error if a newer program wrote the file, or if the file belongs to
// another member or to a cluster with another name.
func checkMeta(meta *bolt.Bucket, name string, member uint64) error {
	version, owner, cluster := decodeUint64(meta.Get(keyFormat)), decodeUint64(meta.Get(keyMember)), string(meta.Get(keyCluster))
	switch {
	case version > formatVersion:
		return fmt.Errorf("found format version %d, wanted at most %d: a newer program wrote it", version, formatVersion)
	case owner != member:
		return fmt.Errorf("found the state of member %d, wanted member %d's", owner, member)
	case clusterName(cluster) != name:
		return fmt.Errorf("found the state of cluster %q, wanted %q's", clusterName(cluster), name)
	}
	return nil
}

// readState reads the member's persistent state. It skips log entries that the snapshot
// already includes.
func readState(meta, log *bolt.Bucket, stored *coordination.PersistentState) error {
	if value := meta.Get(keyHardState); value != nil {
		stored.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(value, stored.HardState); err != nil {
			return err
		}
	}
	if value := meta.Get(keySnapshot); value != nil {
		stored.Snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(value, stored.Snapshot); err != nil {
			return err
		}
	}
	return log.ForEach(func(_, value []byte) error {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(value, entry); err != nil {
			return err
		}
		if entry.GetIndex() > stored.Snapshot.GetMetadata().GetIndex() {
			stored.Entries = append(stored.Entries, entry)
		}
		return nil
	})
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// decodeUint64 returns 0 if b is not 8 bytes long.
func decodeUint64(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (s *storage) update(write func(*bolt.Tx) error) error {
	if err := faultinjection.DiskError("write", s.path); err != nil {
		return err
	}
	if err := faultinjection.DiskError("sync", s.path); err != nil {
		return err
	}
	s.syncs++
	if err := s.db.Update(write); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

// save stores ready durably. After an error the member has to stop, since it is unknown what
// was written. A new commit index alone causes no write, and neither do new positions of
// other members. Both are stored together with the next write.
func (s *storage) save(ready coordination.Ready) error {
	if ready.HardState != nil {
		s.hardState = ready.HardState
	}
	if !ready.MustSync && len(ready.Entries) == 0 && ready.Snapshot == nil {
		return nil
	}
	err := s.update(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if s.hardState != nil {
			if err := putMessage(meta, keyHardState, s.hardState); err != nil {
				return err
			}
		}
		if s.positions != nil {
			if err := putPositions(meta, s.positions); err != nil {
				return err
			}
		}
		if ready.ReplacesLog {
			if err := deleteEntries(log, 0, math.MaxUint64); err != nil {
				return err
			}
		}
		if err := replaceEntries(log, ready.Entries); err != nil {
			return err
		}
		if ready.Snapshot == nil {
			return nil
		}
		if err := putMessage(meta, keySnapshot, ready.Snapshot); err != nil {
			return err
		}
		return deleteEntries(log, 0, ready.CompactTo)
	})
	if err == nil {
		s.hardState, s.positions = nil, nil
	}
	return err
}

func putPositions(meta *bolt.Bucket, positions map[uint64]logPosition) error {
	value, err := json.Marshal(positions)
	if err != nil {
		return err
	}
	return meta.Put(keyPositions, value)
}

// replaceEntries stores entries. Before that, it removes all stored entries whose index is at
// least that of the first new entry.
func replaceEntries(log *bolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putMessage(log, encodeUint64(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

func putMessage(b *bolt.Bucket, key []byte, m proto.Message) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, value)
}

// deleteEntries removes a range of entries. The parameters from and to are the first and the
// last index of the range.
func deleteEntries(log *bolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(encodeUint64(from)); k != nil && decodeUint64(k) <= to; k, _ = c.Seek(encodeUint64(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
