// Package format translates between CoAP's Content-Formats and media types (RFC
// 7252, section 12.3, and the IANA registry built on it).
package format

import "mime"

var types = map[int]string{
	0:   "text/plain;charset=utf-8",
	40:  "application/link-format",
	41:  "application/xml",
	42:  "application/octet-stream",
	47:  "application/exi",
	50:  "application/json",
	51:  "application/json-patch+json",
	52:  "application/merge-patch+json",
	60:  "application/cbor",
	61:  "application/cwt",
	62:  "application/multipart-core",
	63:  "application/cbor-seq",
	110: "application/senml+json",
	112: "application/senml+cbor",
}

var numbers = func() map[string]int {
	m := map[string]int{}
	for n, t := range types {
		base, _, _ := mime.ParseMediaType(t)
		m[base] = n
	}
	return m
}()

// Type is the media type of a Content-Format; false for one that is not known.
func Type(n int) (string, bool) {
	t, ok := types[n]
	return t, ok
}

// Number is the Content-Format of a media type, -1 for none. Of parameters only
// a charset is looked at: text that is not UTF-8 has no number.
func Number(mediaType string) int {
	base, params, err := mime.ParseMediaType(mediaType)
	if err != nil {
		return -1
	}
	n, ok := numbers[base]
	if c := params["charset"]; !ok || base == "text/plain" && c != "" && c != "utf-8" && c != "UTF-8" && c != "us-ascii" {
		return -1
	}
	return n
}
