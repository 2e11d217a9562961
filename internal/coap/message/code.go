package message

import "fmt"

// Code is a method or response code, with the class in the upper 3 bits and the detail in
// the lower 5 (RFC 7252, sections 3 and 12.1).
type Code uint8

// Codes of RFC 7252, RFC 7959 (2.31, 4.08), RFC 8132 (FETCH, PATCH, iPATCH, 4.09, 4.22),
// RFC 8516 (4.29) and RFC 8768 (5.08).
const (
	Empty  Code = 0
	GET    Code = 1
	POST   Code = 2
	PUT    Code = 3
	DELETE Code = 4
	FETCH  Code = 5
	PATCH  Code = 6
	IPATCH Code = 7

	Created  Code = 2<<5 | 1
	Deleted  Code = 2<<5 | 2
	Valid    Code = 2<<5 | 3
	Changed  Code = 2<<5 | 4
	Content  Code = 2<<5 | 5
	Continue Code = 2<<5 | 31

	BadRequest               Code = 4 << 5
	Unauthorized             Code = 4<<5 | 1
	BadOption                Code = 4<<5 | 2
	Forbidden                Code = 4<<5 | 3
	NotFound                 Code = 4<<5 | 4
	MethodNotAllowed         Code = 4<<5 | 5
	NotAcceptable            Code = 4<<5 | 6
	RequestEntityIncomplete  Code = 4<<5 | 8
	Conflict                 Code = 4<<5 | 9
	PreconditionFailed       Code = 4<<5 | 12
	RequestEntityTooLarge    Code = 4<<5 | 13
	UnsupportedContentFormat Code = 4<<5 | 15
	UnprocessableEntity      Code = 4<<5 | 22
	TooManyRequests          Code = 4<<5 | 29

	InternalServerError  Code = 5 << 5
	NotImplemented       Code = 5<<5 | 1
	BadGateway           Code = 5<<5 | 2
	ServiceUnavailable   Code = 5<<5 | 3
	GatewayTimeout       Code = 5<<5 | 4
	ProxyingNotSupported Code = 5<<5 | 5
	HopLimitReached      Code = 5<<5 | 8
)

// Class returns 0 for a method, 2 for success, 4 for a client error, 5 for a server
// error. Classes 1, 6 and 7 are reserved.
func (c Code) Class() int { return int(c >> 5) }

// Detail returns the number after the dot, 0 to 31.
func (c Code) Detail() int { return int(c & 31) }

// IsRequest reports whether the code is a method.
func (c Code) IsRequest() bool { return c.Class() == 0 && c != Empty }

// IsResponse reports whether the code is a response code.
func (c Code) IsResponse() bool { return c.Class() >= 2 && c.Class() <= 5 }

// String returns the code in the notation c.dd of RFC 7252.
func (c Code) String() string { return fmt.Sprintf("%d.%02d", c.Class(), c.Detail()) }
