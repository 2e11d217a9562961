package coapupstream

import (
	"otterspring/internal/coap/client"
	"otterspring/internal/coap/format"
)

// response is the response of an upstream. Its memory is garbage-collected.
type response struct{ body, contentType []byte }

func newResponse(result *client.Action) *response {
	r := &response{body: result.Body}
	if contentType, ok := format.MediaType(result.ContentFormat); ok {
		r.contentType = []byte(contentType)
	}
	return r
}

// Body returns the response body.
func (r *response) Body() []byte { return r.body }

// ContentType returns the media type. It is empty if the Content-Format is absent or unknown.
func (r *response) ContentType() []byte { return r.contentType }

// Release does nothing, since the memory is not pooled.
func (r *response) Release() {}
