package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/coordination/server"
)

// Limits of the status of a service.
const (
	maxRelays           = 64
	relayRequestTimeout = 5 * time.Second  // of one relay
	inactiveAfter       = 10 * time.Second // since a subscriber's last poll: it has missed several
	maxPrintedPerState  = 20               // subscribers in the text; -json has all
	maxErrorExcerpt     = 120              // bytes of a relay's invalid response in an error
)

// relayResult is the state of one relay.
type relayResult struct {
	Address     string `json:"address"`
	Version     string `json:"version,omitempty"`
	AgeMS       int64  `json:"age_ms"`
	Subscribers int    `json:"subscribers"`
	Error       string `json:"error,omitempty"` // empty if the relay responded

	response *configuration.StatusResponse // nil with Error
}

// subscriberState is whether a subscriber has applied a service's newest version.
type subscriberState string

const (
	stateApplied  subscriberState = "in_force"
	stateRejected subscriberState = "rejected"
	stateBehind   subscriberState = "behind"
)

// subscriberResult is the state of one subscriber for a service.
type subscriberResult struct {
	Subscriber      string          `json:"subscriber"`
	State           subscriberState `json:"state"`
	Version         string          `json:"version"`          // of the region, that it has acknowledged
	Reason          string          `json:"reason,omitempty"` // of a rejection
	SinceLastPollMS int64           `json:"silent_ms"`
}

func (s *subscriberResult) sinceLastPoll() time.Duration {
	return time.Duration(s.SinceLastPollMS) * time.Millisecond
}

// statusResult is the output of status with -json: the subscribers of all relays for a
// service.
type statusResult struct {
	Service     string             `json:"service"`
	Version     string             `json:"version"` // of the service's last change
	Applied     int                `json:"in_force"`
	Rejected    int                `json:"rejected"`
	Behind      int                `json:"behind"`
	Inactive    int                `json:"silent"` // of the above, without a poll for inactiveAfter
	Relays      []relayResult      `json:"relays"`
	Subscribers []subscriberResult `json:"subscribers"`
}

// configStatus prints where a service's settings are applied. It fails if a relay does not
// respond.
func configStatus(options *configOptions) *cobra.Command {
	var relays string
	command := options.serviceVerb("status [flags] SERVICE", "tell where the settings of a service are in force", func(ctx context.Context, cluster *server.Config, service string) error {
		addresses, err := relayAddresses(relays)
		if err != nil {
			return err
		}
		response, err := requestConfiguration(ctx, cluster, client.Request{Kind: client.ReadConfiguration, Service: service})
		if err != nil {
			return err
		}
		result := newStatusResult(response.Resource, fetchAllStatus(ctx, cluster.Name, addresses, service))
		if options.asJSON {
			err = options.printJSON(result)
		} else {
			err = printStatus(options.out, result)
		}
		if err != nil {
			return err
		}
		for _, relay := range result.Relays {
			if relay.Error != "" {
				return errSaid
			}
		}
		return nil
	})
	command.Flags().StringVar(&relays, "relays", "", "addresses of the relays, parted by commas")
	return command
}

// relayAddresses parses the flag -relays.
func relayAddresses(list string) ([]string, error) {
	addresses := strings.Split(list, ",")
	if list == "" || len(addresses) > maxRelays {
		return nil, fmt.Errorf("%w: -relays: found %q, wanted 1 to %d addresses parted by commas", errUsage, list, maxRelays)
	}
	seen := map[string]bool{}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("%w: -relays: found %q, wanted an IP address and a port", errUsage, address)
		}
		if seen[address] {
			return nil, fmt.Errorf("%w: -relays: found %s twice, wanted each relay once", errUsage, address)
		}
		seen[address] = true
	}
	return addresses, nil
}

// fetchAllStatus fetches the status of all relays of a region concurrently, in the order of
// their addresses.
func fetchAllStatus(ctx context.Context, region string, addresses []string, service string) []relayResult {
	all := make([]relayResult, len(addresses))
	var fetching sync.WaitGroup
	for i, address := range addresses {
		fetching.Go(func() { all[i] = fetchRelayStatus(ctx, region, address, service) })
	}
	fetching.Wait()
	return all
}

