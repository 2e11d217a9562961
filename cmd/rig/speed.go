package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/lab/stats"
)

// speedOptions are the flags of `rig speed`.
type speedOptions struct {
	seed             uint64
	phase            time.Duration
	rounds           int
	maxIntervalWidth float64
	maxElapsed       time.Duration
	program          string
	against          string
	operatorFile     string
	conns            int
	rates            []float64
	measureLimit     bool
}

// newSpeedRunner returns the runner of `rig speed`: it compares a sidecar with a reverse proxy,
// with another build of the sidecar, or with direct calls. It measures the two sides alternately.
func newSpeedRunner(f *flag.FlagSet) runner {
	var o speedOptions
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random number generators")
	f.DurationVar(&o.phase, "for", 4*time.Second, "duration of each phase, 1s to 5m; a round of a side has one at the limit and one for each rate")
	f.IntVar(&o.rounds, "rounds", 3, "maximum rounds, 1 to 500; each measures both sides in random order")
	f.Float64Var(&o.maxIntervalWidth, "width", 0, "stop when the 95 % intervals of CPU a request are this narrow, 0.02 for 2 %; 0 for all rounds")
	f.DurationVar(&o.maxElapsed, "within", 10*time.Minute, "start no round after this time, 1s to 2h")
	f.StringVar(&o.program, "program", "", "path of the sidecar program; empty for the one in this program's folder")
	f.StringVar(&o.against, "against", "", "another build of the sidecar to compare with; empty for net/http/httputil's ReverseProxy, "+bareSide+" for direct calls to a call server")
	f.StringVar(&o.operatorFile, "operator", "", "operator file of the sidecar; the other side has none")
	f.IntVar(&o.conns, "conns", 128, "connections at the limit, 1 to 200")
	f.BoolVar(&o.measureLimit, "limit", true, "also measure the maximum throughput")
	rates := f.String("rates", "300,2400", "request rates a second at which CPU and latency are measured, one to four of 1 to 10000")
	return func(ctx context.Context, _ []string, out io.Writer) (err error) {
		if o.rates, err = parseRates(*rates); err != nil {
			return err
		}
		for _, err := range []error{
			checkRange("for", o.phase, time.Second, 5*time.Minute), checkRange("rounds", o.rounds, 1, 500), checkRange("conns", o.conns, 1, 200),
			checkRange("width", o.maxIntervalWidth, 0, 1), checkRange("within", o.maxElapsed, time.Second, 2*time.Hour),
		} {
			if err != nil {
				return err
			}
		}
		argv, dir, cleanup, err := prepareRun(o.program)
		if err != nil {
			return err
		}
		defer cleanup()
		s, err := newComparison(o, argv, dir)
		if err != nil {
			return err
		}
		defer s.close()
		return s.run(ctx, out)
	}
}

// parseRates parses the value of -rates.
func parseRates(text string) ([]float64, error) {
	var rates []float64
	for field := range strings.SplitSeq(text, ",") {
		rate, err := strconv.ParseFloat(field, 64)
		if err != nil || !(rate >= 1 && rate <= 10000) || len(rates) == 4 {
			return nil, fmt.Errorf("%w: -rates: found %q, wanted one to four numbers of 1 to 10000 like 300,2400", errUsage, text)
		}
		rates = append(rates, rate)
	}
	return rates, nil
}

// comparison is a run of `rig speed`. It has call servers that answer at once, and the two compared
// sides.
type comparison struct {
	opt     speedOptions
	dir     string
	servers []*fasthttp.Server
	addrs   []string
	sides   [2]side
	lastID  atomic.Int64
}

// side is one of the two compared programs.
type side struct {
	name         string
	start        func(ctx context.Context) (addr string, pid int, stop func(), err error)
	measurements []measurement
}

// measurement has the figures of one side in one round.
type measurement struct {
	maxThroughput float64         // requests a second; 0 if not measured
	cpuPerRequest []time.Duration // CPU time per request at each of the rates
	p50, p99      []time.Duration
	peakRSSBytes  int64
	failed        int // failed requests
	shed          int // failed requests that were rejected as provably not executed
	endings       clients.Endings
}

