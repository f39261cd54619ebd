package main

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/platform"
)

// checkCmd validates a settings file.
type checkCmd struct {
	Settings string `help:"Settings file, JSON with comments; TOML for a gateway." required:"" type:"path"`
	Role     string `help:"Role that the settings are for." enum:"entry,agent,gateway" default:"entry"`
}

// Run validates the settings file and prints the effective settings without their secrets.
func (ch *checkCmd) Run(st *streams) error {
	if ch.Role == "gateway" {
		return ch.checkGateway(st)
	}
	se, err := settings.Load(ch.Settings, ch.Role)
	if err != nil {
		return err
	}
	if se.SharedKey != "" {
		se.SharedKey = "(set)"
	}
	if se.Platform.Token != "" {
		se.Platform.Token = "(set)"
	}
	return printSettings(st, se)
}

func (ch *checkCmd) checkGateway(st *streams) error {
	se, err := platform.Load(ch.Settings)
	if err != nil {
		return err
	}
	return printSettings(st, se)
}

func printSettings(st *streams, se any) error {
	enc := json.NewEncoder(st.out)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(se), "print settings")
}
