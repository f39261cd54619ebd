package transport

import (
	"bytes"
	"io"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
)

// SingleUse returns a request body with which net/http cannot repeat the request by itself when a reused
// connection breaks, provided that the request's GetBody is nil. Whether a request may be repeated is decided by
// its sender.
func SingleUse(body *buffer.Segments) io.ReadCloser {
	if data, ok := body.Contiguous(); ok {
		// net/http knows that such a body is in memory, and writes it together with the head.
		return io.NopCloser(bytes.NewReader(data))
	}
	return body.Open()
}
