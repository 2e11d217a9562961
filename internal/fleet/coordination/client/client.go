// Package ask is how supervisors and operators ask a council: the form of
// questions and answers, and a client that finds the leader. It knows nothing of
// how the council agrees.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/inject"
)

// Path is where a member is asked, Header what names the council in all calls.
const (
	Path          = "/v1/ask"
	ClusterHeader = "X-Council"
)

// Bounds of a call.
const (
	MaxResponseBytes = 4 << 20
	MaxWait          = 10 * time.Second // of a long poll
)

// Request asks a member. Kind is one of the kinds of coordination.Command that clients
// may ask for, or one of the below.
type Request struct {
	Kind        RequestKind               `json:"kind"`
	Subject     string                    `json:"who,omitempty"`
	Lease       string                    `json:"duty,omitempty"`
	Token       coordination.FencingToken `json:"epoch,omitempty"`
	OperationID string                    `json:"id,omitempty"`
	Data        json.RawMessage           `json:"data,omitempty"`
	// Member and Address are of a change of members.
	Member  uint64 `json:"member,omitempty"`
	Address string `json:"address,omitempty"`
	// WaitMS and Seen are of Hear: until what is agreed on is newer than Seen.
	WaitMS    int    `json:"wait_ms,omitempty"`
	SeenIndex uint64 `json:"seen,omitempty"`
	// ChangeMembership is of Configure; Version of Follow: what the asker holds, 0 for nothing;
	// Service of Resource.
	Change  *configuration.Change `json:"change,omitempty"`
	Version configuration.Version `json:"version,omitempty"`
	Service string                `json:"service,omitempty"`
}

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
	// StepDown transfers the leadership of the cluster, or expires Lease where it is set.
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
	// member that knows a leader; at the end of the wait the update is empty.
	WatchConfiguration RequestKind = "follow"
)

// Response is a member's.
type Response struct {
	Cluster string `json:"council"`
	Member  uint64 `json:"member"`
	// Unavailable says why it can't be done here now; Leader whom to ask instead.
	Unavailable string `json:"no,omitempty"`
	Leader      string `json:"leader,omitempty"`
	// OutcomeUnknown is set where the question may have taken effect or not.
	OutcomeUnknown bool   `json:"unknown,omitempty"`
	Rejection      string `json:"refused,omitempty"`

	Lease             *coordination.Lease            `json:"duty,omitempty"`
	Index             uint64                         `json:"index,omitempty"`
	Holders           map[string]coordination.Holder `json:"duties,omitempty"`
	PendingOperations map[string]bool                `json:"open,omitempty"` // duties with an order that has not ended
	State             *coordination.State            `json:"state,omitempty"`
	Reports           map[string]HostReport          `json:"reports,omitempty"`
	LeaseMS           int64                          `json:"lease_ms,omitempty"`
	MarginMS          int64                          `json:"margin_ms,omitempty"`

	Term              uint64   `json:"term,omitempty"`
	IsLeader          bool     `json:"leads,omitempty"`
	Voters            []uint64 `json:"voters,omitempty"`
	Learners          []uint64 `json:"learners,omitempty"`
	Syncs             int      `json:"syncs,omitempty"`
	WrongClusterCalls int      `json:"strange,omitempty"` // messages of another council that were refused
	Version           int      `json:"version,omitempty"`

	Update   *configuration.Update   `json:"update,omitempty"`   // of Follow
	Resource *configuration.Resource `json:"resource,omitempty"` // of Resource; of Configure with its new version
	// Services are the versions of all services, of Resource without Service.
	Services map[string]configuration.Version `json:"services,omitempty"`
	Conflict bool                             `json:"conflict,omitempty"` // Configure was refused for its version
}

// HostReport is what a host said of itself, and how old that is.
type HostReport struct {
	Data  json.RawMessage `json:"data"`
	AgeMS int64           `json:"age_ms"`
}

