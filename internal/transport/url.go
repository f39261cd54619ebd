package transport

import (
	"net/url"
	"strings"
)

// RawURL returns the URL of a request whose path is sent byte for byte, nil if that is not possible. net/url
// writes an opaque path unchanged unless it begins with two slashes, and other paths if they are well-formed.
func RawURL(address, path, query string, hasQuery bool) *url.URL {
	ur := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery}
	if !strings.HasPrefix(path, "//") {
		return ur
	}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil
	}
	ur.Opaque, ur.Path, ur.RawPath = "", decoded, path
	if ur.EscapedPath() != path {
		return nil
	}
	return ur
}
