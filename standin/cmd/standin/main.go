// Command standin runs a stand-in for one of the platform's services or for a backend server. It is
// used by the demo and the tests only and is not part of a release.
package main

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/standin/boxlist"
	"github.com/linnetrudder/linnetrudder/standin/engine"
	"github.com/linnetrudder/linnetrudder/standin/plain"
	"github.com/linnetrudder/linnetrudder/standin/store"
)

type flags struct {
	Kind       string        `arg:"" enum:"store,boxes,engine,plain" help:"Kind of stand-in."`
	Listen     string        `required:"" help:"IP address and port."`
	Tokens     int           `default:"8" help:"Length of an engine's answers in tokens."`
	Pace       time.Duration `default:"5ms" help:"Time between two tokens of an answer."`
	Fenced     bool          `help:"Let an engine reject orders with a lower fencing number."`
	Confidence float64       `help:"Confidence that an engine reports with its answers; none if zero."`
	Takes      time.Duration `default:"1ms" help:"Duration of a plain call."`
}

const (
	headerTimeout = 5 * time.Second
	// engineRestartDelay is the time for which a crashed engine refuses connections.
	engineRestartDelay = 300 * time.Millisecond
)

func main() {
	var fl flags
	kong.Parse(&fl)
	handlers := map[string]http.Handler{
		"store":  &store.Store{},
		"boxes":  &boxlist.List{},
		"engine": &engine.Engine{Tokens: fl.Tokens, TokenInterval: fl.Pace, Confidence: fl.Confidence, CheckFencing: fl.Fenced},
		"plain":  &plain.Service{Latency: fl.Takes},
	}
	lo := zerolog.New(os.Stderr)
	for {
		srv := &http.Server{Addr: fl.Listen, Handler: handlers[fl.Kind], ReadHeaderTimeout: headerTimeout}
		if en, ok := handlers[fl.Kind].(*engine.Engine); ok {
			// A crash closes the listener and all connections, which is what callers see of a real
			// one. The process keeps running, so that the counts of requests it ran are not lost.
			en.Crash = func() { _ = srv.Close() }
		}
		err := srv.ListenAndServe()
		if !errors.Is(err, http.ErrServerClosed) {
			lo.Fatal().Err(err).Msg(fl.Kind)
		}
		time.Sleep(engineRestartDelay)
	}
}
