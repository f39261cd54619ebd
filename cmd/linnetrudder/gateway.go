package main

import "github.com/linnetrudder/linnetrudder/platform"

// gatewayCmd runs a gateway, which serves callers on the users' platform without agents.
type gatewayCmd struct {
	Settings string `help:"Settings file of the platform, TOML." required:"" type:"path" env:"LINNETRUDDER_CONFIG"`
}

// Run serves until the process receives a signal to stop.
func (cm *gatewayCmd) Run(st *streams) error {
	pr := &platform.Process{Path: cm.Settings, Log: st.out}
	return pr.Run()
}
