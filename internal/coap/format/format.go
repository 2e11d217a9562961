// Package format translates between CoAP's Content-Format numbers and media types (RFC
// 7252, section 12.3, and IANA's registry of CoAP Content-Formats).
package format

import "mime"

// mediaTypes maps Content-Format numbers to media types.
var mediaTypes = map[int]string{
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

// contentFormats maps media types without parameters to Content-Format numbers.
var contentFormats = func() map[string]int {
	formats := map[string]int{}
	for number, mediaType := range mediaTypes {
		base, _, err := mime.ParseMediaType(mediaType)
		if err != nil {
			panic(err) // mediaTypes is invalid
		}
		formats[base] = number
	}
	return formats
}()

// None is returned for a media type without a Content-Format.
const None = -1

// MediaType returns the media type of a Content-Format. It returns false if the
// Content-Format is unknown.
func MediaType(contentFormat int) (string, bool) {
	mediaType, ok := mediaTypes[contentFormat]
	return mediaType, ok
}

// ContentFormat returns the Content-Format of a media type, or None if the media type is
// unknown or malformed. The only parameter considered is the charset of text/plain: only
// UTF-8 has a Content-Format.
func ContentFormat(mediaType string) int {
	base, parameters, err := mime.ParseMediaType(mediaType)
	if err != nil {
		return None
	}
	number, ok := contentFormats[base]
	if !ok || base == "text/plain" && !isUTF8(parameters["charset"]) {
		return None
	}
	return number
}

// isUTF8 reports whether text in a charset is valid UTF-8. A missing charset means UTF-8.
func isUTF8(charset string) bool {
	switch charset {
	case "", "utf-8", "UTF-8", "us-ascii":
		return true
	}
	return false
}
