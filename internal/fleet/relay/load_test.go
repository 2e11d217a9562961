package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Load on a relay in a process of its own, for docs/CAPACITY.md:
//
//	go test -run '^$' -bench Load -benchtime 1x -count 3 ./internal/fleet/relay
const (
	loadFor       = 6 * time.Second // a span that is measured
	loadServices  = 360             // of the region
	loadCalls     = 20              // that a subscriber subscribes to
	loadWaitMS    = 1500
	loadChanges   = 4 // a second
	clockTick     = 10 * time.Millisecond
	loadDialLimit = 64 // connections that are being made at a time
)

// loadedRelay is a relay under load.
type loadedRelay struct {
	*process
	council     *standIn
	first       configuration.Version
	subscribers []*rawSubscriber
	polls       atomic.Int64
	bytes       atomic.Int64
}

// startLoad starts a relay with subscribers that are connected and hold all that
// there is. Each subscribes to the first loadCalls services.
func startLoad(b *testing.B, subscribers int) *loadedRelay {
	b.Helper()
	council := newStandIn(b, "west#1")
	var services []string
	for i := range loadServices {
		services = append(services, fmt.Sprintf("service-%03d", i))
	}
	r := &loadedRelay{council: council, first: council.put(b, settingsOf(b, 0), services...)}
	r.process = startProcess(b, "connections = 16384\n", council.address())
	r.holds(r.first)
	limit := make(chan struct{}, loadDialLimit)
	var connecting sync.WaitGroup
	r.subscribers = make([]*rawSubscriber, subscribers)
	for i := range subscribers {
		connecting.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			r.subscribers[i] = newRawSubscriber(b, r, fmt.Sprintf("subscriber-%05d", i), services[:loadCalls])
		})
	}
	connecting.Wait()
	return r
}

// poll has all subscribers poll until they are disconnected.
func (r *loadedRelay) poll(version func(last configuration.Version) configuration.Version) {
	for _, s := range r.subscribers {
		go s.run(version)
	}
}

// newest is the version that a subscriber acknowledges that takes all; nothing of one
// that has just been restarted.
func newest(last configuration.Version) configuration.Version { return last }
func nothing(configuration.Version) configuration.Version     { return 0 }

// settingsOf are about 2 KB; number makes them differ.
func settingsOf(b *testing.B, number int) string {
	settings := configuration.Settings{}
	for i := 0; ; i++ {
		settings.Tenants = append(settings.Tenants, configuration.Tenant{Name: fmt.Sprintf("tenant-%04d", i), Quota: float64(1000 + number)})
		if text, err := json.Marshal(settings); err != nil {
			b.Fatal(err)
		} else if len(text) >= 2<<10 {
			return string(text)
		}
	}
}

// rawSubscriber polls over one connection with as little work as it can.
type rawSubscriber struct {
	relay  *loadedRelay
	conn   net.Conn
	reader *bufio.Reader
	before string // of a poll, up to the version
	after  string
}

func newRawSubscriber(b *testing.B, r *loadedRelay, name string, services []string) *rawSubscriber {
	list, _ := json.Marshal(services)
	s := &rawSubscriber{
		relay:  r,
		before: fmt.Sprintf(`{"region":"west","subscriber":%q,"services":%s,"version":`, name, list),
		after:  fmt.Sprintf(`,"wait_ms":%d}`, loadWaitMS),
	}
	var err error
	if s.conn, err = net.Dial("tcp", r.address); err != nil {
		b.Error(err)
		return s
	}
	b.Cleanup(func() { s.conn.Close() })
	s.reader = bufio.NewReaderSize(s.conn, 4<<10)
	return s
}

// run polls until its connection is closed.
func (s *rawSubscriber) run(acknowledge func(last configuration.Version) configuration.Version) {
	version := s.relay.first
	for {
		answer, err := s.poll(acknowledge(version))
		if err != nil {
			return
		}
		s.relay.polls.Add(1)
		version = answer
	}
}

func (s *rawSubscriber) poll(version configuration.Version) (configuration.Version, error) {
	body := s.before + strconv.FormatUint(uint64(version), 10) + s.after
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: relay\r\nContent-Length: %d\r\n\r\n%s", configuration.PollPath, len(body), body)
	if _, err := io.WriteString(s.conn, text); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	s.relay.bytes.Add(int64(len(answer)))
	return versionOf(answer)
}

