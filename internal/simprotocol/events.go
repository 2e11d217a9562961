package simprotocol

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// The values of package balance's enumerations, by their names in the protocol.
var (
	listKinds = map[string]balance.ListKind{
		"FULL": balance.ListFull, "SAVED": balance.ListCached, "INCREMENTAL": balance.ListDelta, "FAILED": balance.ListFailed,
	}
	statuses = map[string]balance.Status{
		"OK": balance.OK, "INTERNAL": balance.Error, "RESOURCE_EXHAUSTED": balance.AtCapacity, "DEADLINE_EXCEEDED": balance.Timeout,
		"UNAVAILABLE": balance.ConnectFailed, "ABORTED": balance.Reset, "CANCELLED": balance.Cancelled, "TOO_LATE": balance.NeverSent,
	}
	serverStates = map[string]balance.ServerState{"on": balance.Ready, "fading": balance.Draining, "off": balance.Removed}
)

// instanceEvents are the events that require a started instance.
var instanceEvents = map[string]bool{
	"ask": true, "timer": true, "resolved": true, "started": true, "lapsed": true,
	"peers-known": true, "check-result": true, "inbox": true, "teardown": true,
}

// dispatch decodes an event and calls the corresponding method of its instance.
func (a *adapter) dispatch(instance *balance.Balancer, operation string, message *fastjson.Value) ([]balance.Action, error) {
	actions := a.actions[:0]
	switch operation {
	case "ask":
		return instance.Request(a.now, balance.Request{
			ID: stringField(message, "op-id"), Class: stringField(message, "profile"), Tenant: stringField(message, "billing"), Key: stringField(message, "subject"),
			Deadline: durationField(message, "valid-until-us"), Work: durationField(message, "effort-us"), IsRetry: message.GetBool("repeat"),
		}, actions), nil
	case "timer":
		return instance.Timer(a.now, message.GetUint64("token"), actions), nil
	case "resolved":
		status, err := parseStatus(message)
		return instance.Outcome(a.now, balance.Outcome{
			Request: stringField(message, "op-id"), Number: message.GetInt("round-no"),
			Status: status, Took: durationField(message, "rtt-us"), Final: message.GetBool("final"),
		}, actions), err
	case "started":
		return instance.Started(a.now, stringField(message, "op-id"), message.GetInt("round-no"), actions), nil
	case "lapsed":
		return instance.Disconnected(a.now, stringField(message, "op-id"), actions), nil
	case "peers-known":
		return a.updateEndpoints(instance, message, actions)
	case "check-result":
		_, err := parseStatus(message) // only validated: package balance sends no health checks
		return actions, err
	case "inbox", "teardown":
		return actions, nil
	}
	return actions, fmt.Errorf("%w: op %q", ErrUnknownName, operation)
}

// updateEndpoints passes a new endpoint list, or the failure to get one, to its instance.
func (a *adapter) updateEndpoints(instance *balance.Balancer, message *fastjson.Value, actions []balance.Action) ([]balance.Action, error) {
	mode := stringField(message, "mode")
	kind, ok := listKinds[mode]
	if !ok {
		return actions, fmt.Errorf("%w: mode %q", ErrUnknownName, mode)
	}
	if kind == balance.ListFailed {
		return instance.Endpoints(a.now, kind, nil, actions), nil
	}
	number := message.GetInt64("table")
	table, ok := a.tables[number]
	if !ok {
		return actions, fmt.Errorf("%w: %d", ErrNoTable, number)
	}
	return instance.Endpoints(a.now, kind, table, actions), nil
}

// parseStatus parses the result of an attempt.
func parseStatus(message *fastjson.Value) (balance.Status, error) {
	result := stringField(message, "result")
	status, ok := statuses[result]
	if !ok {
		return balance.Error, fmt.Errorf("%w: result %q", ErrUnknownName, result)
	}
	return status, nil
}

// parseServers parses the entries of an endpoint list. A server whose state is unknown is
// treated as draining.
func parseServers(entries []*fastjson.Value) []balance.Server {
	servers := make([]balance.Server, 0, len(entries))
	for _, entry := range entries {
		state, ok := serverStates[stringField(entry, "mode")]
		if !ok {
			state = balance.Draining
		}
		servers = append(servers, balance.Server{
			ID: stringField(entry, "upstream"), Zone: stringField(entry, "failure-domain"), Cell: entry.GetInt("cell"),
			MachineKind: stringField(entry, "machine"), StartTime: durationField(entry, "came-up-us"), State: state,
		})
	}
	return servers
}

func stringField(v *fastjson.Value, key string) string { return string(v.GetStringBytes(key)) }

func durationField(v *fastjson.Value, key string) time.Duration {
	return time.Duration(v.GetInt64(key)) * time.Microsecond
}

// parseSeed returns the seed of an instance, which may be encoded as a signed integer.
func parseSeed(v *fastjson.Value) uint64 {
	if n := v.GetUint64("salt"); n != 0 {
		return n
	}
	return uint64(v.GetInt64("salt"))
}
