package node

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/hangup"
	"github.com/linnetrudder/linnetrudder/internal/httpfront"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Status is the state that a process reports on its admin port.
type Status struct {
	Box        string `json:"box"`
	DataCentre string `json:"data_centre"`
	// Revision is the revision of the configuration that is in force in the process.
	Revision uint64 `json:"revision"`
	Stopping bool   `json:"stopping"`
	// Peers maps the box of each connected peer to the highest revision that it has offered.
	Peers map[string]uint64 `json:"peers"`
}

// AdminRouter returns a router for the paths of the admin port that all processes serve. The health
// and readiness checks for load balancers need no key; all other paths need an operator key.
func (no *Node) AdminRouter() *mux.Router {
	ro := mux.NewRouter()
	ro.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	ro.HandleFunc("/ready", no.serveReady)
	ro.Handle("/metrics", no.RequireOperator(expvar.Handler().ServeHTTP))
	ro.Handle("/debug/pprof/profile", no.RequireOperator(pprof.Profile))
	ro.PathPrefix("/debug/pprof/").Handler(no.RequireOperator(pprof.Index))
	ro.Handle("/v1/timeline", no.RequireOperator(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, no.Ring.Entries())
	}))
	ro.Handle("/v1/status", no.RequireOperator(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, no.Status())
	}))
	return ro
}

// Status returns the state of the process.
func (no *Node) Status() Status {
	return Status{
		Box:        no.Settings.Box,
		DataCentre: no.Settings.DataCentre,
		Revision:   no.Snapshot().Revision(),
		Stopping:   no.Stopping(),
		Peers:      no.PeerRevisions(),
	}
}

func (no *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case no.Stopping():
		WriteError(w, result.New(result.Leaving, ""))
	case no.Snapshot() == nil:
		WriteError(w, result.New(result.NoConfiguration, ""))
	default:
		WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
	}
}

// RequireOperator wraps a handler so that requests without a valid operator key are rejected. If the
// settings contain no operator key, all requests are accepted; the settings allow that only on a
// loopback address.
func (no *Node) RequireOperator(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !no.isOperator(r) {
			WriteError(w, result.New(result.NotOperator, ""))
			return
		}
		next(w, r)
	})
}

func (no *Node) isOperator(r *http.Request) bool {
	keys := no.Settings.OperatorKeys
	if len(keys) == 0 {
		return true
	}
	digest := config.KeyDigest(BearerKey(r))
	// All keys are compared, so that the duration does not depend on which one matches.
	matched := 0
	for _, key := range keys {
		matched |= equalDigests(key, digest)
	}
	return matched == 1
}

// ServeHTTP serves a handler on a listener whose clients are trusted, as Serve does.
func ServeHTTP(ctx context.Context, ln net.Listener, ha http.Handler, stopTimeout time.Duration) error {
	return Serve(ctx, ln, hangupServer{httpfront.NewTrustedServer(ha)}, stopTimeout)
}

// hangupServer is an HTTP server that notices clients that leave.
type hangupServer struct{ *http.Server }

// Serve serves the connections of a listener.
func (hs hangupServer) Serve(ln net.Listener) error { return hangup.Serve(hs.Server, ln) }

// server serves the connections of a listener.
type server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
}

// Serve serves a listener until the context is cancelled. It then shuts down gracefully and waits for
// requests in progress, for at most stopTimeout.
func Serve(ctx context.Context, ln net.Listener, srv server, stopTimeout time.Duration) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "shut down")
	}
	return ctx.Err()
}

// ReadHeaderTimeout is the time limit of a request header.
const ReadHeaderTimeout = httpfront.TrustedHeaderTimeout

// WriteJSON writes a response with a JSON value as its body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
