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

// Bounds of the status of a service.
const (
	maxRelays         = 64
	relayTimeout      = 5 * time.Second  // of one relay's answer
	silentAfter       = 10 * time.Second // of a subscriber: several polls were missed
	maxNamedOfAKind   = 20               // subscribers in the text; JSON has all
	maxRefusalExcerpt = 120              // bytes of a relay's refusal in the text
)

// relayAnswer is what one relay says.
type relayAnswer struct {
	Address     string `json:"address"`
	Version     string `json:"version,omitempty"`
	AgeMS       int64  `json:"age_ms"`
	Subscribers int    `json:"subscribers"`
	Error       string `json:"error,omitempty"` // why there is no answer; empty for one

	answer *configuration.StatusResponse
}

// subscriberState is how a subscriber stands to a service.
type subscriberState string

const (
	stateInForce  subscriberState = "in_force"
	stateRejected subscriberState = "rejected"
	stateBehind   subscriberState = "behind"
)

// subscriberLine is one subscriber of a service.
type subscriberLine struct {
	Subscriber string          `json:"subscriber"`
	State      subscriberState `json:"state"`
	Version    string          `json:"version"`          // of the region, that it has taken
	Reason     string          `json:"reason,omitempty"` // of a rejection
	SilentMS   int64           `json:"silent_ms"`
}

func (l *subscriberLine) silent() time.Duration { return time.Duration(l.SilentMS) * time.Millisecond }

// statusResult is how the subscribers of all relays stand to a service.
type statusResult struct {
	Service     string           `json:"service"`
	Version     string           `json:"version"` // of the service's last change
	InForce     int              `json:"in_force"`
	Rejected    int              `json:"rejected"`
	Behind      int              `json:"behind"`
	Silent      int              `json:"silent"` // of the above, not heard of lately
	Relays      []relayAnswer    `json:"relays"`
	Subscribers []subscriberLine `json:"subscribers"`
}

// configStatus tells where a service's settings are in force.
func configStatus(o *configOptions) *cobra.Command {
	var relays string
	c := o.ofService("status [flags] SERVICE", "tell where the settings of a service are in force", func(ctx context.Context, f *server.Config, service string) error {
		addresses, err := relayAddresses(relays)
		if err != nil {
			return err
		}
		a, err := askConfiguration(ctx, f, client.Request{Kind: client.ReadConfiguration, Service: service})
		if err != nil {
			return err
		}
		result := statusOf(a.Resource, askRelays(ctx, f.Name, addresses, service))
		if o.asJSON {
			err = o.printJSON(result)
		} else {
			err = printStatus(o.out, result)
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
	c.Flags().StringVar(&relays, "relays", "", "addresses of the relays, parted by commas")
	return c
}

// relayAddresses reads the flag -relays.
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

// askRelays asks all relays of a region at a time.
func askRelays(ctx context.Context, region string, addresses []string, service string) []relayAnswer {
	all := make([]relayAnswer, len(addresses))
	var asked sync.WaitGroup
	for i, address := range addresses {
		asked.Go(func() { all[i] = askRelay(ctx, region, address, service) })
	}
	asked.Wait()
	return all
}

func askRelay(ctx context.Context, region, address, service string) relayAnswer {
	status := relayAnswer{Address: address}
	answer, err := fetchStatus(ctx, address, service)
	if err == nil && answer.Region != region {
		err = fmt.Errorf("found a relay of region %q, wanted %q", answer.Region, region)
	}
	if err != nil {
		status.Error = strings.ReplaceAll(err.Error(), "\n", " ")
		return status
	}
	status.answer = answer
	status.Version, status.AgeMS, status.Subscribers = answer.Version.String(), answer.AgeMS, len(answer.Subscribers)
	return status
}

func fetchStatus(ctx context.Context, address, service string) (*configuration.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	query := url.Values{configuration.StatusParameter: {service}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configuration.StatusPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	request.Close = true // asked once
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
		return nil, fmt.Errorf("found an answer of more than %d bytes", configuration.MaxStatusResponseBytes)
	}
	answer := &configuration.StatusResponse{}
	if err := json.Unmarshal(text, answer); response.StatusCode != http.StatusOK || err != nil {
		return nil, fmt.Errorf("found status %d and %q, wanted an answer in JSON", response.StatusCode, text[:min(len(text), maxRefusalExcerpt)])
	}
	return answer, nil
}

// statusOf counts how the subscribers stand to a service's newest version.
func statusOf(resource *configuration.Resource, relays []relayAnswer) statusResult {
	result := statusResult{Service: resource.Service, Version: resource.Version.String(), Relays: relays, Subscribers: []subscriberLine{}}
	var said [][]configuration.SubscriberStatus
	for _, relay := range relays {
		if relay.answer != nil {
			said = append(said, relay.answer.Subscribers)
		}
	}
	for _, subscriber := range configuration.MergeStatus(said...) {
		line := subscriberLine{Subscriber: subscriber.Subscriber, State: stateInForce, Version: subscriber.Version.String(), SilentMS: subscriber.SinceLastPollMS}
		switch {
		case subscriber.Version < resource.Version:
			line.State = stateBehind
			result.Behind++
		case subscriber.RejectedVersion >= resource.Version:
			line.State, line.Reason = stateRejected, subscriber.Reason
			result.Rejected++
		default:
			result.InForce++
		}
		if line.silent() > silentAfter {
			result.Silent++
		}
		result.Subscribers = append(result.Subscribers, line)
	}
	return result
}

// printStatus prints a status for a person.
func printStatus(out io.Writer, result statusResult) error {
	var b strings.Builder
	for _, relay := range result.Relays {
		if relay.Error != "" {
			fmt.Fprintf(&b, "relay %s: no answer: %s\n", relay.Address, relay.Error)
			continue
		}
		age := time.Duration(relay.AgeMS) * time.Millisecond
		fmt.Fprintf(&b, "relay %s: version %s, heard from the council %v ago, %s\n", relay.Address, relay.Version, age, plural(relay.Subscribers, "subscriber", "subscribers"))
	}
	printKind(&b, result.Subscribers, func(l *subscriberLine) string {
		if l.State != stateRejected {
			return ""
		}
		return fmt.Sprintf("rejected by %s: %s", l.Subscriber, oneLine(l.Reason))
	})
	printKind(&b, result.Subscribers, func(l *subscriberLine) string {
		if l.State != stateBehind {
			return ""
		}
		return fmt.Sprintf("behind: %s at version %s", l.Subscriber, l.Version)
	})
	printKind(&b, result.Subscribers, func(l *subscriberLine) string {
		if l.silent() <= silentAfter {
			return ""
		}
		return fmt.Sprintf("silent: %s for %v", l.Subscriber, l.silent().Round(time.Second))
	})
	fmt.Fprintf(&b, "%s: version %s in force at %d of %d, rejected by %d, behind %d, silent %d\n",
		result.Service, result.Version, result.InForce, len(result.Subscribers), result.Rejected, result.Behind, result.Silent)
	_, err := io.WriteString(out, b.String())
	return err
}

// printKind prints the lines of the subscribers that have one, the first of them.
func printKind(b *strings.Builder, all []subscriberLine, word func(*subscriberLine) string) {
	found := 0
	for i := range all {
		line := word(&all[i])
		if line == "" {
			continue
		}
		if found++; found <= maxNamedOfAKind {
			b.WriteString(line + "\n")
		}
	}
	if found > maxNamedOfAKind {
		fmt.Fprintf(b, "... and %d more (-json has all)\n", found-maxNamedOfAKind)
	}
}

// oneLine keeps what others wrote from breaking a line.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
