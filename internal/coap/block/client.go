package block

import "otterspring/internal/coap/message"

// Upload sends the body of one request in blocks (Block1).
type Upload struct {
	body   []byte
	size   int // of a block
	offset int // of the current block
}

// NewUpload starts an upload in blocks of that size, which must be one of RFC 7959. The
// body is not copied.
func NewUpload(body []byte, size int) *Upload { return &Upload{body: body, size: size} }

// Block returns the payload and the Block1 option of the current block.
func (u *Upload) Block() ([]byte, message.Block) {
	end := min(u.offset+u.size, len(u.body))
	return u.body[u.offset:end], message.Block{Num: uint32(u.offset / u.size), More: end < len(u.body), Size: u.size}
}

// IsLast reports whether the current block is the last one. The server may execute the
// request as soon as it is sent.
func (u *Upload) IsLast() bool { return u.offset+u.size >= len(u.body) }

// HandleResponse processes the response to the current block. It returns true where the
// next block, or the first one in a smaller size, is to be sent, and false where the
// response is the one to the whole request.
func (u *Upload) HandleResponse(response *message.Message) (bool, error) {
	block, found, valid := response.Block(message.Block1)
	switch {
	case response.Code == message.Continue:
		if !found || !valid || int(block.Num) != u.offset/u.size || u.IsLast() {
			return false, ErrUnexpectedBlock
		}
		u.offset += u.size
		// The offset is a multiple of any smaller size: sizes are powers of two.
		u.size = min(u.size, block.Size)
		return true, nil
	case response.Code == message.RequestEntityTooLarge && found && valid && block.Size < u.size && u.offset == 0:
		u.size = block.Size // section 2.9.3: repeat the request in smaller blocks
		return true, nil
	}
	return false, nil
}

// Download assembles the body of one response (Block2).
type Download struct {
	maxBodySize int // bytes
	body        []byte
	etag        []byte
}

// NewDownload starts a download of at most that many bytes.
func NewDownload(maxBodySize int) *Download { return &Download{maxBodySize: maxBodySize} }

// HandleResponse processes a response. It returns the block to request next and true, or
// false where the body is complete. After an error the body is of no use.
func (d *Download) HandleResponse(response *message.Message) (next message.Block, more bool, err error) {
	block, found, valid := response.Block(message.Block2)
	if !found {
		if len(d.body) > 0 {
			return message.Block{}, false, ErrUnexpectedBlock
		}
		return message.Block{}, false, d.add(response.Payload)
	}
	if !valid || !fullBlock(block, response.Payload) {
		return message.Block{}, false, ErrMalformedBlock
	}
	if int(block.Num)*block.Size != len(d.body) {
		return message.Block{}, false, ErrUnexpectedBlock
	}
	etag, _ := response.Get(message.ETag)
	if len(d.body) > 0 && string(etag) != string(d.etag) {
		return message.Block{}, false, ErrBodyChanged
	}
	d.etag = append(d.etag[:0], etag...)
	if err := d.add(response.Payload); err != nil {
		return message.Block{}, false, err
	}
	return message.Block{Num: block.Num + 1, Size: block.Size}, block.More, nil
}

// add appends a payload to the body.
func (d *Download) add(payload []byte) error {
	if len(d.body)+len(payload) > d.maxBodySize {
		return ErrBodyTooLarge
	}
	d.body = append(d.body, payload...)
	return nil
}

// Body returns what was received so far. It is valid until the next response.
func (d *Download) Body() []byte { return d.body }
