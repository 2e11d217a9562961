package client

import "net/url"

// unescape undoes what HTTP escapes in a path's or query's part. One that can't be
// undone goes as it is: the server may know what it means.
func unescape(part string, query bool) string {
	undo := url.PathUnescape
	if query {
		undo = url.QueryUnescape
	}
	if text, err := undo(part); err == nil {
		return text
	}
	return part
}
