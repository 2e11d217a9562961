package relay

import (
	"bytes"
	"encoding/json"
	"strconv"

	"otterspring/internal/fleet/configuration"
)

// encodeResponse writes a response as JSON. It copies the settings of each resource verbatim,
// since the cluster has validated them and json.Marshal would parse them again.
func encodeResponse(buf *bytes.Buffer, response *configuration.PollResponse) error {
	envelope := *response
	envelope.Update = nil
	text, err := json.Marshal(&envelope)
	if err != nil {
		return err
	}
	if response.Update == nil {
		buf.Write(text)
		return nil
	}
	buf.Write(bytes.TrimSuffix(text, []byte("}")))
	buf.WriteString(`,"update":`)
	if err := encodeUpdate(buf, response.Update); err != nil {
		return err
	}
	buf.WriteByte('}')
	return nil
}

func encodeUpdate(buf *bytes.Buffer, update *configuration.Update) error {
	buf.WriteString(`{"from":`)
	writeVersion(buf, update.From)
	buf.WriteString(`,"version":`)
	writeVersion(buf, update.Version)
	for i, resource := range update.Resources {
		if i == 0 {
			buf.WriteString(`,"resources":[`)
		} else {
			buf.WriteByte(',')
		}
		service, err := json.Marshal(resource.Service)
		if err != nil {
			return err
		}
		buf.WriteString(`{"service":`)
		buf.Write(service)
		buf.WriteString(`,"version":`)
		writeVersion(buf, resource.Version)
		buf.WriteString(`,"settings":`)
		buf.Write(resource.Settings)
		buf.WriteByte('}')
	}
	if len(update.Resources) > 0 {
		buf.WriteByte(']')
	}
	buf.WriteByte('}')
	return nil
}

func writeVersion(buf *bytes.Buffer, version configuration.Version) {
	buf.Write(strconv.AppendUint(buf.AvailableBuffer(), uint64(version), 10))
}
