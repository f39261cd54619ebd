package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// evacuateCmd empties a data centre or gives it back.
type evacuateCmd struct {
	DataCentre string `arg:"" help:"Data centre."`
	End        bool   `help:"Give it back: its backend servers are used again."`
}

// Run sends the change.
func (cm *evacuateCmd) Run(cl *client, pr *printer) error {
	method, done := http.MethodPost, "gets nothing new"
	if cm.End {
		method, done = http.MethodDelete, "is used again"
	}
	var ch config.Change
	if err := cl.call(method, "/v1/evacuations/"+url.PathEscape(cm.DataCentre), nil, &ch); err != nil {
		return err
	}
	return pr.show(ch, func(w io.Writer) { fmt.Fprintf(w, "%s %s as of revision %d\n", cm.DataCentre, done, ch.Revision) })
}
