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

// Limits of config status.
const (
	maxRelays          = 64
	relayStatusTimeout = 5 * time.Second // time limit for the response of one relay
	// subscriberTimeout is the time without a poll after which a subscriber counts as silent.
	// Such a subscriber has missed several polls.
	subscriberTimeout     = 10 * time.Second
	maxListedSubscribers  = 20  // number of subscribers printed per state in the text output; -json prints all
	maxErrorResponseBytes = 120 // number of bytes of an invalid response that an error quotes
)

// relayResult is the status that one relay returned, or the error of the request.
type relayResult struct {
	Address     string `json:"address"`
	Version     string `json:"version,omitempty"`
	AgeMS       int64  `json:"age_ms"`
	Subscribers int    `json:"subscribers"`
	Error       string `json:"error,omitempty"` // empty if the relay returned its status

	response *configuration.StatusResponse // nil if Error is set
}

// subscriberState tells whether the newest version of a service is in force at a subscriber.
// The values are part of the output of "config status -json".
type subscriberState string

const (
	stateInForce  subscriberState = "in_force"
	stateRejected subscriberState = "rejected"
	stateBehind   subscriberState = "behind"
)

// subscriberResult is one subscriber of a service.
type subscriberResult struct {
	Subscriber  string          `json:"subscriber"`
	State       subscriberState `json:"state"`
	Version     string          `json:"version"`          // newest version of the region that the subscriber has received
	Reason      string          `json:"reason,omitempty"` // why the subscriber rejected the service's newest version
	SinceSeenMS int64           `json:"silent_ms"`        // time since the subscriber's last poll
}

func (s *subscriberResult) sinceSeen() time.Duration {
	return time.Duration(s.SinceSeenMS) * time.Millisecond
}

func (s *subscriberResult) timedOut() bool { return s.sinceSeen() > subscriberTimeout }

// statusResult is the status of a service at the subscribers of all relays.
type statusResult struct {
	Service     string             `json:"service"`
	Version     string             `json:"version"` // version of the service's last change
	InForce     int                `json:"in_force"`
	Rejected    int                `json:"rejected"`
	Behind      int                `json:"behind"`
	TimedOut    int                `json:"silent"` // silent subscribers; each is also counted in one of the counts above
	Relays      []relayResult      `json:"relays"`
	Subscribers []subscriberResult `json:"subscribers"`
}

// configStatus returns the verb "status", which shows where a service's settings are in force.
func configStatus(options *configOptions) *cobra.Command {
	var relays string
	command := options.serviceVerb("status [flags] SERVICE", "show where the settings of a service are in force", func(ctx context.Context, config *server.Config, service string) error {
		addresses, err := parseRelayAddresses(relays)
		if err != nil {
			return err
		}
		response, err := requestConfiguration(ctx, config, client.Request{Kind: client.ReadConfiguration, Service: service})
		if err != nil {
			return err
		}
		result := newStatusResult(response.Resource, fetchRelayResults(ctx, config.Name, addresses, service))
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
				return errReported
			}
		}
		return nil
	})
	command.Flags().StringVar(&relays, "relays", "", "addresses of the relays, separated by commas")
	return command
}

