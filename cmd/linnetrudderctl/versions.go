package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// versionsCmd lists the versions with their states and shares.
type versionsCmd struct{}

// Run reads and prints the versions.
func (*versionsCmd) Run(cl *client, pr *printer) error {
	ev, err := readRevision(cl, 0)
	if err != nil {
		return err
	}
	return pr.show(ev.Document.Versions, func(w io.Writer) {
		for i := range ev.Document.Versions {
			ve := &ev.Document.Versions[i]
			fmt.Fprintf(w, "%s\t%s\tshare %.2f\n", ve.ID(), ve.State, ve.Share)
		}
	})
}

// rolloutCmd sets a version's share of new requests.
type rolloutCmd struct {
	Version string  `arg:"" help:"model@version"`
	Share   float64 `required:"" help:"Share of the model's new requests, from 0 to 1; 1 sets the version's state to serving."`
}

// Run sets the share and the state that follows from it.
func (cm *rolloutCmd) Run(cl *client, pr *printer) error {
	state := config.RollingIn
	if cm.Share >= 1 {
		state = config.Serving
	}
	return setVersion(cl, pr, cm.Version, state, cm.Share)
}

// withdrawCmd withdraws a version.
type withdrawCmd struct {
	Version string `arg:"" help:"model@version"`
	Slowly  bool   `help:"Let existing sessions continue on the version; only new sessions are not sent to it."`
}

// Run sets the version's state to withdrawn, or to rolling out with --slowly.
func (cm *withdrawCmd) Run(cl *client, pr *printer) error {
	state := config.Withdrawn
	if cm.Slowly {
		state = config.RollingOut
	}
	return setVersion(cl, pr, cm.Version, state, 0)
}

func setVersion(cl *client, pr *printer, id string, state config.State, share float64) error {
	model, version, ok := strings.Cut(id, "@")
	if !ok {
		return result.New(result.BadReference, "version: "+id+": want model@version")
	}
	body, err := json.Marshal(map[string]any{"state": state, "share": share})
	if err != nil {
		return eris.Wrap(err, "encode version change")
	}
	var ch config.Change
	if err := cl.call(http.MethodPost, "/v1/versions/"+model+"/"+version, body, &ch); err != nil {
		return err
	}
	return pr.show(ch, func(w io.Writer) { fmt.Fprintf(w, "%s is %s as of revision %d\n", id, state, ch.Revision) })
}
