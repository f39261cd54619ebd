package main

import (
	"net/http"

	"github.com/linnetrudder/linnetrudder/internal/agent"
)

// agentCmd guards a backend server.
type agentCmd struct {
	Settings string `help:"Settings file, JSON with comments." required:"" type:"path"`
}

// backendConns is how many idle connections to the backend server are kept.
const backendConns = 256

// Run serves until a signal asks it to stop.
func (cm *agentCmd) Run(st *streams) error {
	ba, err := newBase(cm.Settings, "agent", st)
	if err != nil {
		return err
	}
	defer ba.stop()
	ag := &agent.Agent{
		Node:  ba.node,
		Links: ba.listener,
		Admin: ba.admin,
		HTTP:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: backendConns, DisableCompression: true}},
		Store: ba.store(),
	}
	return ag.Run(ba.ctx)
}
