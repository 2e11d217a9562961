package supervisor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"otterspring/internal/fleet/lifecycle"
)

// Protocol of the control socket: The client sends one line, which consists of a verb and
// its arguments, separated by blanks. The supervisor sends a response that begins with
// okLine or errorPrefix, and closes the connection.

const (
	okLine      = "ok\n"
	errorPrefix = "error: "

	maxRequestBytes  = 64 << 10
	maxResponseBytes = 1 << 20

	controlTimeout       = 5 * time.Second // the supervisor's time limit for one request
	controlDialTimeout   = time.Second
	controlClientTimeout = 10 * time.Second
	acceptRetryInterval  = 50 * time.Millisecond
)

// controlVerb is the verb of a request on the control socket.
type controlVerb string

const (
	verbStatus  controlVerb = "status"
	verbRestart controlVerb = "restart" // [-program PATH] [NAME...]
	verbReload  controlVerb = "reload"  // [NAME...]
	verbResume  controlVerb = "resume"
	verbCancel  controlVerb = "cancel"
	verbStop    controlVerb = "stop"

	programFlag = "-program"
)

// ErrNoSupervisor means that no supervisor listens on a control socket.
var ErrNoSupervisor = errors.New("no supervisor listens on the control socket")

// Errors of a request on the control socket.
var (
	errNoVerb             = errors.New("empty request, expected a verb")
	errMalformedRequest   = errors.New("malformed request, expected one line within the size limit")
	errUnexpectedResponse = errors.New("expected a response from a supervisor")
)

// serveControl serves the control socket until it is closed.
func (s *Supervisor) serveControl(ctx context.Context) {
	for {
		connection, err := s.controlListener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.goroutines.Go(func() {
			defer connection.Close()
			if err := s.serveControlRequest(ctx, connection); err != nil {
				s.log.Debug("control request failed", "error", err)
			}
		})
	}
}

// serveControlRequest serves one request. It returns an error if the response could not
// be sent.
func (s *Supervisor) serveControlRequest(ctx context.Context, connection net.Conn) error {
	if err := connection.SetDeadline(time.Now().Add(controlTimeout)); err != nil {
		return err
	}
	line, err := bufio.NewReaderSize(connection, maxRequestBytes).ReadString('\n')
	if err != nil || len(line) > maxRequestBytes {
		_, err := fmt.Fprintln(connection, errorPrefix+errMalformedRequest.Error())
		return err
	}
	response := make(chan string, 1)
	s.enqueue(ctx, func(now time.Duration) []lifecycle.Action {
		text, actions, err := s.runControlCommand(now, strings.Fields(line))
		if err != nil {
			response <- errorPrefix + err.Error() + "\n"
			return actions
		}
		response <- okLine + text
		return actions
	})
	select {
	case text := <-response:
		_, err := io.WriteString(connection, text)
		return err
	case <-ctx.Done():
		return nil
	}
}

// runControlCommand executes one command of an operator and returns the text of the
// response.
func (s *Supervisor) runControlCommand(now time.Duration, fields []string) (string, []lifecycle.Action, error) {
	if len(fields) == 0 {
		return "", nil, errNoVerb
	}
	verb, args := controlVerb(fields[0]), fields[1:]
	switch verb {
	case verbStatus:
		return s.status(), nil, nil
	case verbStop:
		return "stopping\n", s.lifecycle.StopAll(now), nil
	case verbResume:
		actions, err := s.lifecycle.Resume(now)
		return "", actions, err
	case verbCancel:
		actions, err := s.lifecycle.Cancel()
		return "", actions, err
	case verbRestart, verbReload:
		change := rollingUpdate{reload: verb == verbReload, instances: args}
		if !change.reload && len(args) > 1 && args[0] == programFlag {
			change.program, change.instances = args[1], args[2:]
		}
		actions, err := s.startRollingUpdate(now, change)
		if err != nil {
			return "", nil, err
		}
		return s.lifecycle.UpdateStatus() + "\n", actions, nil
	}
	return "", nil, fmt.Errorf("unknown verb %q, expected status, restart, reload, resume, cancel or stop", verb)
}

// status returns the response to the command "status": one line per instance with its
// processes, the counts, the progress of a rolling update, and the latest events.
func (s *Supervisor) status() string {
	var text strings.Builder
	counts := map[lifecycle.Phase]int{}
	for i, spec := range s.specs {
		phase, _ := s.lifecycle.Phase(i)
		counts[phase]++
		fmt.Fprintf(&text, "%-12s %-22s %-12s", spec.Name, spec.Listen, phase)
		for _, p := range s.processes[i] {
			fmt.Fprintf(&text, " %d", p.pid)
		}
		text.WriteByte('\n')
	}
	fmt.Fprintf(&text, "%d instances, %d up", len(s.specs), counts[lifecycle.Ready])
	if n := counts[lifecycle.CrashLooping]; n > 0 {
		fmt.Fprintf(&text, ", %d given up", n)
	}
	text.WriteByte('\n')
	if progress := s.lifecycle.UpdateStatus(); progress != "" {
		fmt.Fprintf(&text, "roll: %s\n", progress)
	}
	for _, line := range s.recent.latest(statusRecentEvents) {
		text.WriteString(line + "\n")
	}
	return text.String()
}

// SendCommand sends one command to the supervisor whose control socket is at path and
// returns the response. It waits for the response for at most 10 s. If no supervisor
// listens on the socket, the error wraps ErrNoSupervisor. If the supervisor rejects the
// command, the error has the supervisor's text.
func SendCommand(path string, command ...string) (string, error) {
	text, err := roundTrip(path, strings.Join(command, " "))
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	if reason, failed := strings.CutPrefix(text, errorPrefix); failed {
		return "", errors.New(strings.TrimSpace(reason))
	}
	response, ok := strings.CutPrefix(text, okLine)
	if !ok {
		return "", fmt.Errorf("%s: found %.40q: %w", path, text, errUnexpectedResponse)
	}
	return response, nil
}

// roundTrip sends one line to a control socket and returns the response.
func roundTrip(path, line string) (string, error) {
	connection, err := net.DialTimeout("unix", path, controlDialTimeout)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return "", fmt.Errorf("found no control socket: %w", ErrNoSupervisor)
	case errors.Is(err, syscall.ECONNREFUSED):
		return "", fmt.Errorf("found a dead control socket: %w; its instances may still run, and a new supervisor adopts them", ErrNoSupervisor)
	case err != nil:
		return "", err
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(controlClientTimeout)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(connection, line); err != nil {
		return "", err
	}
	text, err := io.ReadAll(io.LimitReader(connection, maxResponseBytes))
	return string(text), err
}