// versionOf finds the version of an answer's update without reading all of it.
func versionOf(answer []byte) (configuration.Version, error) {
	const key = `"version":`
	at := bytes.Index(answer, []byte(key))
	if at < 0 {
		return 0, fmt.Errorf("found %.200s, wanted an update", answer)
	}
	digits := answer[at+len(key):]
	end := bytes.IndexAny(digits, ",}")
	version, err := strconv.ParseUint(string(digits[:end]), 10, 64)
	return configuration.Version(version), err
}

// spent is what the relay has used up to now.
type spent struct {
	cpu    time.Duration
	counts Counts
}

func (r *loadedRelay) spent(b *testing.B) spent {
	b.Helper()
	info, _ := r.info()
	return spent{cpu: processTime(b, r.command.Process.Pid), counts: info.Counts}
}

// processTime is the processor time of a process.
func processTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// residentKB is the memory of a process.
func residentKB(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return kilobytes
}

// settle awaits that all subscribers have polled twice.
func (r *loadedRelay) settle(b *testing.B) {
	b.Helper()
	await(b, "polls", func() bool { return r.polls.Load() >= int64(2*len(r.subscribers)) })
}

// BenchmarkLoadIdle is what polls without news cost, and what a subscriber takes of
// memory: the slope over the numbers of subscribers.
func BenchmarkLoadIdle(b *testing.B) {
	for _, subscribers := range []int{0, 500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint("subscribers=", subscribers), func(b *testing.B) {
			for range b.N {
				r := startLoad(b, subscribers)
				r.poll(newest)
				r.settle(b)
				before := r.spent(b)
				time.Sleep(loadFor)
				after := r.spent(b)
				polls := float64(after.counts.Empty - before.counts.Empty)
				used := after.cpu - before.cpu
				b.ReportMetric(polls/loadFor.Seconds(), "polls/s")
				b.ReportMetric(float64(used.Microseconds())/loadFor.Seconds(), "cpu-us/s")
				if polls > 0 {
					b.ReportMetric(float64(used.Microseconds())/polls, "cpu-us/poll")
				}
				b.ReportMetric(residentKB(b, r.command.Process.Pid), "rss-KB")
			}
		})
	}
}

// BenchmarkLoadChanges is what changes cost: those that all subscribers hear of, a
// delta of 2 KB and its poll for each, and those that nobody does.
func BenchmarkLoadChanges(b *testing.B) {
	for _, service := range []string{"service-000", "service-359"} {
		b.Run("service="+service, func(b *testing.B) {
			const subscribers = 684
			for range b.N {
				r := startLoad(b, subscribers)
				r.poll(newest)
				r.settle(b)
				before, bytesBefore := r.spent(b), r.bytes.Load()
				for i := range int(loadFor.Seconds() * loadChanges) {
					r.council.put(b, settingsOf(b, i+1), service)
					time.Sleep(time.Second / loadChanges)
				}
				after := r.spent(b)
				used := float64((after.cpu - before.cpu).Microseconds())
				deltas := float64(after.counts.Deltas - before.counts.Deltas)
				b.ReportMetric(used/loadFor.Seconds(), "cpu-us/s")
				b.ReportMetric(float64(after.counts.Empty-before.counts.Empty)/loadFor.Seconds(), "polls/s")
				b.ReportMetric(deltas/loadFor.Seconds(), "deltas/s")
				b.ReportMetric(float64(r.bytes.Load()-bytesBefore)/loadFor.Seconds()/subscribers, "B/s/subscriber")
				if deltas > 0 {
					b.ReportMetric(used/deltas, "cpu-us/delta")
				}
			}
		})
	}
}

// BenchmarkLoadSnapshots is what a snapshot of loadCalls services of 2 KB costs, where
// as many subscribers as have places ask for one all the time.
func BenchmarkLoadSnapshots(b *testing.B) {
	for range b.N {
		r := startLoad(b, configuration.DefaultAdmissionSettings.Slots/2)
		r.poll(nothing)
		r.settle(b)
		before, bytesBefore := r.spent(b), r.bytes.Load()
		time.Sleep(loadFor)
		after := r.spent(b)
		snapshots := float64(after.counts.Snapshots - before.counts.Snapshots)
		b.ReportMetric(snapshots/loadFor.Seconds(), "snapshots/s")
		b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/snapshots, "cpu-us/snapshot")
		b.ReportMetric(float64(r.bytes.Load()-bytesBefore)/snapshots, "B/snapshot")
	}
}
