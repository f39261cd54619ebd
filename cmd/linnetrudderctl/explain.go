package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/entry"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// explainCmd asks why.
type explainCmd struct {
	Request string `help:"Id of a request that was made; the entries that kept it are asked."`
	Team    string `help:"Team of a request that is only thought of."`
	Model   string `default:"auto" help:"Model that the caller names."`
	Kind    string `help:"Kind of the request."`
	Session string `help:"Session of the request."`
}

// Run asks an entry what it would do.
func (cm *explainCmd) Run(cl *client, pr *printer) error {
	if (cm.Request == "") == (cm.Team == "") {
		return result.New(result.BadRequest, "give either --request or --team")
	}
	body, err := json.Marshal(map[string]string{
		"request": cm.Request, "team": cm.Team, "model": cm.Model, "kind": cm.Kind, "session": cm.Session,
	})
	if err != nil {
		return eris.Wrap(err, "explain")
	}
	var ex entry.Explanation
	if err := cl.call(http.MethodPost, "/v1/explain", body, &ex); err != nil {
		return err
	}
	return pr.show(ex, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %v (%s)\n", result.Of(ex.Code).Name(), ex.Steps, ex.Reason)
		for _, ca := range ex.Candidates {
			fmt.Fprintf(w, "  %s\t%s\tquality %.3f (at least %.3f)\tcost %.0f\n",
				ca.Version, result.Of(ca.Code).Name(), ca.Mean, ca.Lower, ca.Cost)
		}
	})
}
