package coapupstream

import (
	"otterspring/internal/coap/client"
	"otterspring/internal/coap/format"
)

// response is an upstream's response. Its memory belongs to the garbage collector.
type response struct{ body, contentType []byte }

func newResponse(result *client.Action) *response {
	r := &response{body: result.Body}
	if contentType, ok := format.MediaType(result.ContentFormat); ok {
		r.contentType = []byte(contentType)
	}
	return r
}

// Body returns the body.
func (r *response) Body() []byte { return r.body }

// ContentType returns the media type, empty for a Content-Format that is not known.
func (r *response) ContentType() []byte { return r.contentType }

// Release does nothing.
func (r *response) Release() {}
