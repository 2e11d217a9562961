package subscription

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"otterspring/internal/fleet/configuration"
)

// pollEncoder writes polls as HTTP requests. What stays the same in all polls of a
// client is marshalled once.
type pollEncoder struct {
	constant []byte // the poll's JSON object up to its varying members
	short    []byte // the same with the digest of the services in their place
	body     []byte // of the request under way; reused
	request  []byte // reused
}

func newPollEncoder(settings Settings) pollEncoder {
	members := constantMembers{Region: settings.Region, Subscriber: settings.Subscriber, Services: settings.Services}
	encoder := pollEncoder{constant: members.open()}
	members.Services, members.Digest = nil, settings.Services.Digest()
	encoder.short = members.open()
	return encoder
}

// constantMembers are those of a poll that stay the same.
type constantMembers struct {
	Region     string                     `json:"region"`
	Subscriber string                     `json:"subscriber"`
	Services   configuration.Subscription `json:"services,omitzero"`
	Digest     uint64                     `json:"services_digest,omitempty"`
}

// open returns the members as an object that is not closed yet.
func (m constantMembers) open() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return text[:len(text)-1]
}

// encode returns the request of a poll; it is valid until the next call. named says
// that the services were named to the relay before: their digest is sent in their place.
func (e *pollEncoder) encode(address string, named bool, version configuration.Version, rejected []configuration.Rejection, wait time.Duration) []byte {
	constant := e.constant
	if named {
		constant = e.short
	}
	body := append(e.body[:0], constant...)
	body = append(body, `,"version":`...)
	body = strconv.AppendUint(body, uint64(version), 10)
	body = append(body, `,"wait_ms":`...)
	body = strconv.AppendInt(body, wait.Milliseconds(), 10)
	body = appendRejected(body, rejected)
	e.body = append(body, '}')

	request := append(e.request[:0], "POST "+configuration.PollPath+" HTTP/1.1\r\nHost: "...)
	request = append(request, address...)
	request = append(request, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	request = strconv.AppendInt(request, int64(len(e.body)), 10)
	request = append(request, "\r\n\r\n"...)
	e.request = append(request, e.body...)
	return e.request
}

// appendRejected appends as many rejections as fit in a poll.
func appendRejected(body []byte, rejected []configuration.Rejection) []byte {
	const end = len("]}")
	opening := `,"rejected":[`
	for _, rejection := range rejected {
		text, err := json.Marshal(rejection)
		if err != nil || len(body)+len(opening)+len(text)+end > configuration.MaxPollBytes {
			continue
		}
		body = append(append(body, opening...), text...)
		opening = ","
	}
	if opening == "," {
		body = append(body, ']')
	}
	return body
}

// checkRegion tells whether an answer can be one to a client of the region.
func checkRegion(answer *configuration.PollResponse, region string) error {
	if answer.Region != region {
		return fmt.Errorf("region: found an answer of %.80q, wanted %q", answer.Region, region)
	}
	return nil
}
