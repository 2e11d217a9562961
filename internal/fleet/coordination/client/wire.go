package client

import (
	"encoding/json"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
)

const (
	// Path is where a member takes requests.
	Path = "/v1/ask"
	// ClusterHeader names the cluster in all calls: its identity, or its name alone where
	// the client doesn't know the identity yet.
	ClusterHeader = "X-Council"
)

const (
	// MaxResponseBytes bounds a response.
	MaxResponseBytes = 4 << 20
	// MaxWait bounds the wait of a long poll.
	MaxWait = 10 * time.Second
)

// RequestKind says what a client wants. Its values are sent by clients of older
// versions: they do not change.
type RequestKind string

// Requests that are proposed as a command. The kinds of coordination.CommandKind say
// what they change.
const (
	AcquireLease      = RequestKind(coordination.AcquireLease)
	ReleaseLease      = RequestKind(coordination.ReleaseLease)
	WriteCheckpoint   = RequestKind(coordination.WriteCheckpoint)
	AdvanceToken      = RequestKind(coordination.AdvanceToken)
	RequestOperation  = RequestKind(coordination.RequestOperation)
	CompleteOperation = RequestKind(coordination.CompleteOperation)
	SetHostStatus     = RequestKind(coordination.SetHostStatus)
	AdvertiseVersion  = RequestKind(coordination.AdvertiseVersion)
	// ChangeConfiguration changes the settings of a service; a change that is rejected
	// is not proposed.
	ChangeConfiguration = RequestKind(coordination.ChangeConfiguration)
)

// Requests that the leader answers.
const (
	// RenewLease is the holder's heartbeat.
	RenewLease RequestKind = "renew"
	// ReadState returns the agreed state, confirmed by a majority.
	ReadState RequestKind = "state"
	// ReportHost records how the host Subject is. The leader alone stores it, in memory.
	ReportHost RequestKind = "report"
	// AddMember adds Member at Address as a learner.
	AddMember RequestKind = "add"
	// RemoveMember removes Member; its number is not used again.
	RemoveMember RequestKind = "remove"
	// StepDown transfers the leadership of the cluster, or lets Lease expire where it is
	// set.
	StepDown RequestKind = "step-down"
	// ReadConfiguration returns the settings of Service, or without it the versions of
	// all services, confirmed by a majority.
	ReadConfiguration RequestKind = "resource"
)

// Requests that any member answers.
const (
	// WatchLeases waits until this member has applied more than SeenIndex, and returns
	// the lease holders as it knows them.
	WatchLeases RequestKind = "hear"
	// WatchConfiguration waits for configuration newer than Version. It is answered by a
	// member that knows a leader; when the wait is over the update is empty.
	WatchConfiguration RequestKind = "follow"
)

// Request is a client's request, as JSON. Kind says which of the other fields it uses.
type Request struct {
	Kind RequestKind `json:"kind"`
	// Subject is the lease holder or the host that the request is of.
	Subject     string                    `json:"who,omitempty"`
	Lease       string                    `json:"duty,omitempty"`
	Token       coordination.FencingToken `json:"epoch,omitempty"`
	OperationID string                    `json:"id,omitempty"`
	Data        json.RawMessage           `json:"data,omitempty"`
	Member      uint64                    `json:"member,omitempty"`
	Address     string                    `json:"address,omitempty"` // of AddMember
	WaitMS      int                       `json:"wait_ms,omitempty"` // of long polls, in milliseconds; MaxWait at most
	SeenIndex   uint64                    `json:"seen,omitempty"`    // of WatchLeases: the last response's Index
	// Change is of ChangeConfiguration. Version is of WatchConfiguration: the newest that
	// the client has, 0 for none. Service is of ReadConfiguration.
	Change  *configuration.Change `json:"change,omitempty"`
	Version configuration.Version `json:"version,omitempty"`
	Service string                `json:"service,omitempty"`
}

// Response is a member's response, as JSON.
type Response struct {
	Cluster string `json:"council"` // identity of the member's cluster
	Member  uint64 `json:"member"`
	// Unavailable says why this member can't answer now; empty where it can. Leader is
	// the address of the member to ask instead, where it is known.
	Unavailable string `json:"no,omitempty"`
	Leader      string `json:"leader,omitempty"`
	// OutcomeUnknown is set where an unavailable request may have been applied.
	OutcomeUnknown bool `json:"unknown,omitempty"`
	// Rejection says why the request was answered and not applied.
	Rejection string `json:"refused,omitempty"`

	Lease             *coordination.Lease            `json:"duty,omitempty"`
	Index             uint64                         `json:"index,omitempty"`  // applied by the member
	Holders           map[string]coordination.Holder `json:"duties,omitempty"` // by lease
	PendingOperations map[string]bool                `json:"open,omitempty"`   // leases that have one
	State             *coordination.State            `json:"state,omitempty"`
	Reports           map[string]HostReport          `json:"reports,omitempty"` // by host
	LeaseMS           int64                          `json:"lease_ms,omitempty"`
	MarginMS          int64                          `json:"margin_ms,omitempty"`

	Term              uint64   `json:"term,omitempty"`
	IsLeader          bool     `json:"leads,omitempty"`
	Voters            []uint64 `json:"voters,omitempty"`
	Learners          []uint64 `json:"learners,omitempty"`
	Syncs             int      `json:"syncs,omitempty"`   // synced writes since the member's start
	WrongClusterCalls int      `json:"strange,omitempty"` // that the member has rejected
	Version           int      `json:"version,omitempty"` // coordination.StateVersion of the member

	Update *configuration.Update `json:"update,omitempty"` // of WatchConfiguration
	// Resource is of ReadConfiguration, and of ChangeConfiguration with its new version.
	Resource *configuration.Resource `json:"resource,omitempty"`
	// Services are the versions of all services, of ReadConfiguration without Service.
	Services map[string]configuration.Version `json:"services,omitempty"`
	// Conflict is set where ChangeConfiguration was rejected because of its version.
	Conflict bool `json:"conflict,omitempty"`
}

// HostReport is what a host said of itself.
type HostReport struct {
	Data  json.RawMessage `json:"data"`
	AgeMS int64           `json:"age_ms"`
}

// LeaseDuration returns the duration of the cluster's leases.
func (r *Response) LeaseDuration() time.Duration {
	return time.Duration(r.LeaseMS) * time.Millisecond
}

// SafetyMargin returns by how much earlier a holder stops than its lease expires.
func (r *Response) SafetyMargin() time.Duration {
	return time.Duration(r.MarginMS) * time.Millisecond
}
