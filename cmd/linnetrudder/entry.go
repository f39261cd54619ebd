package main

import (
	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/entry"
)

// entryCmd serves callers.
type entryCmd struct {
	Settings string `help:"Settings file, JSON with comments." required:"" type:"path"`
}

// Run serves until a signal asks it to stop.
func (cm *entryCmd) Run(st *streams) error {
	ba, err := newBase(cm.Settings, "entry", st)
	if err != nil {
		return err
	}
	defer ba.stop()
	en := &entry.Entry{
		Node:    ba.node,
		Callers: ba.listener,
		Admin:   ba.admin,
		Store:   ba.store(),
		Boxes:   &boxes.Client{Address: ba.node.Settings.Platform.Boxes, Timeout: ba.node.Settings.Platform.Timeout(), HTTP: ba.http},
	}
	return en.Run(ba.ctx)
}