const upstreamCount = 4

// newComparison starts the call servers and prepares both sides.
func newComparison(o speedOptions, argv []string, dir string) (*comparison, error) {
	s := &comparison{opt: o, dir: dir}
	for range upstreamCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		srv := &fasthttp.Server{NoDefaultServerHeader: true, NoDefaultDate: true, Handler: func(c *fasthttp.RequestCtx) {
			c.SetBodyString(callserver.Body(string(c.Request.Header.Peek("X-Request-Id")), "s"))
		}}
		go srv.Serve(ln)
		s.servers = append(s.servers, srv)
		s.addrs = append(s.addrs, ln.Addr().String())
	}
	operator := ""
	if o.operatorFile != "" {
		text, err := os.ReadFile(o.operatorFile)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("%w: -operator: %v", errUsage, err)
		}
		operator = string(text)
	}
	s.sides[0] = side{name: "sidecar", start: s.sidecarStarter(argv, operator)}
	s.sides[1] = side{name: "ReverseProxy", start: s.startProxy}
	switch o.against {
	case "":
	case bareSide:
		s.sides[1] = side{name: bareSide, start: s.startBare}
	default:
		other, err := sidecarProgram(o.against)
		if err != nil {
			s.close()
			return nil, err
		}
		s.sides[1] = side{name: filepath.Base(o.against), start: s.sidecarStarter(other, "")}
	}
	return s, nil
}

func (s *comparison) close() {
	for _, srv := range s.servers {
		srv.Shutdown()
	}
}

// sidecarStarter returns a function that starts a sidecar with the call servers as its endpoints.
func (s *comparison) sidecarStarter(argv []string, operator string) func(context.Context) (string, int, func(), error) {
	return func(ctx context.Context) (string, int, func(), error) {
		dir, err := os.MkdirTemp(s.dir, "side")
		if err != nil {
			return "", 0, nil, err
		}
		o := rig.Options{Seed: s.opt.seed, Instances: 1, ExternalServers: s.addrs, SidecarCommand: argv, Dir: dir, MemoryMB: 192, MaxSockets: 1024}
		if operator != "" {
			o.OperatorFile = func(int, string) string { return operator }
		}
		w, err := rig.New(o)
		if err != nil {
			return "", 0, nil, err
		}
		if err := w.StartAll(ctx, 1); err != nil {
			w.Close()
			return "", 0, nil, err
		}
		in := w.Instances[0]
		return in.Addr, in.PIDs()[0], w.Close, nil
	}
}

// bareSide is the value of -against for direct calls to a call server.
const bareSide = "bare"

// startBare returns the address of a call server, for the side with direct calls. This side has no
// process, so its CPU time and memory are not measured.
func (s *comparison) startBare(context.Context) (string, int, func(), error) {
	return s.addrs[0], 0, func() {}, nil
}

// startProxy starts this program as a reverse proxy and waits until it accepts connections.
func (s *comparison) startProxy(ctx context.Context) (string, int, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return "", 0, nil, err
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.77.1:0", 1+rand.IntN(200)))
	if err != nil {
		return "", 0, nil, err
	}
	addr := listener.Addr().String()
	listener.Close()
	cmd := exec.Command(self, append([]string{proxyCommand, addr}, s.addrs...)...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return "", 0, nil, err
	}
	stop := func() { cmd.Process.Kill(); cmd.Wait() }
	for giveUpAt := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			return addr, cmd.Process.Pid, stop, nil
		}
		if time.Now().After(giveUpAt) || ctx.Err() != nil {
			stop()
			return "", 0, nil, errors.New("the reverse proxy accepts no connections")
		}
	}
}

