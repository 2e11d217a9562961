package httpserver

// maxArrivals bounds the arrival times that a connection remembers.
const maxArrivals = 16

// arrival says that the bytes of a connection before offset could be read at a time of
// Server.now.
type arrival struct{ offset, at int64 }

// arrivalTimes remembers when the bytes of a connection arrived, so that the deadline of a
// request that was written behind others counts from its own last byte and not from its turn.
// The zero value is empty. It is used only by the goroutine of the connection.
type arrivalTimes struct {
	known [maxArrivals]arrival
	count int
}

// record notes that the bytes before offset can be read. If the list is full, the latest entry
// is extended: its bytes then count as older than they are, never as younger.
func (a *arrivalTimes) record(offset, now int64) {
	switch {
	case a.count > 0 && offset <= a.known[a.count-1].offset:
	case a.count == maxArrivals:
		a.known[a.count-1].offset = offset
	default:
		a.known[a.count] = arrival{offset, now}
		a.count++
	}
}

// take returns the time at which the byte before offset could be read, and forgets what is
// known of earlier bytes. It returns now if that byte was not recorded.
func (a *arrivalTimes) take(offset, now int64) int64 {
	i := 0
	for i < a.count && a.known[i].offset < offset {
		i++
	}
	copy(a.known[:], a.known[i:a.count])
	a.count -= i
	if a.count == 0 {
		return now
	}
	return a.known[0].at
}
