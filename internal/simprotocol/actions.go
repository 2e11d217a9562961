package simprotocol

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// endBatch writes the acknowledgement of a batch and flushes the output.
func (a *adapter) endBatch() error {
	if _, err := a.output.WriteString("{\"op\":\"ok\"}\n"); err != nil {
		return err
	}
	return a.output.Flush()
}

// writeAction encodes one action as a line of the protocol.
func (a *adapter) writeAction(id int64, action *balance.Action) error {
	line := a.output.AvailableBuffer()
	wait := int64((action.Wait + time.Microsecond - 1) / time.Microsecond) // rounded up to whole microseconds
	switch action.Kind {
	case balance.Send:
		line = appendOperation(line, "assign", id)
		line = appendString(line, "op-id", action.Request)
		line = appendString(line, "upstream", action.Server)
		line = appendInt(line, "limit-us", wait)
	case balance.Reject:
		line = appendOperation(line, "reject", id)
		line = appendString(line, "op-id", action.Request)
		if wait > 0 {
			line = appendInt(line, "pause-us", wait)
		}
	case balance.Fail:
		line = appendOperation(line, "finish-error", id)
		line = appendString(line, "op-id", action.Request)
	case balance.Cancel:
		line = appendOperation(line, "undo-send", id)
		line = appendString(line, "op-id", action.Request)
		line = appendInt(line, "round-no", int64(action.Number))
	case balance.Timer:
		line = appendOperation(line, "notify-me", id)
		line = appendInt(line, "wait-us", wait)
		line = appendInt(line, "token", int64(action.Token))
	case balance.CloseIdle:
		line = appendOperation(line, "let-go", id)
		line = appendString(line, "upstream", action.Server)
	case balance.Subscribe:
		line = appendOperation(line, "keep-informed", id)
		line = append(line, `,"on":true`...)
	}
	_, err := a.output.Write(append(line, "}\n"...))
	return err
}

// appendOperation appends the start of a message: its operation and instance ID.
func appendOperation(line []byte, name string, id int64) []byte {
	line = append(line, `{"op":"`...)
	line = append(line, name...)
	line = append(line, `","sidecar":`...)
	return strconv.AppendInt(line, id, 10)
}

func appendKey(line []byte, key string) []byte {
	line = append(line, `,"`...)
	line = append(line, key...)
	return append(line, `":`...)
}

func appendString(line []byte, key, value string) []byte {
	return strconv.AppendQuote(appendKey(line, key), value)
}

func appendInt(line []byte, key string, n int64) []byte {
	return strconv.AppendInt(appendKey(line, key), n, 10)
}

// writeFault reports the panic of an instance.
func (a *adapter) writeFault(id int64, description string) error {
	var arena fastjson.Arena
	line := arena.NewObject()
	line.Set("op", arena.NewString("fault"))
	line.Set("sidecar", arena.NewNumberInt(int(id)))
	line.Set("line", arena.NewString(description))
	_, err := a.output.Write(append(line.MarshalTo(nil), '\n'))
	return err
}
