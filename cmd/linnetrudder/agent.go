package main

import (
	"github.com/linnetrudder/linnetrudder/internal/agent"
	"github.com/linnetrudder/linnetrudder/internal/transport"
)

// agentCmd runs the agent of a backend server.
type agentCmd struct {
	Settings string `help:"Settings file, JSON with comments." required:"" type:"path"`
}

// maxIdleBackendConns is the maximum number of idle connections to the backend server.
const maxIdleBackendConns = 256

// Run serves until the process receives SIGINT or SIGTERM.
func (cm *agentCmd) Run(st *streams) error {
	da, err := newDaemon(cm.Settings, "agent", st)
	if err != nil {
		return err
	}
	defer da.stop()
	ag := &agent.Agent{
		Node:  da.node,
		Links: da.listener,
		Admin: da.admin,
		HTTP:  transport.NewClientWithIdle(maxIdleBackendConns),
		Store: da.storeClient(),
	}
	return ag.Run(da.ctx)
}
