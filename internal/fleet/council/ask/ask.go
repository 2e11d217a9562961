// Package ask is how supervisors and operators ask a council: the form of
// questions and answers, and a client that finds the leader. It knows nothing of
// how the council agrees.
package ask

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
	"otterspring/internal/fleet/council"
	"otterspring/internal/inject"
)

// Path is where a member is asked, Header what names the council in all calls.
const (
	Path   = "/v1/ask"
	Header = "X-Council"
)

// Bounds of a call.
const (
	MostBytes = 4 << 20
	MostWait  = 10 * time.Second // of a long poll
)

// Question asks a member. Kind is one of the kinds of council.Command that clients
// may ask for, or one of the below.
type Question struct {
	Kind  string          `json:"kind"`
	Who   string          `json:"who,omitempty"`
	Duty  string          `json:"duty,omitempty"`
	Epoch council.Epoch   `json:"epoch,omitempty"`
	ID    string          `json:"id,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	// Member and Address are of a change of members.
	Member  uint64 `json:"member,omitempty"`
	Address string `json:"address,omitempty"`
	// WaitMS and Seen are of Hear: until what is agreed on is newer than Seen.
	WaitMS int    `json:"wait_ms,omitempty"`
	Seen   uint64 `json:"seen,omitempty"`
	// Change is of Configure; Version of Follow: what the asker holds, 0 for nothing;
	// Service of Resource.
	Change  *configuration.Change `json:"change,omitempty"`
	Version configuration.Version `json:"version,omitempty"`
	Service string                `json:"service,omitempty"`
}

// The kinds of question beside those of commands.
const (
	Renew    = "renew"  // the owner is there
	State    = "state"  // all, as a majority knows it
	Hear     = "hear"   // the duties as this member knows them; any member answers
	Report   = "report" // how host Who is, kept by the leader alone
	Add      = "add"
	Remove   = "remove"
	StepDown = "step-down" // the leader, or the owner of Duty

	// Configure asks for a change of a service's settings; a refused one is not agreed on.
	Configure = "configure"
	// Follow waits for what of the configuration is newer than Version; any member
	// answers that knows a leader, with an update that may bring nothing.
	Follow = "follow"
	// Resource reads the resource of Service, as a majority knows it; without Service
	// the names and versions of all.
	Resource = "resource"
)

// Answer is a member's.
type Answer struct {
	Council string `json:"council"`
	Member  uint64 `json:"member"`
	// No says why it can't be done here now; Leader whom to ask instead.
	No     string `json:"no,omitempty"`
	Leader string `json:"leader,omitempty"`
	// Unknown is set where the question may have taken effect or not.
	Unknown bool   `json:"unknown,omitempty"`
	Refused string `json:"refused,omitempty"`

	Duty     *council.Duty             `json:"duty,omitempty"`
	Index    uint64                    `json:"index,omitempty"`
	Duties   map[string]council.Tenant `json:"duties,omitempty"`
	Open     map[string]bool           `json:"open,omitempty"` // duties with an order that has not ended
	State    *council.State            `json:"state,omitempty"`
	Reports  map[string]Said           `json:"reports,omitempty"`
	LeaseMS  int64                     `json:"lease_ms,omitempty"`
	MarginMS int64                     `json:"margin_ms,omitempty"`

	Term    uint64   `json:"term,omitempty"`
	Leads   bool     `json:"leads,omitempty"`
	Voters  []uint64 `json:"voters,omitempty"`
	Learn   []uint64 `json:"learners,omitempty"`
	Syncs   int      `json:"syncs,omitempty"`
	Strange int      `json:"strange,omitempty"` // messages of another council that were refused
	Version int      `json:"version,omitempty"`

	Update   *configuration.Update   `json:"update,omitempty"`   // of Follow
	Resource *configuration.Resource `json:"resource,omitempty"` // of Resource; of Configure with its new version
	// Services are the versions of all services, of Resource without Service.
	Services map[string]configuration.Version `json:"services,omitempty"`
	Conflict bool                             `json:"conflict,omitempty"` // Configure was refused for its version
}

// Said is what a host said of itself, and how old that is.
type Said struct {
	Data  json.RawMessage `json:"data"`
	AgeMS int64           `json:"age_ms"`
}

// Lease and Margin are those of the council.
func (a *Answer) Lease() time.Duration  { return time.Duration(a.LeaseMS) * time.Millisecond }
func (a *Answer) Margin() time.Duration { return time.Duration(a.MarginMS) * time.Millisecond }

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

// ErrUnknown is an answer that does not tell whether the question took effect.
var ErrUnknown = errors.New("not known whether it took effect")

// Do asks until a member answers that can, or ctx ends. What may have taken effect
// is not asked again: that is the caller's to decide.
func (c *Client) Do(ctx context.Context, q Question) (*Answer, error) {
	if len(c.addresses) == 0 {
		return nil, errors.New("found no member's address, wanted one")
	}
	pause := 20 * time.Millisecond
	for tries := 0; ; tries++ {
		to := c.pick()
		a, err := c.one(ctx, to, q)
		switch {
		case err == nil && a.No == "":
			c.believe(to)
			return a, nil
		case err == nil && a.Unknown:
			return nil, fmt.Errorf("%s: %s: %w", to, a.No, ErrUnknown)
		case err == nil && a.Leader != "" && a.Leader != to:
			c.believe(a.Leader)
			if tries < 3 {
				continue
			}
			err = errors.New(a.No)
		case err == nil:
			err = errors.New(a.No)
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

func (c *Client) one(ctx context.Context, to string, q Question) (*Answer, error) {
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
	if bare(c.council) && a.No == "" {
		c.council = a.Council
	}
	return a, nil
}

func bare(of string) bool { return !bytes.ContainsRune([]byte(of), '#') }

// Call asks one member once.
func Call(ctx context.Context, h *http.Client, to, of string, q Question) (*Answer, error) {
	a := &Answer{}
	if err := Post(ctx, h, to, Path, of, q, a); err != nil {
		return nil, err
	}
	return a, nil
}

// Post sends what in says to a path at an address, as JSON, and reads the answer
// into out. of names the council; empty for none. An answer is MostBytes at most.
func Post(ctx context.Context, h *http.Client, to, path, of string, in, out any) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+to+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	if of != "" {
		req.Header.Set(Header, of)
	}
	if err := inject.Way(ctx, to); err != nil {
		return err
	}
	r, err := h.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err = io.ReadAll(io.LimitReader(r.Body, MostBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MostBytes {
		return fmt.Errorf("%s: found an answer of more than %d bytes", to, MostBytes)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("%s: found %d bytes with status %d, wanted an answer in JSON", to, len(text), r.StatusCode)
	}
	return nil
}
