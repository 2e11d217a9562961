package httpserver

import "testing"

func TestArrivalOfTheLastByteCounts(t *testing.T) {
	var arrivals arrivalTimes
	arrivals.record(10, 100)
	arrivals.record(30, 200)
	arrivals.record(30, 300) // nothing new
	for _, c := range []struct{ offset, want int64 }{{5, 100}, {10, 100}, {11, 200}, {30, 200}, {31, 999}} {
		if got := arrivals.take(c.offset, 999); got != c.want {
			t.Errorf("bytes before %d arrived at %d, want %d", c.offset, got, c.want)
		}
	}
}

func TestArrivalsBeyondTheBoundCountAsOlder(t *testing.T) {
	var arrivals arrivalTimes
	for i := range int64(2 * maxArrivals) {
		arrivals.record(i+1, 1000+i)
	}
	const latestKnown = 1000 + maxArrivals - 1
	if got := arrivals.take(2*maxArrivals, 9999); got != latestKnown {
		t.Errorf("the last byte arrived at %d, want %d, not later than it did", got, latestKnown)
	}
}