// runProxy runs the reverse proxy of the standard library with GOMAXPROCS=1 and the memory limit
// of the sidecar. args are its address and the upstreams.
func runProxy(args []string) int {
	if len(args) < 2 {
		fmt.Fprintln(os.Stderr, "rig: run-proxy: wanted an address and at least one upstream")
		return 2
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(192 << 20 * 6 / 10)
	var targets []*url.URL
	for _, address := range args[1:] {
		targets = append(targets, &url.URL{Scheme: "http", Host: address})
	}
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(targets[rand.IntN(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 400, MaxIdleConns: 1600, DisableCompression: true},
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(args[0], proxy))
	return 1
}

// run measures both sides in each round and prints the figures. The order of the sides is
// randomized in blocks, so that slow changes of the machine affect both sides alike.
func (s *comparison) run(ctx context.Context, out io.Writer) error {
	cores := pinSelfOffFirstCore()
	fmt.Fprintf(out, "%d cores (%s), %d call servers that answer at once, up to %d rounds of %v a phase\n", runtime.NumCPU(), cores, upstreamCount, s.opt.rounds, s.opt.phase)
	startedAt := time.Now()
	for round, secondFirst := range stats.BlockRandomizedOrder(s.opt.rounds, s.opt.seed) {
		if round > 0 && time.Since(startedAt) > s.opt.maxElapsed {
			break
		}
		for index := range 2 {
			if secondFirst {
				index = 1 - index
			}
			current := &s.sides[index]
			measured, err := s.measure(ctx, current)
			if err != nil {
				return fmt.Errorf("%s: %w", current.name, err)
			}
			current.measurements = append(current.measurements, measured)
			fmt.Fprintf(out, "round %d  %-14s %s", round+1, current.name, measured.describe(s.opt.rates))
		}
		if s.opt.maxIntervalWidth > 0 && s.preciseEnough() {
			break
		}
	}
	return s.report(out)
}

// describe returns the figures as one printed line.
func (m *measurement) describe(rates []float64) string {
	line := ""
	if m.maxThroughput > 0 {
		line = fmt.Sprintf("%7.0f/s at the limit  ", m.maxThroughput)
	}
	for i, rate := range rates {
		line += fmt.Sprintf("at %.0f/s: CPU a request %4.0f us, p50 %5.2f ms, p99 %6.2f ms  ", rate, microseconds(m.cpuPerRequest[i]), milliseconds(m.p50[i]), milliseconds(m.p99[i]))
	}
	if endings := m.endings.String(); endings != "" {
		line += fmt.Sprintf("(%s)  ", endings)
	}
	return line + fmt.Sprintf("peak %5.1f MB  failed %d, of them shed %d\n", float64(m.peakRSSBytes)/(1<<20), m.failed, m.shed)
}

// preciseEnough reports whether the confidence intervals of the ratios of CPU time per request are
// as narrow as the flag -width requires.
func (s *comparison) preciseEnough() bool {
	for i := range s.opt.rates {
		if !stats.PreciseEnough(s.ratio(cpuPerRequestAt(i)), s.opt.maxIntervalWidth) {
			return false
		}
	}
	return true
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// cpuPerRequestAt returns a function that takes a measurement and returns its CPU time per request
// in microseconds, at the rate with the given index.
func cpuPerRequestAt(rate int) func(measurement) float64 {
	return func(m measurement) float64 { return microseconds(m.cpuPerRequest[rate]) }
}

// ratio returns the median of the ratio of a figure of the first side to the same figure of the
// second side. It pairs the figures of each round, since the two sides of a round are measured
// directly after each other.
func (s *comparison) ratio(figure func(measurement) float64) stats.Interval {
	var a, b []float64
	for i := range s.sides[0].measurements {
		a, b = append(a, figure(s.sides[1].measurements[i])), append(b, figure(s.sides[0].measurements[i]))
	}
	return stats.MedianRatio(a, b, s.opt.seed)
}

// difference returns the median of the difference between a figure of the first side and the same
// figure of the second side, in the unit of the figure.
func (s *comparison) difference(figure func(measurement) float64) stats.Interval {
	var differences []float64
	for i := range s.sides[0].measurements {
		differences = append(differences, figure(s.sides[0].measurements[i])-figure(s.sides[1].measurements[i]))
	}
	return stats.BootstrapMedian(differences, s.opt.seed)
}

// report prints the ratios and differences with their intervals, and the medians as the last line.
func (s *comparison) report(out io.Writer) error {
	failed := 0
	for _, m := range s.sides[0].measurements {
		failed += m.failed
	}
	type figure struct {
		name     string
		interval stats.Interval
		unit     string // empty for a ratio
	}
	var figures []figure
	widths := ""
	if s.opt.measureLimit {
		figures = append(figures, figure{"limit_ratio", s.ratio(func(m measurement) float64 { return m.maxThroughput }), ""})
	}
	for i, rate := range s.opt.rates {
		cpuRatio := s.ratio(cpuPerRequestAt(i))
		figures = append(figures, figure{fmt.Sprintf("cpu%.0f_ratio", rate), cpuRatio, ""})
		widths += fmt.Sprintf("cpu%.0f_width=%.3f ", rate, cpuRatio.Width())
	}
	for i, rate := range s.opt.rates {
		figures = append(figures, figure{fmt.Sprintf("p50_%.0f_more_ms", rate), s.difference(func(m measurement) float64 { return milliseconds(m.p50[i]) }), "ms"})
	}
	for i, rate := range s.opt.rates {
		figures = append(figures,
			figure{fmt.Sprintf("p99_%.0f_more_ms", rate), s.difference(func(m measurement) float64 { return milliseconds(m.p99[i]) }), "ms"},
			figure{fmt.Sprintf("p99_%.0f_ratio", rate), s.ratio(func(m measurement) float64 { return milliseconds(m.p99[i]) }), ""})
	}
	figures = append(figures, figure{"memory_ratio", s.ratio(func(m measurement) float64 { return float64(m.peakRSSBytes) }), ""})
	// A side without a process has no figures for CPU time and memory.
	figures = slices.DeleteFunc(figures, func(f figure) bool { return f.interval.Pairs == 0 })
	fmt.Fprintf(out, "\n%s to %s, median of %d rounds with its 95 %% interval:\n", s.sides[0].name, s.sides[1].name, len(s.sides[0].measurements))
	summary := ""
	for _, f := range figures {
		comparison := ""
		if f.unit == "" {
			comparison = fmt.Sprintf("at 2 %%: %s", stats.Compare(f.interval, 0.02))
		}
		fmt.Fprintf(out, "%-18s %s  %s\n", f.name, f.interval, comparison)
		summary += fmt.Sprintf("%s=%.3f ", f.name, f.interval.Median)
	}
	fmt.Fprintf(out, "%srounds=%d %sfailed=%d\n", summary, len(s.sides[0].measurements), widths, failed)
	return nil
}

// measure starts one side and measures its maximum throughput. Then it measures CPU time and
// latency at each rate.
func (s *comparison) measure(ctx context.Context, measuredSide *side) (measurement, error) {
	rateCount := len(s.opt.rates)
	result := measurement{cpuPerRequest: make([]time.Duration, rateCount), p50: make([]time.Duration, rateCount), p99: make([]time.Duration, rateCount)}
	addr, pid, stop, err := measuredSide.start(ctx)
	if err != nil {
		return result, err
	}
	defer stop()
	if pid != 0 {
		pinToFirstCore(pid)
	}
	s.runClosedLoop(ctx, addr, 500*time.Millisecond) // warm-up
	if s.opt.measureLimit {
		served := s.runClosedLoop(ctx, addr, s.opt.phase)
		result.maxThroughput = float64(served) / s.opt.phase.Seconds()
	}
	for i, rate := range s.opt.rates {
		if err := s.runOpenLoop(ctx, addr, pid, rate, i, &result); err != nil {
			return result, err
		}
	}
	result.peakRSSBytes = peakRSS(pid)
	return result, ctx.Err()
}

// runClosedLoop sends requests on several connections. On each connection it sends the next request
// as soon as the response arrives. It returns the number of served requests.
func (s *comparison) runClosedLoop(ctx context.Context, addr string, duration time.Duration) int {
	var served atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for range s.opt.conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) && ctx.Err() == nil {
				s.requestOnConnection(addr, end, &served)
			}
		}()
	}
	wg.Wait()
	return int(served.Load())
}

