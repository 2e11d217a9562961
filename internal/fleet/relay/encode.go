package relay

import (
	"bytes"
	"encoding/json"
	"strconv"

	"otterspring/internal/fleet/configuration"
)

// encodeResponse writes a response as JSON. It copies the settings as they came from the
// cluster, which has validated them: json.Marshal would parse all of them again.
func encodeResponse(to *bytes.Buffer, response *configuration.PollResponse) error {
	envelope := *response
	envelope.Update = nil
	text, err := json.Marshal(&envelope)
	if err != nil {
		return err
	}
	if response.Update == nil {
		to.Write(text)
		return nil
	}
	to.Write(bytes.TrimSuffix(text, []byte("}")))
	to.WriteString(`,"update":`)
	if err := encodeUpdate(to, response.Update); err != nil {
		return err
	}
	to.WriteByte('}')
	return nil
}

func encodeUpdate(to *bytes.Buffer, update *configuration.Update) error {
	to.WriteString(`{"from":`)
	writeVersion(to, update.From)
	to.WriteString(`,"version":`)
	writeVersion(to, update.Version)
	for i, resource := range update.Resources {
		if i == 0 {
			to.WriteString(`,"resources":[`)
		} else {
			to.WriteByte(',')
		}
		service, err := json.Marshal(resource.Service)
		if err != nil {
			return err
		}
		to.WriteString(`{"service":`)
		to.Write(service)
		to.WriteString(`,"version":`)
		writeVersion(to, resource.Version)
		to.WriteString(`,"settings":`)
		to.Write(resource.Settings)
		to.WriteByte('}')
	}
	if len(update.Resources) > 0 {
		to.WriteByte(']')
	}
	to.WriteByte('}')
	return nil
}

func writeVersion(to *bytes.Buffer, version configuration.Version) {
	to.Write(strconv.AppendUint(to.AvailableBuffer(), uint64(version), 10))
}
