// Package client provides the client of a coordination cluster, used by supervisors,
// relays and operators. It defines the requests and responses, and Client finds the
// leader. The operator documentation calls the cluster a council.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"otterspring/internal/faultinjection"
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxRedirects is the number of attempts in which a redirect to the leader is followed
	// without a backoff.
	maxRedirects = 3
	// attemptTimeout is the timeout of a call to one member. The wait of a long poll is added
	// to this timeout.
	attemptTimeout  = 2 * time.Second
	maxIdlePerHost  = 2 // idle connections per member
	idleConnTimeout = time.Minute
)

var (
	// ErrUnknownOutcome means that a request may or may not have been applied. Client does
	// not retry such a request, since only the caller knows whether a retry is safe.
	ErrUnknownOutcome = errors.New("outcome unknown: the request may or may not have been applied")
	// ErrNoMembers means that the client has no member addresses.
	ErrNoMembers = errors.New("no member addresses")
)

// UnavailableError means that a member responded that it cannot handle the request now.
type UnavailableError struct {
	Reason string
	Leader string // address of the member to ask instead; empty if unknown
}

func (e *UnavailableError) Error() string { return e.Reason }

// Client sends requests to a cluster. It is safe for concurrent use.
type Client struct {
	addresses []string
	http      http.Client

	mu      sync.Mutex // guards the fields below; not held during a call
	cluster string     // name until a member has responded, then the identity in that response
	leader  string     // address to try first; empty if unknown
	next    int        // index of the last address tried
}

// NewClient returns a client of the cluster whose members listen on addresses. cluster is
// the cluster's name or identity.
func NewClient(cluster string, addresses []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout}
	return &Client{addresses: addresses, cluster: cluster, http: http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request until a member handles it or ctx ends. A response with a Rejection
// is not an error. The error wraps ErrUnknownOutcome if a member has responded that the
// request may or may not have been applied. Any other error is that of the last attempt.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	if len(c.addresses) == 0 {
		return nil, ErrNoMembers
	}
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		address := c.nextAddress()
		response, err := c.attempt(ctx, address, request)
		if err == nil {
			c.setLeader(address)
			return response, nil
		}
		if errors.Is(err, ErrUnknownOutcome) {
			return nil, fmt.Errorf("%s: %w", address, err)
		}
		if unavailable, is := errors.AsType[*UnavailableError](err); is && unavailable.Leader != "" && unavailable.Leader != address {
			c.setLeader(unavailable.Leader)
			if attempt <= maxRedirects {
				continue
			}
		}
		c.forgetLeader(address)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("cluster: %s: %w", address, err)
		}
		if attempt%len(c.addresses) != 0 {
			continue // try all addresses before the backoff
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("cluster: %s: %w", address, err)
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// nextAddress returns the address of the leader if it is known, otherwise the next member
// in turn.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.next = (c.next + 1) % len(c.addresses)
	return c.addresses[c.next]
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func (c *Client) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// attempt sends a request to one member. If the member responds that it cannot handle the
// request, the error is an UnavailableError. If the member responds that the request may
// nevertheless have been applied, the error wraps ErrUnknownOutcome instead.
func (c *Client) attempt(ctx context.Context, address string, request Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+time.Duration(request.WaitMS)*time.Millisecond)
	defer cancel()
	c.mu.Lock()
	cluster := c.cluster
	c.mu.Unlock()
	response, err := Call(ctx, &c.http, address, cluster, request)
	switch {
	case err != nil:
		return nil, err
	case response.Unavailable != "" && response.OutcomeUnknown:
		return nil, fmt.Errorf("%s: %w", response.Unavailable, ErrUnknownOutcome)
	case response.Unavailable != "":
		return nil, &UnavailableError{Reason: response.Unavailable, Leader: response.Leader}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isIdentity(c.cluster) {
		c.cluster = response.Cluster
	}
	return response, nil
}

// isIdentity reports whether cluster is an identity, which has a number after the name.
func isIdentity(cluster string) bool { return strings.Contains(cluster, "#") }

// Call sends a request to one member, without retries. cluster is the name or identity of
// the expected cluster. A response in which Unavailable is set is not an error.
func Call(ctx context.Context, httpClient *http.Client, address, cluster string, request Request) (*Response, error) {
	response := &Response{}
	member := Endpoint{HTTP: httpClient, Address: address, Path: Path, Cluster: cluster}
	if err := member.PostJSON(ctx, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Endpoint is an HTTP endpoint that receives and returns JSON.
type Endpoint struct {
	HTTP    *http.Client
	Address string // host and port
	Path    string
	Cluster string // sent in ClusterHeader unless empty
}

// PostJSON sends a request to the endpoint and decodes its response regardless of the
// status code. It returns an error if the response exceeds MaxResponseBytes.
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
	if err := faultinjection.BeforeSend(ctx, e.Address); err != nil {
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
		return fmt.Errorf("%s: response exceeds %d bytes", e.Address, MaxResponseBytes)
	}
	if err := json.Unmarshal(text, response); err != nil {
		return fmt.Errorf("%s: response: found %d bytes with status %d, wanted JSON: %w", e.Address, len(text), r.StatusCode, err)
	}
	return nil
}
