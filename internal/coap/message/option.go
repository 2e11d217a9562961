package message

// Number is an option's number. Its bits tell what one that does not know it
// must do (RFC 7252, section 5.4.6).
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

// Critical tells whether a message with an option that is not known must be
// turned away (section 5.4.1).
func (n Number) Critical() bool { return n&1 == 1 }

// Unsafe tells whether a proxy that does not know the option must not pass it
// on (section 5.4.2).
func (n Number) Unsafe() bool { return n&2 == 2 }

// NoCacheKey tells whether the option is left out of the cache key.
func (n Number) NoCacheKey() bool { return n&0x1e == 0x1c }

// shape is what a known option may look like.
type shape struct {
	least, most int // bytes
	repeatable  bool
}

var shapes = map[Number]shape{
	IfMatch: {0, 8, true}, URIHost: {1, 255, false}, ETag: {1, 8, true}, IfNoneMatch: {0, 0, false},
	Observe: {0, 3, false}, URIPort: {0, 2, false}, LocationPath: {0, 255, true}, URIPath: {0, 255, true},
	ContentFormat: {0, 2, false}, MaxAge: {0, 4, false}, URIQuery: {0, 255, true}, HopLimit: {1, 1, false},
	Accept: {0, 2, false}, LocationQuery: {0, 255, true}, Block2: {0, 3, false}, Block1: {0, 3, false},
	Size2: {0, 4, false}, ProxyURI: {1, 1034, false}, ProxyScheme: {1, 255, false}, Size1: {0, 4, false},
	Echo: {1, 40, false}, NoResponse: {0, 1, false}, RequestTag: {0, 8, true},
}

// Supported says which options a side takes, beyond what they may look like.
type Supported func(Number) bool

// FilterOptions goes through the options as RFC 7252, section 5.4, wants it. One that
// the side does not take, whose length is outside its range (5.4.3), or that is
// a repeat of one that may come once (5.4.5) is as good as not known: if it is
// elective it is left out of the message; if it is critical its number is
// returned, and the message is to be turned away.
func (m *Message) FilterOptions(known Supported) (Number, bool) {
	kept := m.Options[:0]
	bad, found := Number(0), false
	for i, o := range m.Options {
		sh, has := shapes[o.Number]
		fine := known(o.Number) && (!has || len(o.Value) >= sh.least && len(o.Value) <= sh.most &&
			(sh.repeatable || i == 0 || m.Options[i-1].Number != o.Number))
		switch {
		case fine:
			kept = append(kept, o)
		case o.Number.Critical() && !found:
			bad, found = o.Number, true
		}
	}
	if found {
		return bad, true
	}
	m.Options = kept
	return 0, false
}

// Block is the value of a Block1 or Block2 option (RFC 7959, section 2.2).
type Block struct {
	Num  uint32 // of the block, from 0
	More bool
	Size int // bytes of a block: 16 to 1,024
}

const (
	mostBlockNum = 1<<20 - 1
	// MaxBlockSize is the largest block.
	MaxBlockSize = 1024
)

// Block returns a block option; false where there is none or its size is the
// reserved one, which is an error of the request (RFC 7959, section 2.2).
func (m *Message) Block(n Number) (b Block, there, good bool) {
	v, there := m.Get(n)
	if !there {
		return b, false, false
	}
	x, good := m.Uint(n)
	if !good || len(v) > 3 || x&7 == 7 {
		return b, true, false
	}
	return Block{Num: x >> 4, More: x&8 != 0, Size: 16 << (x & 7)}, true, true
}

// AddBlock appends a block option. A size that is none is taken as the next
// smaller one.
func (m *Message) AddBlock(n Number, b Block) {
	szx := uint32(0)
	for szx < 6 && 16<<(szx+1) <= b.Size {
		szx++
	}
	x := min(b.Num, mostBlockNum)<<4 | szx
	if b.More {
		x |= 8
	}
	m.AddUint(n, x)
}
