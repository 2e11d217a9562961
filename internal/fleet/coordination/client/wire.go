package client

import (
	"encoding/json"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
)

const (
	// Path is the URL path on which members receive requests.
	Path = "/v1/ask"
	// ClusterHeader is the header that carries the cluster's identity, such as
	// west#01234567. A client that does not know the identity yet sends only the name.
	ClusterHeader = "X-Council"
)

const (
	// MaxResponseBytes is the maximum size of a response.
	MaxResponseBytes = 4 << 20
	// MaxWait is the maximum wait of a long poll.
	MaxWait = 10 * time.Second
)

// RequestKind is the type of a request. The values are sent by clients of older versions,
// so they must not change.
type RequestKind string

// Requests that the leader proposes as a command; see coordination.CommandKind.
const (
	AcquireLease      = RequestKind(coordination.AcquireLease)
	ReleaseLease      = RequestKind(coordination.ReleaseLease)
	WriteCheckpoint   = RequestKind(coordination.WriteCheckpoint)
	AdvanceToken      = RequestKind(coordination.AdvanceToken)
	RequestOperation  = RequestKind(coordination.RequestOperation)
	CompleteOperation = RequestKind(coordination.CompleteOperation)
	SetHostStatus     = RequestKind(coordination.SetHostStatus)
	AdvertiseVersion  = RequestKind(coordination.AdvertiseVersion)
	// ChangeConfiguration changes the settings of a service. A change that would be
	// rejected is not proposed.
	ChangeConfiguration = RequestKind(coordination.ChangeConfiguration)
)

// Other requests handled by the leader.
const (
	// RenewLease is the heartbeat of a lease holder.
	RenewLease RequestKind = "renew"
	// ReadState returns the replicated state as a linearizable read.
	ReadState RequestKind = "state"
	// ReportHost stores a report sent by the host Subject in the leader's memory. The report
	// is not replicated.
	ReportHost RequestKind = "report"
	// AddMember adds Member at Address as a learner.
	AddMember RequestKind = "add"
	// RemoveMember removes Member, whose number cannot be reused.
	RemoveMember RequestKind = "remove"
	// StepDown revokes Lease if it is set. Otherwise it transfers the leadership of the
	// cluster to another member.
	StepDown RequestKind = "step-down"
	// ReadConfiguration returns the settings of Service. If Service is empty, it returns the
	// versions of all services. The read is linearizable.
	ReadConfiguration RequestKind = "resource"
)

// Requests handled by any member.
const (
	// WatchLeases waits until the member has applied entries beyond SeenIndex or the wait
	// times out. It then returns the lease holders in the member's applied state, which may
	// lag behind the leader's.
	WatchLeases RequestKind = "hear"
	// WatchConfiguration waits for configuration newer than Version. If the wait times out,
	// the update is empty. A member that knows no leader responds with Unavailable.
	WatchConfiguration RequestKind = "follow"
)

// Request is a request from a client, encoded as JSON. Kind determines which other fields
// are used.
type Request struct {
	Kind RequestKind `json:"kind"`
	// Subject is the lease holder or host that the request concerns.
	Subject     string                    `json:"who,omitempty"`
	Lease       string                    `json:"duty,omitempty"`
	Token       coordination.FencingToken `json:"epoch,omitempty"`
	OperationID string                    `json:"id,omitempty"`
	Data        json.RawMessage           `json:"data,omitempty"`
	Member      uint64                    `json:"member,omitempty"`
	Address     string                    `json:"address,omitempty"` // for AddMember: address of the member
	WaitMS      int                       `json:"wait_ms,omitempty"` // wait of a long poll in ms; at most MaxWait
	SeenIndex   uint64                    `json:"seen,omitempty"`    // for WatchLeases: Index in the last response
	// Change is used by ChangeConfiguration, and Service by ReadConfiguration. Version is
	// used by WatchConfiguration. It is the newest configuration version that the client has,
	// or 0 if the client has none.
	Change  *configuration.Change `json:"change,omitempty"`
	Version configuration.Version `json:"version,omitempty"`
	Service string                `json:"service,omitempty"`
}

// Response is a member's response, encoded as JSON.
type Response struct {
	Cluster string `json:"council"` // identity of the member's cluster
	Member  uint64 `json:"member"`
	// Unavailable is the reason why the member cannot handle the request now. It is empty if
	// the member can. Leader is the address of the member to ask instead, if it is known.
	Unavailable string `json:"no,omitempty"`
	Leader      string `json:"leader,omitempty"`
	// OutcomeUnknown is set, in addition to Unavailable, if the request may nevertheless have
	// been applied.
	OutcomeUnknown bool `json:"unknown,omitempty"`
	// Rejection is the reason why the request was handled but not applied.
	Rejection string `json:"refused,omitempty"`

	Lease             *coordination.Lease            `json:"duty,omitempty"`
	Index             uint64                         `json:"index,omitempty"`  // last log index that the member has applied
	Holders           map[string]coordination.Holder `json:"duties,omitempty"` // by lease
	PendingOperations map[string]bool                `json:"open,omitempty"`   // by lease; true if the lease has a pending operation
	State             *coordination.State            `json:"state,omitempty"`
	Reports           map[string]HostReport          `json:"reports,omitempty"` // by host
	LeaseMS           int64                          `json:"lease_ms,omitempty"`
	MarginMS          int64                          `json:"margin_ms,omitempty"`

	Term              uint64   `json:"term,omitempty"`
	IsLeader          bool     `json:"leads,omitempty"`
	Voters            []uint64 `json:"voters,omitempty"`
	Learners          []uint64 `json:"learners,omitempty"`
	Syncs             int      `json:"syncs,omitempty"`   // number of synced writes since the member started
	WrongClusterCalls int      `json:"strange,omitempty"` // number of rejected calls for other clusters
	Version           int      `json:"version,omitempty"` // coordination.StateVersion of the member

	Update *configuration.Update `json:"update,omitempty"` // set in responses to WatchConfiguration
	// Resource holds the settings and the version of one service. It is set in responses to
	// ReadConfiguration with a Service. It is also set, with the new version, in responses to
	// an applied ChangeConfiguration.
	Resource *configuration.Resource `json:"resource,omitempty"`
	// Services holds the versions of all services. It is set in responses to
	// ReadConfiguration without a Service.
	Services map[string]configuration.Version `json:"services,omitempty"`
	// Conflict is set if ChangeConfiguration was rejected because the expected version did
	// not match.
	Conflict bool `json:"conflict,omitempty"`
}

// HostReport is the latest report of a host.
type HostReport struct {
	Data  json.RawMessage `json:"data"`
	AgeMS int64           `json:"age_ms"`
}

// LeaseDuration returns the duration of the cluster's leases.
func (r *Response) LeaseDuration() time.Duration {
	return time.Duration(r.LeaseMS) * time.Millisecond
}

// SafetyMargin returns how long before the expiry of its lease a holder has to stop acting.
func (r *Response) SafetyMargin() time.Duration {
	return time.Duration(r.MarginMS) * time.Millisecond
}
