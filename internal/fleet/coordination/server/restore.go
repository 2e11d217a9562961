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

const (
	snapshotPath    = "/v1/snapshot"
	snapshotTimeout = 10 * time.Second
)

// ErrOlderSnapshot is returned for a snapshot that is older than the member's state.
var ErrOlderSnapshot = errors.New("snapshot is older than the member's state: use -older to restore it anyway")

// FetchSnapshot returns an encoded snapshot of the replicated state from the cluster's
// leader. It times out after 10 s.
func FetchSnapshot(ctx context.Context, config *Config) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	lastErr := errors.New("found no members in the cluster's file")
	for _, m := range config.Members {
		data, err := fetchSnapshotFrom(ctx, m.Address, config.Name)
		if err == nil {
			return data, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func fetchSnapshotFrom(ctx context.Context, address, cluster string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(client.ClusterHeader, cluster)
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(io.LimitReader(r.Body, coordination.MaxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d, %.100s", address, r.StatusCode, data)
	}
	return data, nil
}

// Restore restores a cluster with a single member. It creates the member's file from a
// snapshot that FetchSnapshot returned, and returns the cluster's new ID. The parameter space
// is the number of the new token space. If the member already has a file, Restore renames
// that file by adding the suffix ".before". If the state in that file is newer than the
// snapshot and allowOlder is false, Restore changes nothing and returns an error that wraps
// ErrOlderSnapshot.
func Restore(config *Config, number uint64, snapshot []byte, space uint32, allowOlder bool) (string, error) {
	address, known := config.memberAddresses()[number]
	if !known {
		return "", config.unknownMemberError(number)
	}
	state, err := coordination.DecodeSnapshot(snapshot)
	if err != nil {
		return "", err
	}
	if name := clusterName(state.Cluster); name != config.Name {
		return "", fmt.Errorf("snapshot: found cluster %q, wanted %q", name, config.Name)
	}
	directory := config.memberDirectory(number)
	exists, err := checkReplaceable(directory, config.Name, number, state.LogicalClock, allowOlder)
	if err != nil {
		return "", err
	}
	// The cluster ID changes with the token space, so that members that still have the ID
	// from before the restore are rejected.
	state.Cluster = clusterID(config.Name, space)
	data, err := coordination.EncodeSnapshot(state)
	if err != nil {
		return "", err
	}
	initial, err := coordination.RestoredState(&raftpb.Snapshot{Data: data}, number, address, space)
	if err != nil {
		return "", err
	}
	if exists {
		if err := disk.Rename(storagePath(directory), storagePath(directory)+".before"); err != nil {
			return "", err
		}
	}
	return state.Cluster, createStorage(directory, state.Cluster, number, initial)
}

// checkReplaceable reports whether the member has a file. It returns an error if a snapshot
// with the logical clock snapshotClock must not replace that file.
func checkReplaceable(directory, name string, number, snapshotClock uint64, allowOlder bool) (exists bool, err error) {
	existing, stored, err := openStorage(directory, name, number)
	if errors.Is(err, errNoState) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err := existing.db.Close(); err != nil {
		return true, err
	}
	clock, err := stored.LogicalClock()
	if err != nil {
		return true, fmt.Errorf("%s: %w", directory, err)
	}
	if clock > snapshotClock && !allowOlder {
		return true, fmt.Errorf("snapshot: found logical clock %d, wanted %d (that of %s) or more: %w", snapshotClock, clock, directory, ErrOlderSnapshot)
	}
	return true, nil
}
