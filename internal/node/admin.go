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
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Status is what a process says of itself.
type Status struct {
	Box        string `json:"box"`
	DataCentre string `json:"data_centre"`
	// Revision is the one in force here.
	Revision uint64 `json:"revision"`
	Stopping bool   `json:"stopping"`
	// Peers holds the revision in force at each connected peer.
	Peers map[string]uint64 `json:"peers"`
}

// AdminRouter returns the admin port's common paths: health and readiness
// for the balancer without a key, and the rest for operators.
func (no *Node) AdminRouter() *mux.Router {
	ro := mux.NewRouter()
	ro.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	ro.HandleFunc("/ready", no.ready)
	ro.Handle("/metrics", no.Operator(expvar.Handler().ServeHTTP))
	ro.Handle("/debug/pprof/profile", no.Operator(pprof.Profile))
	ro.PathPrefix("/debug/pprof/").Handler(no.Operator(pprof.Index))
	ro.Handle("/v1/timeline", no.Operator(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, no.Ring.Entries())
	}))
	ro.Handle("/v1/status", no.Operator(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, no.Status())
	}))
	return ro
}

// Status returns what the process says of itself.
func (no *Node) Status() Status {
	return Status{
		Box:        no.Settings.Box,
		DataCentre: no.Settings.DataCentre,
		Revision:   no.Snapshot().Revision(),
		Stopping:   no.Stopping(),
		Peers:      no.PeerRevisions(),
	}
}

func (no *Node) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case no.Stopping():
		WriteError(w, result.New(result.Leaving, ""))
	case no.Snapshot() == nil:
		WriteError(w, result.New(result.NoConfiguration, ""))
	default:
		WriteJSON(w, http.StatusOK, map[string]string{"status": "ready"})
	}
}

// Operator lets only holders of an operator key through. Without any key in
// the settings, the admin port is open; the settings allow that on loopback.
func (no *Node) Operator(next http.HandlerFunc) http.Handler {
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
	found := 0
	for _, have := range keys {
		found |= equalDigests(have, digest)
	}
	return found == 1
}

// ServeHTTP serves a handler on a listener until the context ends, and then
// lets requests in progress end.
func ServeHTTP(ctx context.Context, ln net.Listener, ha http.Handler, stop time.Duration) error {
	srv := &http.Server{Handler: ha, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), stop)
	defer cancel()
	if err := srv.Shutdown(ending); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "shut down")
	}
	return ctx.Err()
}

const headerTimeout = 10 * time.Second

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
