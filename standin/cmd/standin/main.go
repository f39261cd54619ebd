// Command standin runs one of the stand-ins for the platform's services and
// the backend servers. It is used by the demo and the tests and not shipped.
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
	Kind       string        `arg:"" enum:"store,boxes,engine,plain" help:"What to stand in for."`
	Listen     string        `required:"" help:"IP number and port."`
	Tokens     int           `default:"8" help:"Length of an engine's answers."`
	Pace       time.Duration `default:"5ms" help:"Time between two tokens."`
	Fenced     bool          `help:"Whether an engine checks fencing numbers."`
	Confidence float64       `help:"Confidence that an engine reports."`
	Takes      time.Duration `default:"1ms" help:"How long a plain call runs."`
}

const (
	headerTimeout = 5 * time.Second
	// restartTime is how long an engine that has ended is away.
	restartTime = 300 * time.Millisecond
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
			// The process stays, so that it can tell what it ran; callers see it end.
			en.Crash = func() { _ = srv.Close() }
		}
		err := srv.ListenAndServe()
		if !errors.Is(err, http.ErrServerClosed) {
			lo.Fatal().Err(err).Msg(fl.Kind)
		}
		time.Sleep(restartTime)
	}
}
