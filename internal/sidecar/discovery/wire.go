package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

// The names in discovery's protocol: paths, headers, JSON keys and statuses.

const (
	hostsPath  = "/discovery/hosts"
	watchQuery = "?since=%d&timeout_ms=%d"
	// sourceHeader is set by a proxy. It names the discovery service that assigned the
	// versions of the list.
	sourceHeader = "X-List-Source"

	keyVersion       = "index"
	keySnapshot      = "snapshot"
	keyEndpoints     = "endpoints"
	keyName          = "name"
	keyAddress       = "address"
	keyZone          = "zone"
	keyGroup         = "group"
	keyMachineKind   = "type"
	keyStatus        = "status"
	keyStartedMillis = "since_ms"
)

var (
	stateByStatus = map[string]balance.ServerState{"active": balance.Ready, "leaving": balance.Draining, "left": balance.Removed}
	statusByState = map[balance.ServerState]string{balance.Ready: "active", balance.Draining: "leaving", balance.Removed: "left"}
)

// Parse parses an endpoint list in discovery's JSON format. See ParseValue.
func Parse(text []byte, schemes ...string) (dispatch.EndpointList, error) {
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return dispatch.EndpointList{}, fmt.Errorf("not JSON: %w", err)
	}
	return ParseValue(value, schemes...)
}

// ParseValue decodes an endpoint list strictly: an invalid endpoint fails the whole list,
// since using only a part of it would drop servers that exist. The error names the first
// invalid endpoint and key. Addresses may start with one of schemes. Unknown keys are
// ignored.
func ParseValue(value *fastjson.Value, schemes ...string) (dispatch.EndpointList, error) {
	if value.Type() != fastjson.TypeObject {
		return dispatch.EndpointList{}, fmt.Errorf("list: expected an object, found %s", value.Type())
	}
	version, err := parseNonNegative(value, keyVersion)
	if err != nil {
		return dispatch.EndpointList{}, err
	}
	snapshot := value.Get(keySnapshot)
	if snapshot == nil || snapshot.Type() != fastjson.TypeTrue && snapshot.Type() != fastjson.TypeFalse {
		return dispatch.EndpointList{}, errors.New(keySnapshot + ": expected true or false")
	}
	endpoints := value.Get(keyEndpoints)
	if endpoints == nil || endpoints.Type() != fastjson.TypeArray {
		return dispatch.EndpointList{}, errors.New(keyEndpoints + ": expected an array")
	}
	list := dispatch.EndpointList{Version: version, Snapshot: snapshot.Type() == fastjson.TypeTrue}
	for i, value := range endpoints.GetArray() {
		endpoint, err := parseEndpoint(value, schemes)
		if err != nil {
			return dispatch.EndpointList{}, fmt.Errorf("endpoint %d: %w", i, err)
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

func parseEndpoint(value *fastjson.Value, schemes []string) (dispatch.Endpoint, error) {
	endpoint := dispatch.Endpoint{Address: string(value.GetStringBytes(keyAddress))}
	endpoint.ID = string(value.GetStringBytes(keyName))
	endpoint.Zone, endpoint.Cell = string(value.GetStringBytes(keyZone)), value.GetInt(keyGroup)
	endpoint.MachineKind = string(value.GetStringBytes(keyMachineKind))
	if endpoint.ID == "" {
		return endpoint, errors.New(keyName + ": missing")
	}
	state, ok := stateByStatus[string(value.GetStringBytes(keyStatus))]
	if !ok {
		return endpoint, fmt.Errorf("%s: unknown %q", keyStatus, value.GetStringBytes(keyStatus))
	}
	endpoint.State = state
	if _, err := netip.ParseAddrPort(trimScheme(endpoint.Address, schemes)); err != nil && state != balance.Removed {
		return endpoint, fmt.Errorf("%s: expected an IP address and port, found %q", keyAddress, endpoint.Address)
	}
	if value.Exists(keyStartedMillis) {
		var err error
		if endpoint.StartedMillis, err = parseNonNegative(value, keyStartedMillis); err != nil {
			return endpoint, err
		}
	}
	return endpoint, nil
}

// trimScheme removes the first of schemes that the address starts with.
func trimScheme(address string, schemes []string) string {
	for _, scheme := range schemes {
		if rest, ok := strings.CutPrefix(address, scheme); ok {
			return rest
		}
	}
	return address
}

// parseNonNegative returns the non-negative integer under a key.
func parseNonNegative(value *fastjson.Value, key string) (int64, error) {
	if field := value.Get(key); field != nil {
		if n, err := field.Int64(); err == nil && n >= 0 {
			return n, nil
		}
	}
	return 0, fmt.Errorf("%s: expected a non-negative integer", key)
}

// Marshal encodes a list in discovery's JSON format, as a snapshot.
func Marshal(list dispatch.EndpointList) []byte {
	var arena fastjson.Arena
	endpoints := arena.NewArray()
	for i, endpoint := range list.Endpoints {
		object := arena.NewObject()
		object.Set(keyName, arena.NewString(endpoint.ID))
		object.Set(keyAddress, arena.NewString(endpoint.Address))
		object.Set(keyZone, arena.NewString(endpoint.Zone))
		object.Set(keyGroup, arena.NewNumberInt(endpoint.Cell))
		if endpoint.MachineKind != "" {
			object.Set(keyMachineKind, arena.NewString(endpoint.MachineKind))
		}
		object.Set(keyStatus, arena.NewString(statusByState[endpoint.State]))
		object.Set(keyStartedMillis, arena.NewNumberString(strconv.FormatInt(endpoint.StartedMillis, 10)))
		endpoints.SetArrayItem(i, object)
	}
	object := arena.NewObject()
	object.Set(keyVersion, arena.NewNumberString(strconv.FormatInt(list.Version, 10)))
	object.Set(keySnapshot, arena.NewTrue())
	object.Set(keyEndpoints, endpoints)
	return object.MarshalTo(nil)
}
