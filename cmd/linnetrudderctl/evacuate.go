package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// evacuateCmd evacuates a data centre or ends its evacuation.
type evacuateCmd struct {
	DataCentre string `arg:"" help:"Name of the data centre."`
	End        bool   `help:"End the evacuation: its backend servers are used again."`
}

// Run starts or ends the evacuation.
func (cm *evacuateCmd) Run(cl *client, pr *printer) error {
	method, effect := http.MethodPost, "gets no new requests"
	if cm.End {
		method, effect = http.MethodDelete, "is used again"
	}
	var ch config.Change
	if err := cl.call(method, "/v1/evacuations/"+url.PathEscape(cm.DataCentre), nil, &ch); err != nil {
		return err
	}
	return pr.show(ch, func(w io.Writer) { fmt.Fprintf(w, "%s %s as of revision %d\n", cm.DataCentre, effect, ch.Revision) })
}
