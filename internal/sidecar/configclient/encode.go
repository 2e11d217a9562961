package configclient

import (
	"encoding/json"
	"strconv"
	"time"

	"otterspring/internal/fleet/configuration"
)

// pollEncoder encodes polls as HTTP requests. It marshals the constant members of a
// client's polls once and reuses its buffers. It belongs to one goroutine.
type pollEncoder struct {
	withServices []byte // the poll's JSON object up to its variable members
	withDigest   []byte // the same with the digest instead of the services
	body         []byte // of the last request; reused
	request      []byte // reused
}

func newPollEncoder(settings Settings) pollEncoder {
	members := constantMembers{Region: settings.Region, Subscriber: settings.Subscriber, Services: settings.Services}
	encoder := pollEncoder{withServices: members.encodeOpen()}
	members.Services, members.Digest = nil, settings.Services.Digest()
	encoder.withDigest = members.encodeOpen()
	return encoder
}

// constantMembers are the members of configuration.Poll that are the same in all polls.
type constantMembers struct {
	Region     string                     `json:"region"`
	Subscriber string                     `json:"subscriber"`
	Services   configuration.Subscription `json:"services,omitzero"`
	Digest     uint64                     `json:"services_digest,omitempty"`
}

// encodeOpen returns the members as a JSON object without its closing brace.
func (m constantMembers) encodeOpen() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return text[:len(text)-1]
}

// encode returns the request of a poll, which is valid until the next call. useDigest
// replaces the services by their digest.
func (e *pollEncoder) encode(address string, useDigest bool, version configuration.Version, rejected []configuration.Rejection, wait time.Duration) []byte {
	constant := e.withServices
	if useDigest {
		constant = e.withDigest
	}
	e.body = append(e.body[:0], constant...)
	e.body = append(e.body, `,"version":`...)
	e.body = strconv.AppendUint(e.body, uint64(version), 10)
	e.body = append(e.body, `,"wait_ms":`...)
	e.body = strconv.AppendInt(e.body, wait.Milliseconds(), 10)
	e.body = appendRejected(e.body, rejected)
	e.body = append(e.body, '}')

	e.request = append(e.request[:0], "POST "+configuration.PollPath+" HTTP/1.1\r\nHost: "...)
	e.request = append(e.request, address...)
	e.request = append(e.request, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	e.request = strconv.AppendInt(e.request, int64(len(e.body)), 10)
	e.request = append(e.request, "\r\n\r\n"...)
	e.request = append(e.request, e.body...)
	return e.request
}

// appendRejected appends as many rejections as fit into a poll.
func appendRejected(body []byte, rejected []configuration.Rejection) []byte {
	const closing = "]}"
	separator := `,"rejected":[`
	for _, rejection := range rejected {
		text, err := json.Marshal(rejection)
		if err != nil || len(body)+len(separator)+len(text)+len(closing) > configuration.MaxPollBytes {
			continue
		}
		body = append(body, separator...)
		body = append(body, text...)
		separator = ","
	}
	if separator == "," {
		body = append(body, ']')
	}
	return body
}
