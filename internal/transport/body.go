package transport

import (
	"bytes"
	"io"
)

// singleUseBody is a request body that cannot be read twice.
type singleUseBody struct{ io.Reader }

// Close does nothing.
func (singleUseBody) Close() error { return nil }

// SingleUse returns a request body with which net/http cannot repeat the request by itself when a reused
// connection breaks. Whether a request may be repeated is decided by its sender.
func SingleUse(body []byte) io.ReadCloser { return singleUseBody{bytes.NewReader(body)} }