// requestOnConnection sends requests on one connection until the given end, or until the connection
// is closed.
func (s *comparison) requestOnConnection(addr string, end time.Time, served *atomic.Int64) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer c.Close()
	br := bufio.NewReader(c)
	var request []byte
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for time.Now().Before(end) {
		request = append(request[:0], "GET /roster HTTP/1.1\r\nHost: service.internal\r\nX-Deadline: 0.500\r\nX-Request-Id: c"...)
		request = strconv.AppendInt(request, s.lastID.Add(1), 10)
		request = append(request, "\r\n\r\n"...)
		c.SetDeadline(end.Add(2 * time.Second))
		if _, err := c.Write(request); err != nil {
			return
		}
		if err := resp.Read(br); err != nil {
			return
		}
		if resp.StatusCode() == 200 {
			served.Add(1)
		}
		if resp.ConnectionClose() {
			return
		}
	}
}

// runOpenLoop sends requests at random times that are drawn in advance. It records CPU time and
// latency in m, at the index rateIndex.
func (s *comparison) runOpenLoop(ctx context.Context, addr string, pid int, rate float64, rateIndex int, m *measurement) error {
	classes := rig.DefaultClasses(1)[:1]
	client := clients.New(clients.Config{Instance: "n1", Addr: addr, Classes: classes, MaxConns: 300, Seed: s.opt.seed}, invariant.New(invariant.DelftRules()))
	plan, err := clients.Draw(clients.Workload{Rate: rate, Duration: s.opt.phase, Keys: 3000, Skew: 0.7}, classes, s.opt.seed)
	if err != nil {
		return err
	}
	cpuBefore := schedCPUTime(pid)
	client.Run(ctx, plan)
	cpuUsed := schedCPUTime(pid) - cpuBefore
	// The latency of a request counts from its planned time. The histogram has microseconds with
	// three significant digits.
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, sample := range client.Samples() {
		m.endings[sample.Ending]++
		switch {
		case sample.OK:
			latencies.RecordValue(max(1, sample.Latency.Microseconds()))
		case sample.Ending == clients.NeverSent: // this program was late and sent no request to the side
		case sample.Outcome == clients.OutcomeRefused:
			m.failed++
			m.shed++
		default:
			m.failed++
		}
	}
	if latencies.TotalCount() == 0 {
		return fmt.Errorf("no request was served at %.0f requests a second", rate)
	}
	m.cpuPerRequest[rateIndex] = cpuUsed / time.Duration(latencies.TotalCount())
	m.p50[rateIndex] = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	m.p99[rateIndex] = time.Duration(latencies.ValueAtQuantile(99)) * time.Microsecond
	return nil
}

