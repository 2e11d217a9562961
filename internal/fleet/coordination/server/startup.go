package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

const (
	acknowledgedPath = "/known"
	// maxAcknowledgedBytes is the maximum size of a response from acknowledgedPath.
	maxAcknowledgedBytes = 1024
	findClusterTimeout   = 5 * time.Second
	// startRetryTicks is the interval between two rounds of startMember. In each round,
	// startMember asks the other members for the positions that this member has sent to them.
	startRetryTicks = 2
	// advertiseRetryTicks is the interval between two attempts of advertiseVersion.
	advertiseRetryTicks = 10
)

// ErrStaleDisk is returned if a member's file is older than a position that the member has
// sent to other members. This is the case after the file was restored from a copy.
var ErrStaleDisk = errors.New("the member's file is older than what it has acknowledged; replace the member")

// findClusterID asks the other members in the configuration for the cluster's ID.
func findClusterID(ctx context.Context, config *Config, number uint64) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, findClusterTimeout)
	defer cancel()
	var httpClient http.Client
	for other, address := range config.memberAddresses() {
		if other == number {
			continue
		}
		response, err := client.Call(ctx, &httpClient, address, config.Name, client.Request{Kind: client.WatchLeases})
		if err == nil && clusterName(response.Cluster) == config.Name {
			return response.Cluster, nil
		}
	}
	return "", fmt.Errorf("%s: no member of cluster %q responded with the ID of the cluster to join", config.Path, config.Name)
}

// startMember asks the other members for the newest position that this member has sent to
// each of them. It starts the member once a majority has answered. This member counts towards
// the majority. If an answer shows that this member's file is older than a sent position,
// startMember sets startError instead. A member with an older file could vote a second time in
// a term or acknowledge entries that it has lost. Members that do not respond are asked again
// after startRetryTicks.
func (s *Server) startMember(ctx context.Context) {
	position := storedPosition(s.stored)
	members := s.storedMembers()
	answered := map[uint64]bool{s.number: true}
	for len(answered) < len(members)/2+1 && ctx.Err() == nil {
		for number, address := range members {
			if answered[number] {
				continue
			}
			acknowledged, err := s.fetchAcknowledged(ctx, address)
			if err != nil {
				continue // asked again in the next round
			}
			answered[number] = true
			if acknowledged.after(position) {
				s.execute(ctx, func() {
					s.startError = fmt.Errorf("%s: found term %d, vote %d and entry %d of term %d, wanted %d, %d and %d of %d at least, which member %d was sent: %w",
						s.storage.path, position.Term, position.Vote, position.Index, position.EntryTerm,
						acknowledged.Term, acknowledged.Vote, acknowledged.Index, acknowledged.EntryTerm, number, ErrStaleDisk)
				})
				return
			}
		}
		sleep(ctx, startRetryTicks*s.config.Tick)
	}
	s.execute(ctx, func() {
		if s.member, s.startError = coordination.NewMember(s.number, s.stored, s.config.leaseTicks()); s.startError == nil {
			s.member.Incarnation = rand.Uint64()
		}
		s.stored = coordination.PersistentState{}
	})
}

// storedMembers returns the addresses of the members by number. The addresses come from the
// stored snapshot, or from the configuration if there is no snapshot.
func (s *Server) storedMembers() map[uint64]string {
	state, err := coordination.DecodeSnapshot(s.stored.Snapshot.GetData())
	if err != nil {
		return s.config.memberAddresses()
	}
	members := map[uint64]string{}
	for number, address := range state.Members {
		if address != "" {
			members[number] = address
		}
	}
	return members
}

// fetchAcknowledged asks another member for the newest position that the other member has
// received from this member.
func (s *Server) fetchAcknowledged(ctx context.Context, address string) (position logPosition, err error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?member=%d", address, acknowledgedPath, s.number)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return position, err
	}
	req.Header.Set(client.ClusterHeader, s.cluster)
	if err := faultinjection.BeforeSend(ctx, address); err != nil {
		return position, err
	}
	r, err := s.http.Do(req)
	if err != nil {
		return position, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return position, fmt.Errorf("%s: status %d", address, r.StatusCode)
	}
	return position, json.NewDecoder(io.LimitReader(r.Body, maxAcknowledgedBytes)).Decode(&position)
}

// advertiseVersion proposes the command version that this member supports. It repeats the
// proposal until the state contains this version. A member that was downgraded advertises
// its older version.
func (s *Server) advertiseVersion(ctx context.Context) {
	for ctx.Err() == nil {
		advertised, started := 0, false
		var addresses []string
		if !s.execute(ctx, func() {
			if started = s.member != nil; started {
				advertised = s.member.State().SupportedVersions[s.number]
				addresses = s.allAddresses()
			}
		}) || started && advertised == coordination.StateVersion {
			return
		}
		if started {
			s.proposeVersion(ctx, addresses)
		}
		sleep(ctx, advertiseRetryTicks*s.config.Tick)
	}
}

// allAddresses returns the known addresses of all members. It must be called on the Run
// goroutine.
func (s *Server) allAddresses() (addresses []string) {
	for number := range s.member.State().Members {
		if address := s.address(number); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (s *Server) proposeVersion(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	clusterClient := client.NewClient(s.cluster, addresses)
	defer clusterClient.Close()
	request := client.Request{Kind: client.AdvertiseVersion, Member: s.number, Token: coordination.StateVersion}
	if _, err := clusterClient.Do(ctx, request); err != nil {
		s.log.Debug("version not advertised; retrying", "version", coordination.StateVersion, "error", err)
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
