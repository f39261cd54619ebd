package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/entry"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/story"
)

// explainCmd asks why.
type explainCmd struct {
	Request string `help:"Id of a request that was made; the entries that kept it are asked."`
	Team    string `help:"Team of a request that is only thought of."`
	Model   string `default:"auto" help:"Model that the caller names."`
	Kind    string `help:"Kind of the request."`
	Session string `help:"Session of the request."`
	// Logs stand in place of the entries.
	Logs []string `help:"Files with the logs of gateways, of any boxes in any order: tells from them what became of --request." type:"existingfile"`
}

// Run asks an entry what it would do, or tells from logs what became of a request.
func (cm *explainCmd) Run(cl *client, pr *printer) error {
	if len(cm.Logs) > 0 {
		return cm.fromLogs(pr)
	}
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
				ca.Version, result.Of(ca.Code).Name(), ca.Mean, ca.LowerBound, ca.Cost)
		}
	})
}

// fromLogs tells what the logs say of a request.
func (cm *explainCmd) fromLogs(pr *printer) error {
	if cm.Request == "" {
		return result.New(result.BadRequest, "--logs needs --request")
	}
	st := story.Story{Request: cm.Request}
	for _, path := range cm.Logs {
		if err := readLog(&st, path); err != nil {
			return err
		}
	}
	told, err := st.Tell()
	if err != nil {
		return err
	}
	return pr.show(told, func(w io.Writer) {
		for _, sentence := range told {
			fmt.Fprintln(w, sentence)
		}
		if torn := st.Torn(); torn > 0 {
			fmt.Fprintf(w, "%d torn lines were passed over.\n", torn)
		}
	})
}

func readLog(st *story.Story, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer file.Close()
	return eris.Wrap(st.Read(file), path)
}
