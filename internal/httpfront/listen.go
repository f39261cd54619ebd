package httpfront

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// server serves the connections of a listener.
type server interface{ Serve(li net.Listener) error }

// Listen starts a server on an address. It returns an error if it cannot listen; an error of the
// running server is sent to failed.
func Listen(ctx context.Context, address string, hs server, failed chan<- error) error {
	var lc net.ListenConfig
	li, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	go func() {
		err := hs.Serve(li)
		if errors.Is(err, http.ErrServerClosed) {
			return
		}
		select {
		case failed <- eris.Wrap(err, "serve"):
		default:
		}
	}()
	return nil
}
