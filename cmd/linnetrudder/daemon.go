package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/linnetrudder/linnetrudder/internal/intake"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/liblog"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/transport"
)

// daemon is the common part of the entry and agent roles: validated settings, open listeners, the log
// and a context that is cancelled by SIGINT or SIGTERM.
type daemon struct {
	node            *node.Node
	listener, admin net.Listener
	http            *http.Client
	ctx             context.Context
	stop            context.CancelFunc
}

func newDaemon(path, role string, st *streams) (*daemon, error) {
	se, err := settings.Load(path, role)
	if err != nil {
		return nil, err
	}
	level, err := zerolog.ParseLevel(se.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "log_level")
	}
	if role == "entry" {
		debug.SetMemoryLimit(intake.HeapLimit(se.Limits.Memory()))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	var lc net.ListenConfig
	li, err := lc.Listen(ctx, "tcp", se.Listen)
	if err != nil {
		stop()
		return nil, eris.Wrap(err, "listen for requests")
	}
	ad, err := lc.Listen(ctx, "tcp", se.Admin)
	if err != nil {
		stop()
		return nil, eris.Wrap(err, "listen for admin API")
	}
	lo := zerolog.New(st.err).Level(level).With().Timestamp().
		Str("box", se.Box).Str("data_centre", se.DataCentre).Logger()
	liblog.Capture(lo)
	return &daemon{
		node: &node.Node{
			Settings: se, Log: lo,
			Ring: &timeline.Ring{Box: se.Box, DataCentre: se.DataCentre},
		},
		listener: li,
		admin:    ad,
		http:     transport.NewClient(),
		ctx:      ctx,
		stop:     stop,
	}, nil
}

func (da *daemon) storeClient() *kv.Client {
	pl := da.node.Settings.Platform
	return &kv.Client{
		Address: pl.Store,
		Token:   pl.Token,
		Timeout: pl.Timeout(),
		Limiter: rate.NewLimiter(rate.Limit(pl.CallsPerSecond), int(pl.CallsPerSecond)+1),
		HTTP:    da.http,
	}
}