// parseRelayAddresses parses the value of -relays.
func parseRelayAddresses(list string) ([]string, error) {
	addresses := strings.Split(list, ",")
	if list == "" || len(addresses) > maxRelays {
		return nil, fmt.Errorf("%w: -relays: found %q, wanted 1 to %d addresses separated by commas", errUsage, list, maxRelays)
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

// fetchRelayResults fetches the status of all relays concurrently. The results are in
// the order of addresses.
func fetchRelayResults(ctx context.Context, region string, addresses []string, service string) []relayResult {
	results := make([]relayResult, len(addresses))
	var fetches sync.WaitGroup
	for i, address := range addresses {
		fetches.Go(func() { results[i] = fetchRelayResult(ctx, region, address, service) })
	}
	fetches.Wait()
	return results
}

func fetchRelayResult(ctx context.Context, region, address, service string) relayResult {
	result := relayResult{Address: address}
	response, err := fetchRelayStatus(ctx, address, service)
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

func fetchRelayStatus(ctx context.Context, address, service string) (*configuration.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayStatusTimeout)
	defer cancel()
	query := url.Values{configuration.StatusParameter: {service}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configuration.StatusPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	request.Close = true // no further request is sent to this relay
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
		return nil, fmt.Errorf("response: found more than %d bytes", configuration.MaxStatusResponseBytes)
	}
	status := &configuration.StatusResponse{}
	if err := json.Unmarshal(text, status); response.StatusCode != http.StatusOK || err != nil {
		return nil, fmt.Errorf("response: found status %d and %q, wanted JSON", response.StatusCode, text[:min(len(text), maxErrorResponseBytes)])
	}
	return status, nil
}

// newStatusResult merges the subscribers of all relays and counts them by state.
func newStatusResult(resource *configuration.Resource, relays []relayResult) statusResult {
	result := statusResult{Service: resource.Service, Version: resource.Version.String(), Relays: relays, Subscribers: []subscriberResult{}}
	var lists [][]configuration.SubscriberStatus
	for _, relay := range relays {
		if relay.response != nil {
			lists = append(lists, relay.response.Subscribers)
		}
	}
	for _, status := range configuration.MergeStatus(lists...) {
		subscriber := subscriberResult{Subscriber: status.Subscriber, State: stateInForce, Version: status.Version.String(), SinceSeenMS: status.SinceLastPollMS}
		switch {
		case status.Version < resource.Version:
			subscriber.State = stateBehind
			result.Behind++
		case status.RejectedVersion >= resource.Version:
			subscriber.State, subscriber.Reason = stateRejected, status.Reason
			result.Rejected++
		default:
			result.InForce++
		}
		if subscriber.timedOut() {
			result.TimedOut++
		}
		result.Subscribers = append(result.Subscribers, subscriber)
	}
	return result
}

// printStatus prints the text output of config status.
func printStatus(out io.Writer, result statusResult) error {
	output := &printer{out: out}
	for _, relay := range result.Relays {
		if relay.Error != "" {
			output.printf("relay %s: no answer: %s\n", relay.Address, relay.Error)
			continue
		}
		age := time.Duration(relay.AgeMS) * time.Millisecond
		output.printf("relay %s: version %s, last response from the council %v ago, %s\n", relay.Address, relay.Version, age, plural(relay.Subscribers, "subscriber", "subscribers"))
	}
	printSubscribers(output, result.Subscribers, func(s *subscriberResult) string {
		if s.State != stateRejected {
			return ""
		}
		return fmt.Sprintf("rejected by %s: %s", s.Subscriber, singleLine(s.Reason))
	})
	printSubscribers(output, result.Subscribers, func(s *subscriberResult) string {
		if s.State != stateBehind {
			return ""
		}
		return fmt.Sprintf("behind: %s at version %s", s.Subscriber, s.Version)
	})
	printSubscribers(output, result.Subscribers, func(s *subscriberResult) string {
		if !s.timedOut() {
			return ""
		}
		return fmt.Sprintf("silent: %s for %v", s.Subscriber, s.sinceSeen().Round(time.Second))
	})
	output.printf("%s: version %s in force at %d of %d, rejected by %d, behind %d, silent %d\n",
		result.Service, result.Version, result.InForce, len(result.Subscribers), result.Rejected, result.Behind, result.TimedOut)
	return output.err
}

// printSubscribers prints the nonempty results of line, at most maxListedSubscribers of them,
// and then the number of results that are left out.
func printSubscribers(output *printer, subscribers []subscriberResult, line func(*subscriberResult) string) {
	count := 0
	for i := range subscribers {
		text := line(&subscribers[i])
		if text == "" {
			continue
		}
		if count++; count <= maxListedSubscribers {
			output.println(text)
		}
	}
	if count > maxListedSubscribers {
		output.printf("... and %d more (-json has all)\n", count-maxListedSubscribers)
	}
}

// singleLine replaces each run of white space by one space, so that a text received from
// another process takes one line.
func singleLine(text string) string { return strings.Join(strings.Fields(text), " ") }
