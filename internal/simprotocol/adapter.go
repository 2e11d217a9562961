// Package simprotocol hosts balancers behind the simulator's protocol: it turns the
// simulator's lines of JSON into events of package balance, and actions into lines. It also
// parses the platform's start-up parameters, which have the same form for the sidecar. It
// makes no decisions.
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

// Sizes in bytes of the buffers of Serve. Longer lines are read and written in parts.
const (
	inputBufferSize  = 1 << 20
	outputBufferSize = 1 << 18
)

// Reasons of a LineError.
var (
	ErrMalformed   = errors.New("malformed message")
	ErrUnknownName = errors.New("unknown name")
	ErrNotStarted  = errors.New("instance is not started")
	ErrNoTable     = errors.New("no such census table")
)

// LineError is an error in one line of the input.
type LineError struct {
	Line int // from 1, empty reads not counted
	Err  error
}

// Error returns the line and the reason.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the reason.
func (e *LineError) Unwrap() error { return e.Err }

// adapter holds the instances of one process. They share nothing but the endpoint lists.
// It runs on the goroutine of Serve.
type adapter struct {
	input     *bufio.Reader
	output    *bufio.Writer
	parser    fastjson.Parser
	line      int
	now       time.Duration
	tables    map[int64][]balance.Server
	instances map[int64]*balance.Balancer
	actions   []balance.Action // reused
	longLine  []byte           // reused
}

// Serve answers batches of events until the input ends. Its errors are *LineError, but for
// one of flushing the output at the end.
func Serve(input io.Reader, output io.Writer) error {
	a := &adapter{
		input:     bufio.NewReaderSize(input, inputBufferSize),
		output:    bufio.NewWriterSize(output, outputBufferSize),
		tables:    map[int64][]balance.Server{},
		instances: map[int64]*balance.Balancer{},
	}
	for {
		text, readError := a.readLine()
		if len(text) > 0 {
			a.line++
			if err := a.handleMessage(text); err != nil {
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

// readLine returns the next line, of any length, valid until the next call.
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

// handleMessage handles one line.
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
		a.now = micros(message, "ts-us")
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

// handleEvent passes an event to its instance and writes the actions. A panic of the
// instance is written as a fault.
func (a *adapter) handleEvent(operation string, message *fastjson.Value) (err error) {
	id := message.GetInt64("sidecar")
	defer func() {
		if p := recover(); p != nil {
			a.actions = a.actions[:0]
			err = a.writeFault(id, fmt.Sprint(p))
		}
	}()
	if operation == "provision" {
		instance, err := balance.New(ParseSettings(message.Get("info")), seed(message))
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
