package main

import "github.com/linnetrudder/linnetrudder/platform"

// gatewayCmd serves callers of the users' platform without agents.
type gatewayCmd struct {
	Settings string `help:"Settings file of the platform, TOML." required:"" type:"path" env:"LINNETRUDDER_CONFIG"`
}

// Run serves until a signal asks it to stop.
func (cm *gatewayCmd) Run(st *streams) error {
	pr := &platform.Process{Path: cm.Settings, Log: st.out}
	return pr.Run()
}
