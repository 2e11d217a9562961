package block

import "otterspring/internal/coap/message"

// Upload sends the body of one request in blocks (Block1).
type Upload struct {
	body   []byte
	size   int // block size in bytes
	offset int // offset of the current block in the body
}

// NewUpload starts an upload. size is the block size in bytes, which must be one that RFC
// 7959 permits. The body is not copied.
func NewUpload(body []byte, size int) *Upload { return &Upload{body: body, size: size} }

// Block returns the payload and the Block1 option of the current block.
func (u *Upload) Block() ([]byte, message.Block) {
	end := min(u.offset+u.size, len(u.body))
	return u.body[u.offset:end], message.Block{Num: uint32(u.offset / u.size), More: end < len(u.body), Size: u.size}
}

// IsLast reports whether the current block is the last one. Once it is sent, the server may
// execute the request.
func (u *Upload) IsLast() bool { return u.offset+u.size >= len(u.body) }

// HandleResponse processes the response to the current block. It returns true if another
// block must be sent: either the next block, or the first block again in a smaller size. It
// returns false if the response is the final response to the request.
func (u *Upload) HandleResponse(response *message.Message) (bool, error) {
	block, found, valid := response.Block(message.Block1)
	switch {
	case response.Code == message.Continue:
		if !found || !valid || int(block.Num) != u.offset/u.size || u.IsLast() {
			return false, ErrUnexpectedBlock
		}
		u.offset += u.size
		// The offset is a multiple of any smaller size, since sizes are powers of two.
		u.size = min(u.size, block.Size)
		return true, nil
	case response.Code == message.RequestEntityTooLarge && found && valid && block.Size < u.size && u.offset == 0:
		u.size = block.Size // repeat the request with smaller blocks (section 2.9.3)
		return true, nil
	}
	return false, nil
}

// Download assembles the body of one response (Block2).
type Download struct {
	maxBodySize int // in bytes
	body        []byte
	etag        []byte
}

// NewDownload starts a download of at most maxBodySize bytes.
func NewDownload(maxBodySize int) *Download { return &Download{maxBodySize: maxBodySize} }

// HandleResponse processes a response. It returns the block to request next and true, or
// false if the body is complete. After an error the download must not be continued.
func (d *Download) HandleResponse(response *message.Message) (next message.Block, more bool, err error) {
	block, found, valid := response.Block(message.Block2)
	if !found {
		if len(d.body) > 0 {
			return message.Block{}, false, ErrUnexpectedBlock
		}
		return message.Block{}, false, d.add(response.Payload)
	}
	if !valid || !hasValidSize(block, response.Payload) {
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

// add appends a payload to the body. It returns ErrBodyTooLarge if the body would exceed
// maxBodySize.
func (d *Download) add(payload []byte) error {
	if len(d.body)+len(payload) > d.maxBodySize {
		return ErrBodyTooLarge
	}
	d.body = append(d.body, payload...)
	return nil
}

// Body returns the part of the body received so far. It is valid until the next call of
// HandleResponse.
func (d *Download) Body() []byte { return d.body }
