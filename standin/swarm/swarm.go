// Package swarm runs entries and agents inside the calling process, with real connections on loopback.
// Measurements use it to simulate the many peers of one measured process, tests use it if they do not
// have to kill a process.
package swarm

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/linnetrudder/linnetrudder/internal/agent"
	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/entry"
	"github.com/linnetrudder/linnetrudder/internal/kv"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// Swarm is a set of entries and agents that run in this process. Its exported fields are set before use.
type Swarm struct {
	// Store and Boxes are the addresses of the platform's stand-ins.
	Store, Boxes string
	// SharedKey is the key that all boxes share.
	SharedKey string
	// AdjustSettings adjusts the settings of each member before it starts.
	AdjustSettings func(se *settings.Settings)
	// Log receives the members' logs; nil discards them.
	Log io.Writer

	wg sync.WaitGroup
}

// Member is one running entry or agent.
type Member struct {
	// Box is the member's entry for the list of boxes.
	Box boxes.Box
	// Node is the part of the member that entries and agents have in common.
	Node *node.Node
	// Stop starts a graceful shutdown.
	Stop context.CancelFunc
	// Ended is closed when the member has stopped.
	Ended chan struct{}
}

// StartAgent starts an agent for a backend server.
func (sw *Swarm) StartAgent(box, dataCentre, server, backend string) (*Member, error) {
	me, listener, admin, err := sw.newMember(box, dataCentre, boxes.Agent)
	if err != nil {
		return nil, err
	}
	me.Box.Server = server
	me.Node.Settings.Server = settings.Server{Name: server, Address: backend}
	ag := &agent.Agent{Node: me.Node, Links: listener, Admin: admin, HTTP: &http.Client{}, Store: sw.newStoreClient()}
	sw.runMember(me, ag.Run)
	return me, nil
}

// StartEntry starts an entry.
func (sw *Swarm) StartEntry(box, dataCentre string) (*Member, error) {
	me, listener, admin, err := sw.newMember(box, dataCentre, boxes.Entry)
	if err != nil {
		return nil, err
	}
	list := &boxes.Client{Address: sw.Boxes, Timeout: me.Node.Settings.Platform.Timeout(), HTTP: &http.Client{}}
	en := &entry.Entry{Node: me.Node, Callers: listener, Admin: admin, Store: sw.newStoreClient(), Boxes: list}
	sw.runMember(me, en.Run)
	return me, nil
}

// Wait waits until every member has stopped.
func (sw *Swarm) Wait() { sw.wg.Wait() }

// newMember returns a member with its settings, its listener for callers (entry) or entries (agent) and
// its listener for the admin API.
func (sw *Swarm) newMember(box, dataCentre string, role boxes.Role) (*Member, net.Listener, net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	se := settings.Default()
	se.Box, se.DataCentre, se.SharedKey = box, dataCentre, sw.SharedKey
	se.Listen, se.Admin = listener.Addr().String(), admin.Addr().String()
	se.Platform.Store, se.Platform.Boxes = sw.Store, sw.Boxes
	if sw.AdjustSettings != nil {
		sw.AdjustSettings(&se)
	}
	lo := zerolog.Nop()
	if sw.Log != nil {
		lo = zerolog.New(sw.Log).With().Str("box", box).Logger()
	}
	me := &Member{
		Box: boxes.Box{
			Name: box, Role: role, DataCentre: dataCentre, Address: se.Listen, Admin: se.Admin, State: boxes.Live,
		},
		Node:  &node.Node{Settings: se, Log: lo, Ring: &timeline.Ring{Box: box, DataCentre: dataCentre}},
		Ended: make(chan struct{}),
	}
	return me, listener, admin, nil
}

// runMember runs a member in the background until Stop is called.
func (sw *Swarm) runMember(me *Member, serve func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	me.Stop = stop
	sw.wg.Go(func() {
		defer close(me.Ended)
		_ = serve(ctx)
	})
}

func (sw *Swarm) newStoreClient() *kv.Client {
	return &kv.Client{
		Address: sw.Store, Timeout: settings.Default().Platform.Timeout(),
		Limiter: rate.NewLimiter(rate.Inf, 1), HTTP: &http.Client{},
	}
}
