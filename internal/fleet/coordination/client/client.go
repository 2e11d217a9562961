// Package client is how supervisors, relays and operators talk to a cluster of package
// coordination: its requests and responses, and a client that finds the leader. The
// operators' pages call the cluster a council.
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
	// maxRedirects is how many redirects to a leader are followed without a backoff.
	maxRedirects = 3
	// attemptTimeout bounds a call to one member, beside the wait of a long poll.
	attemptTimeout  = 2 * time.Second
	maxIdlePerHost  = 2 // connections
	idleConnTimeout = time.Minute
)

var (
	// ErrUnknownOutcome is returned for a request that may have been applied or not. Such
	// a request is not retried: whether that is safe is the caller's to know.
	ErrUnknownOutcome = errors.New("outcome unknown: the request may have been applied or not")
	// ErrNoMembers is returned by a client without addresses.
	ErrNoMembers = errors.New("found no member's address, wanted one")
)

// UnavailableError is a member's response that it can't answer a request now.
type UnavailableError struct {
	Reason string
	Leader string // address of the member to ask instead; empty where it is not known
}

// Error returns the member's reason.
func (e *UnavailableError) Error() string { return e.Reason }

// Client sends requests to a cluster. It may be used by several goroutines; the mutex
// guards the fields below it and is not locked during a call.
type Client struct {
	addresses []string
	http      http.Client

	mu      sync.Mutex
	cluster string // identity of the first cluster that responded: others are rejected
	leader  string // address that is asked first; empty for none
	next    int    // index of the address that was asked last
}

// NewClient returns a client of the cluster whose members listen at addresses. cluster
// is its name or identity.
func NewClient(cluster string, addresses []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout}
	return &Client{addresses: addresses, cluster: cluster, http: http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a request until a member can answer it, or until ctx ends. A response with
// a Rejection is no error. The error wraps ErrUnknownOutcome where the request may have
// been applied; else it is the last attempt's.
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
			continue // all addresses are tried before the backoff
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("cluster: %s: %w", address, err)
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// nextAddress returns the leader's address, or the next one where it is not known.
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

// attempt sends a request to one member. A member that can't answer is an
// UnavailableError, or ErrUnknownOutcome.
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

// isIdentity reports whether a cluster is named with its number.
func isIdentity(cluster string) bool { return strings.Contains(cluster, "#") }

// Call sends a request to one member, once. cluster is the name or identity of the one
// that the caller means. A response with Unavailable is no error.
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
		return fmt.Errorf("%s: response: found more than %d bytes", e.Address, MaxResponseBytes)
	}
	if err := json.Unmarshal(text, response); err != nil {
		return fmt.Errorf("%s: response: found %d bytes with status %d, wanted JSON: %w", e.Address, len(text), r.StatusCode, err)
	}
	return nil
}
