package main

import (
	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/entry"
)

// entryCmd runs an entry, which serves callers.
type entryCmd struct {
	Settings string `help:"Settings file, JSON with comments." required:"" type:"path"`
}

// Run serves until the process receives SIGINT or SIGTERM.
func (cm *entryCmd) Run(st *streams) error {
	da, err := newDaemon(cm.Settings, "entry", st)
	if err != nil {
		return err
	}
	defer da.stop()
	en := &entry.Entry{
		Node:    da.node,
		Callers: da.listener,
		Admin:   da.admin,
		Store:   da.storeClient(),
		Boxes:   &boxes.Client{Address: da.node.Settings.Platform.Boxes, Timeout: da.node.Settings.Platform.Timeout(), HTTP: da.http},
	}
	return en.Run(da.ctx)
}
