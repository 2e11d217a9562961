package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"otterspring/internal/disk"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

// FetchSnapshot asks the leader for what is agreed on.
func FetchSnapshot(f *Config) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	why := errors.New("found no member, wanted one")
	for _, m := range f.Members {
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+m.Address+"/v1/snapshot", nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set(client.ClusterHeader, f.Name)
		r, err := http.DefaultClient.Do(req)
		if err != nil {
			why = err
			continue
		}
		data, err := io.ReadAll(io.LimitReader(r.Body, coordination.MaxSnapshotBytes+1))
		r.Body.Close()
		if err == nil && r.StatusCode == http.StatusOK {
			return data, nil
		}
		why = fmt.Errorf("%s: status %d, %.100s", m.Address, r.StatusCode, data)
	}
	return nil, why
}

// Restore makes the disk of the one member that a council is brought back with. A
// state that the directory has is put aside, where it is no newer than the
// snapshot or older says that it may be. It returns the council's new name.
func Restore(f *Config, number uint64, data []byte, space uint32, older bool) (string, error) {
	address, known := f.members()[number]
	if !known {
		return "", f.bad("member", fmt.Sprintf("no member %d", number), "the number of one in the file")
	}
	s, err := coordination.DecodeSnapshot(data)
	if err != nil {
		return "", err
	}
	if nameOf(s.Cluster) != f.Name {
		return "", fmt.Errorf("snapshot: found council %q, wanted %q", nameOf(s.Cluster), f.Name)
	}
	dir := f.directory(number)
	old, _, d, err := openStore(dir, f.Name, number)
	switch {
	case errors.Is(err, errEmpty):
	case err != nil:
		return "", err
	default:
		old.db.Close()
		n, err := d.LogicalClock()
		if err != nil {
			return "", fmt.Errorf("%s: %w", dir, err)
		}
		if n > s.LogicalClock && !older {
			return "", fmt.Errorf("snapshot: found count %d, wanted %d (what %s has) or more, or the word -older", s.LogicalClock, n, dir)
		}
	}
	// The name changes with the space: members of before are not of this council.
	s.Cluster = fmt.Sprintf("%s#%08x", f.Name, space)
	sealed, err := coordination.EncodeSnapshot(s)
	if err != nil {
		return "", err
	}
	first, err := coordination.RestoredState(&raftpb.Snapshot{Data: sealed}, number, address, space)
	if err != nil {
		return "", err
	}
	if old != nil {
		if err := disk.Rename(storePath(dir), storePath(dir)+".before"); err != nil {
			return "", err
		}
	}
	return s.Cluster, createStore(dir, s.Cluster, number, first)
}