// schedCPUTime returns the CPU time of all threads of a process. It reads the files schedstat,
// which have a resolution of nanoseconds. If there are no such files, it returns 0.
func schedCPUTime(pid int) time.Duration {
	var sum time.Duration
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if f := strings.Fields(string(text)); len(f) > 0 {
			n, _ := strconv.ParseInt(f[0], 10, 64)
			sum += time.Duration(n)
		}
	}
	return sum
}

// peakRSS returns the peak resident set size of a process in bytes.
func peakRSS(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// pinToFirstCore pins all threads of a process to the first core. It ignores a lack of permission,
// since GOMAXPROCS is 1 on both sides.
func pinToFirstCore(pid int) {
	var set unix.CPUSet
	set.Set(0)
	setAffinity(pid, &set)
}

// pinSelfOffFirstCore pins this program, which runs the clients and call servers, to all cores
// except the first. It pins nothing if there is only one core. It returns a description of the use
// of the cores.
func pinSelfOffFirstCore() string {
	if runtime.NumCPU() < 2 {
		return "shared by all"
	}
	var set unix.CPUSet
	for i := 1; i < runtime.NumCPU(); i++ {
		set.Set(i)
	}
	setAffinity(os.Getpid(), &set)
	return "the first reserved for the measured side"
}

func setAffinity(pid int, set *unix.CPUSet) {
	tasks, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	for _, t := range tasks {
		if tid, err := strconv.Atoi(t.Name()); err == nil {
			unix.SchedSetaffinity(tid, set)
		}
	}
}
