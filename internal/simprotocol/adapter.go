// Package simprotocol runs balancers under the simulator's protocol. It decodes the
// simulator's JSON lines into events of package balance and encodes the resulting actions
// as JSON lines. It also parses the platform's start-up parameters, whose format the
// sidecar shares. It contains no balancing logic.
package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// Buffer sizes of Serve in bytes. Longer lines are read and written in several parts.
const (
	inputBufferSize  = 1 << 20
	outputBufferSize = 1 << 18
)

// Errors that a LineError can wrap.
var (
	ErrMalformed   = errors.New("malformed message")
	ErrUnknownName = errors.New("unknown name")
	ErrNotStarted  = errors.New("instance is not started")
	ErrNoTable     = errors.New("no such census table")
)

// LineError reports the input line that could not be handled.
type LineError struct {
	Line int // counted from 1, blank lines included
	Err  error
}

// Error returns the line number and the wrapped error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the wrapped error.
func (e *LineError) Unwrap() error { return e.Err }

// adapter holds the balancer instances of one process, which share only the endpoint
// lists. It is confined to the goroutine that calls Serve.
type adapter struct {
	input     *bufio.Reader
	output    *bufio.Writer
	parser    fastjson.Parser
	line      int
	now       time.Duration
	tables    map[int64][]balance.Server
	instances map[int64]*balance.Balancer
	actions   []balance.Action // reused between events
	longLine  []byte           // reused for lines longer than the input buffer
}

// Serve processes batches of events until the end of the input. Its errors have the type
// *LineError, except for an error of the final flush of the output.
func Serve(input io.Reader, output io.Writer) error {
	a := &adapter{
		input:     bufio.NewReaderSize(input, inputBufferSize),
		output:    bufio.NewWriterSize(output, outputBufferSize),
		tables:    map[int64][]balance.Server{},
		instances: map[int64]*balance.Balancer{},
	}
	for {
		line, readError := a.readLine()
		if len(line) > 0 {
			a.line++
			if err := a.handleMessage(line); err != nil {
				return &LineError{a.line, err}
			}
		}
		if errors.Is(readError, io.EOF) {
			return a.output.Flush()
		}
		if readError != nil {
			return &LineError{a.line + 1, readError}
		}
	}
}

// readLine returns the next line, of any length. The slice is valid until the next call.
func (a *adapter) readLine() ([]byte, error) {
	text, err := a.input.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	a.longLine = append(a.longLine[:0], text...)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = a.input.ReadSlice('\n')
		a.longLine = append(a.longLine, text...)
	}
	return a.longLine, err
}

// handleMessage handles one line of the input. Empty lines are ignored.
func (a *adapter) handleMessage(text []byte) error {
	if len(text) == 1 && text[0] == '\n' {
		return nil
	}
	message, err := a.parser.ParseBytes(text)
	if err != nil {
		return fmt.Errorf("%w: not JSON: %w", ErrMalformed, err)
	}
	if message.Type() != fastjson.TypeObject {
		return fmt.Errorf("%w: found JSON of type %s, wanted an object", ErrMalformed, message.Type())
	}
	switch operation := string(message.GetStringBytes("op")); operation {
	case "begin-batch":
		a.now = durationField(message, "ts-us")
		return nil
	case "over-to-you":
		return a.endBatch()
	case "census":
		a.tables[message.GetInt64("table")] = parseServers(message.GetArray("hosts"))
		return nil
	default:
		return a.handleEvent(operation, message)
	}
}

// handleEvent passes an event to its instance and writes the resulting actions. A panic
// in the instance is reported to the simulator as a fault instead of ending the process.
func (a *adapter) handleEvent(operation string, message *fastjson.Value) (err error) {
	id := message.GetInt64("sidecar")
	defer func() {
		if p := recover(); p != nil {
			a.actions = a.actions[:0]
			err = a.writeFault(id, fmt.Sprint(p))
		}
	}()
	if operation == "provision" {
		instance, err := balance.New(ParseSettings(message.Get("info")), parseSeed(message))
		if err != nil {
			return err
		}
		a.instances[id] = instance
		return nil
	}
	instance := a.instances[id]
	if instance == nil && instanceEvents[operation] {
		return fmt.Errorf("%w: event %q for instance %d", ErrNotStarted, operation, id)
	}
	actions, err := a.dispatch(instance, operation, message)
	if err != nil {
		return err
	}
	if operation == "teardown" {
		delete(a.instances, id)
	}
	for i := range actions {
		if err := a.writeAction(id, &actions[i]); err != nil {
			return err
		}
	}
	a.actions = actions[:0]
	return nil
}
