package configclient

import (
	"encoding/json"
	"strconv"
	"time"

	"otterspring/internal/fleet/configuration"
)

// pollEncoder encodes polls as HTTP requests. It marshals the JSON members that are the same
// in all polls of a client once, and reuses its buffers. It is not safe for concurrent use.
type pollEncoder struct {
	servicesPrefix []byte // start of a poll's JSON object, up to the variable members, with the services
	digestPrefix   []byte // like servicesPrefix, with the digest in place of the services
	body           []byte // body of the last request; reused
	request        []byte // last request; reused
}

func newPollEncoder(settings Settings) pollEncoder {
	members := constantMembers{Region: settings.Region, Subscriber: settings.Subscriber, Services: settings.Services}
	encoder := pollEncoder{servicesPrefix: members.encodePrefix()}
	members.Services, members.Digest = nil, settings.Services.Digest()
	encoder.digestPrefix = members.encodePrefix()
	return encoder
}

// constantMembers are the JSON members of configuration.Poll that are the same in all polls of
// a client.
type constantMembers struct {
	Region     string                     `json:"region"`
	Subscriber string                     `json:"subscriber"`
	Services   configuration.Subscription `json:"services,omitzero"`
	Digest     uint64                     `json:"services_digest,omitempty"`
}

// encodePrefix returns the members as a JSON object without the closing brace.
func (m constantMembers) encodePrefix() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return text[:len(text)-1]
}

// encode returns the HTTP request for a poll. The returned slice is valid until the next call
// of encode. If useDigest is set, the poll contains the digest of the services instead of the
// list of services.
func (e *pollEncoder) encode(address string, useDigest bool, version configuration.Version, rejected []configuration.Rejection, wait time.Duration) []byte {
	prefix := e.servicesPrefix
	if useDigest {
		prefix = e.digestPrefix
	}
	e.body = append(e.body[:0], prefix...)
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

// appendRejected appends the rejections that fit into a poll of configuration.MaxPollBytes.
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
