package main

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/settings"
)

// checkCmd checks a settings file.
type checkCmd struct {
	Settings string `help:"Settings file, JSON with comments." required:"" type:"path"`
	Role     string `help:"Role to check for." enum:"entry,agent" default:"entry"`
}

// Run prints the effective settings.
func (ch *checkCmd) Run(st *streams) error {
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
	enc := json.NewEncoder(st.out)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(se), "print settings")
}
