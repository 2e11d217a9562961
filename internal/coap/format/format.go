// Package format translates between CoAP's Content-Format numbers and media types (RFC
// 7252, section 12.3, and IANA's registry of CoAP Content-Formats).
package format

import "mime"

// mediaTypes has the media type of each Content-Format.
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

// contentFormats has the Content-Format of each media type without parameters.
var contentFormats = func() map[string]int {
	formats := map[string]int{}
	for number, mediaType := range mediaTypes {
		base, _, err := mime.ParseMediaType(mediaType)
		if err != nil {
			panic(err) // a mistake in the table above
		}
		formats[base] = number
	}
	return formats
}()

// None stands for a media type without Content-Format.
const None = -1

// MediaType returns the media type of a Content-Format; false for an unknown one.
func MediaType(contentFormat int) (string, bool) {
	mediaType, ok := mediaTypes[contentFormat]
	return mediaType, ok
}

// ContentFormat returns the Content-Format of a media type, None for an unknown or a
// malformed one. The only parameter considered is the charset: text that is not UTF-8 has
// no Content-Format.
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

// isUTF8 reports whether text of a charset is UTF-8; without a charset it is.
func isUTF8(charset string) bool {
	switch charset {
	case "", "utf-8", "UTF-8", "us-ascii":
		return true
	}
	return false
}
