package message

// Number is an option number. Its lower bits tell recipients that do not support the option
// how to handle it (RFC 7252, section 5.4.6).
type Number uint16

// Options of RFC 7252, RFC 7641 (Observe), RFC 7959 (blocks, sizes), RFC 8768
// (Hop-Limit), RFC 9175 (Echo, Request-Tag) and RFC 7967 (No-Response).
const (
	IfMatch       Number = 1
	URIHost       Number = 3
	ETag          Number = 4
	IfNoneMatch   Number = 5
	Observe       Number = 6
	URIPort       Number = 7
	LocationPath  Number = 8
	URIPath       Number = 11
	ContentFormat Number = 12
	MaxAge        Number = 14
	URIQuery      Number = 15
	HopLimit      Number = 16
	Accept        Number = 17
	LocationQuery Number = 20
	Block2        Number = 23
	Block1        Number = 27
	Size2         Number = 28
	ProxyURI      Number = 35
	ProxyScheme   Number = 39
	Size1         Number = 60
	Echo          Number = 252
	NoResponse    Number = 258
	RequestTag    Number = 292
)

// Critical reports whether a recipient that does not support the option must reject the
// message (section 5.4.1). An option that is not critical is elective.
func (n Number) Critical() bool { return n&1 == 1 }

// Unsafe reports whether a proxy that does not support the option must not forward it
// (section 5.4.2).
func (n Number) Unsafe() bool { return n&2 == 2 }

// NoCacheKey reports whether the option is not part of the cache key (section 5.4.2).
func (n Number) NoCacheKey() bool { return n&0x1e == 0x1c }

// optionFormat holds the constraints that the RFCs define for an option.
type optionFormat struct {
	minLength, maxLength int // in bytes
	repeatable           bool
}

// permits reports whether an option with a value of the given length is permitted. repeated
// states that the message has a preceding option with the same number.
func (f optionFormat) permits(length int, repeated bool) bool {
	return length >= f.minLength && length <= f.maxLength && (f.repeatable || !repeated)
}

var optionFormats = map[Number]optionFormat{
	IfMatch: {0, 8, true}, URIHost: {1, 255, false}, ETag: {1, 8, true}, IfNoneMatch: {0, 0, false},
	Observe: {0, 3, false}, URIPort: {0, 2, false}, LocationPath: {0, 255, true}, URIPath: {0, 255, true},
	ContentFormat: {0, 2, false}, MaxAge: {0, 4, false}, URIQuery: {0, 255, true}, HopLimit: {1, 1, false},
	Accept: {0, 2, false}, LocationQuery: {0, 255, true}, Block2: {0, 3, false}, Block1: {0, 3, false},
	Size2: {0, 4, false}, ProxyURI: {1, 1034, false}, ProxyScheme: {1, 255, false}, Size1: {0, 4, false},
	Echo: {1, 40, false}, NoResponse: {0, 1, false}, RequestTag: {0, 8, true},
}

// Supported reports whether the recipient supports an option.
type Supported func(Number) bool

// FilterOptions processes unsupported options according to RFC 7252, section 5.4. An option
// also counts as unsupported if its length is out of range (5.4.3) or if it repeats an
// option that is not repeatable (5.4.5). Unsupported elective options are removed from the
// message. If there are unsupported critical options, FilterOptions returns the number of
// the first one and true; the message must then be rejected and its options not be used.
func (m *Message) FilterOptions(supported Supported) (Number, bool) {
	remaining := m.Options[:0]
	critical, reject := Number(0), false
	for i, option := range m.Options {
		allowed, known := optionFormats[option.Number]
		repeated := i > 0 && m.Options[i-1].Number == option.Number
		switch {
		case supported(option.Number) && (!known || allowed.permits(len(option.Value), repeated)):
			remaining = append(remaining, option)
		case option.Number.Critical() && !reject:
			critical, reject = option.Number, true
		}
	}
	if reject {
		return critical, true
	}
	m.Options = remaining
	return 0, false
}

// Block is the value of a Block1 or Block2 option (RFC 7959, section 2.2).
type Block struct {
	Num  uint32 // block number, from 0
	More bool   // more blocks follow
	Size int    // block size in bytes: a power of two from MinBlockSize to MaxBlockSize
}

// Limits of the block size in bytes.
const (
	MinBlockSize = 16
	MaxBlockSize = 1024
)

const (
	maxBlockNum = 1<<20 - 1

	// Fields of the option's value: block number, more flag, size exponent.
	blockNumShift        = 4
	blockMore            = 1 << 3
	sizeExponentMask     = 7
	maxSizeExponent      = 6
	reservedSizeExponent = 7
	maxBlockLength       = 3 // of the option's value, in bytes
)

// Block returns the value of a block option and whether the message has one. valid is false
// if the option is too long or has the reserved size exponent. A request with such an option
// must be rejected with 4.00 (RFC 7959, section 2.2).
func (m *Message) Block(number Number) (block Block, found, valid bool) {
	encoded, found := m.Get(number)
	if !found {
		return Block{}, false, false
	}
	value, valid := m.Uint(number)
	if !valid || len(encoded) > maxBlockLength || value&sizeExponentMask == reservedSizeExponent {
		return Block{}, true, false
	}
	return Block{
		Num:  value >> blockNumShift,
		More: value&blockMore != 0,
		Size: MinBlockSize << (value & sizeExponentMask),
	}, true, true
}

// AddBlock appends a block option. The size is rounded down to a power of two and limited to
// the range from MinBlockSize to MaxBlockSize. The block number is limited to 2^20-1.
func (m *Message) AddBlock(number Number, block Block) {
	sizeExponent := uint32(0)
	for sizeExponent < maxSizeExponent && MinBlockSize<<(sizeExponent+1) <= block.Size {
		sizeExponent++
	}
	value := min(block.Num, maxBlockNum)<<blockNumShift | sizeExponent
	if block.More {
		value |= blockMore
	}
	m.AddUint(number, value)
}