// LeaseDuration and Margin are those of the council.
func (a *Response) LeaseDuration() time.Duration { return time.Duration(a.LeaseMS) * time.Millisecond }
func (a *Response) SafetyMargin() time.Duration  { return time.Duration(a.MarginMS) * time.Millisecond }

// Client asks a council. It may be used by several goroutines.
type Client struct {
	addresses []string
	http      http.Client

	mu      sync.Mutex
	council string // the first that answered; another is not believed
	leader  string // to be asked first
	next    int
}

// NewClient returns a client of the council whose members listen at addresses.
// name is the council's.
func NewClient(name string, addresses []string) *Client {
	return &Client{addresses: addresses, council: name, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
}

// Close lets idle connections go.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ErrUnknownOutcome is an answer that does not tell whether the question took effect.
var ErrUnknownOutcome = errors.New("not known whether it took effect")

// Do asks until a member answers that can, or ctx ends. What may have taken effect
// is not asked again: that is the caller's to decide.
func (c *Client) Do(ctx context.Context, q Request) (*Response, error) {
	if len(c.addresses) == 0 {
		return nil, errors.New("found no member's address, wanted one")
	}
	pause := 20 * time.Millisecond
	for tries := 0; ; tries++ {
		to := c.pick()
		a, err := c.one(ctx, to, q)
		switch {
		case err == nil && a.Unavailable == "":
			c.believe(to)
			return a, nil
		case err == nil && a.OutcomeUnknown:
			return nil, fmt.Errorf("%s: %s: %w", to, a.Unavailable, ErrUnknownOutcome)
		case err == nil && a.Leader != "" && a.Leader != to:
			c.believe(a.Leader)
			if tries < 3 {
				continue
			}
			err = errors.New(a.Unavailable)
		case err == nil:
			err = errors.New(a.Unavailable)
		}
		c.doubt(to)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("council: %s: %w", to, err)
		}
		if (tries+1)%len(c.addresses) != 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("council: %s: %w", to, err)
		case <-time.After(pause):
			pause = min(2*pause, 500*time.Millisecond)
		}
	}
}

func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.next = (c.next + 1) % len(c.addresses)
	return c.addresses[c.next]
}

func (c *Client) believe(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func (c *Client) doubt(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// perTry bounds one call to one member beyond what it may wait.
const perTry = 2 * time.Second

func (c *Client) one(ctx context.Context, to string, q Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, perTry+time.Duration(q.WaitMS)*time.Millisecond)
	defer cancel()
	c.mu.Lock()
	of := c.council
	c.mu.Unlock()
	a, err := Call(ctx, &c.http, to, of, q)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if bare(c.council) && a.Unavailable == "" {
		c.council = a.Cluster
	}
	return a, nil
}

func bare(of string) bool { return !bytes.ContainsRune([]byte(of), '#') }

// Call sends a request to one member, once. cluster is the one that the caller means,
// with or without its number.
func Call(ctx context.Context, httpClient *http.Client, address, cluster string, request Request) (*Response, error) {
	response := &Response{}
	member := Endpoint{HTTP: httpClient, Address: address, Path: Path, Cluster: cluster}
	if err := member.PostJSON(ctx, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Endpoint is an HTTP server that takes and returns JSON.
type Endpoint struct {
	HTTP    *http.Client
	Address string // host and port
	Path    string
	Cluster string // sent in ClusterHeader; empty for none
}

// PostJSON sends a request to the endpoint and reads its response, of MaxResponseBytes
// at most, whatever the status is.
func (e Endpoint) PostJSON(ctx context.Context, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+e.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if e.Cluster != "" {
		req.Header.Set(ClusterHeader, e.Cluster)
	}
	if err := inject.Way(ctx, e.Address); err != nil {
		return err
	}
	r, err := e.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, MaxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MaxResponseBytes {
		return fmt.Errorf("%s: response: found more than %d bytes", e.Address, MaxResponseBytes)
	}
	if err := json.Unmarshal(text, response); err != nil {
		return fmt.Errorf("%s: response: found %d bytes with status %d, wanted JSON: %w", e.Address, len(text), r.StatusCode, err)
	}
	return nil
}