func fetchRelayStatus(ctx context.Context, region, address, service string) relayResult {
	result := relayResult{Address: address}
	response, err := fetchStatusResponse(ctx, address, service)
	if err == nil && response.Region != region {
		err = fmt.Errorf("found a relay of region %q, wanted %q", response.Region, region)
	}
	if err != nil {
		result.Error = strings.ReplaceAll(err.Error(), "\n", " ")
		return result
	}
	result.response = response
	result.Version, result.AgeMS, result.Subscribers = response.Version.String(), response.AgeMS, len(response.Subscribers)
	return result
}

func fetchStatusResponse(ctx context.Context, address, service string) (*configuration.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayRequestTimeout)
	defer cancel()
	query := url.Values{configuration.StatusParameter: {service}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configuration.StatusPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	request.Close = true // the only request
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, configuration.MaxStatusResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > configuration.MaxStatusResponseBytes {
		return nil, fmt.Errorf("found a response of more than %d bytes", configuration.MaxStatusResponseBytes)
	}
	status := &configuration.StatusResponse{}
	if err := json.Unmarshal(text, status); response.StatusCode != http.StatusOK || err != nil {
		return nil, fmt.Errorf("found status %d and %q, wanted a response in JSON", response.StatusCode, text[:min(len(text), maxErrorExcerpt)])
	}
	return status, nil
}

// newStatusResult compares the subscribers' versions with a service's newest one.
func newStatusResult(resource *configuration.Resource, relays []relayResult) statusResult {
	result := statusResult{Service: resource.Service, Version: resource.Version.String(), Relays: relays, Subscribers: []subscriberResult{}}
	var reports [][]configuration.SubscriberStatus
	for _, relay := range relays {
		if relay.response != nil {
			reports = append(reports, relay.response.Subscribers)
		}
	}
	for _, subscriber := range configuration.MergeStatus(reports...) {
		state := subscriberResult{Subscriber: subscriber.Subscriber, State: stateApplied, Version: subscriber.Version.String(), SinceLastPollMS: subscriber.SinceLastPollMS}
		switch {
		case subscriber.Version < resource.Version:
			state.State = stateBehind
			result.Behind++
		case subscriber.RejectedVersion >= resource.Version:
			state.State, state.Reason = stateRejected, subscriber.Reason
			result.Rejected++
		default:
			result.Applied++
		}
		if state.sinceLastPoll() > inactiveAfter {
			result.Inactive++
		}
		result.Subscribers = append(result.Subscribers, state)
	}
	return result
}

// printStatus prints a status as text.
func printStatus(out io.Writer, result statusResult) error {
	var text strings.Builder
	for _, relay := range result.Relays {
		if relay.Error != "" {
			fmt.Fprintf(&text, "relay %s: no answer: %s\n", relay.Address, relay.Error)
			continue
		}
		age := time.Duration(relay.AgeMS) * time.Millisecond
		fmt.Fprintf(&text, "relay %s: version %s, heard from the council %v ago, %s\n", relay.Address, relay.Version, age, plural(relay.Subscribers, "subscriber", "subscribers"))
	}
	printState(&text, result.Subscribers, func(s *subscriberResult) string {
		if s.State != stateRejected {
			return ""
		}
		return fmt.Sprintf("rejected by %s: %s", s.Subscriber, oneLine(s.Reason))
	})
	printState(&text, result.Subscribers, func(s *subscriberResult) string {
		if s.State != stateBehind {
			return ""
		}
		return fmt.Sprintf("behind: %s at version %s", s.Subscriber, s.Version)
	})
	printState(&text, result.Subscribers, func(s *subscriberResult) string {
		if s.sinceLastPoll() <= inactiveAfter {
			return ""
		}
		return fmt.Sprintf("silent: %s for %v", s.Subscriber, s.sinceLastPoll().Round(time.Second))
	})
	fmt.Fprintf(&text, "%s: version %s in force at %d of %d, rejected by %d, behind %d, silent %d\n",
		result.Service, result.Version, result.Applied, len(result.Subscribers), result.Rejected, result.Behind, result.Inactive)
	_, err := io.WriteString(out, text.String())
	return err
}

// printState prints the lines of the subscribers that have one, maxPrintedPerState at most.
func printState(text *strings.Builder, all []subscriberResult, format func(*subscriberResult) string) {
	found := 0
	for i := range all {
		line := format(&all[i])
		if line == "" {
			continue
		}
		if found++; found <= maxPrintedPerState {
			text.WriteString(line + "\n")
		}
	}
	if found > maxPrintedPerState {
		fmt.Fprintf(text, "... and %d more (-json has all)\n", found-maxPrintedPerState)
	}
}

// oneLine returns a text without line breaks.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
