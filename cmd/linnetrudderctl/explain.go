package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/entry"
	"github.com/linnetrudder/linnetrudder/internal/explain"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// explainCmd explains how a hypothetical request would be routed, or how a past request ended.
type explainCmd struct {
	Request string `help:"ID of a past request; the entries are searched for it."`
	Team    string `help:"Team of a hypothetical request."`
	Model   string `default:"auto" help:"Model that the request names."`
	Kind    string `help:"Kind of the request."`
	Session string `help:"Session of the request."`
	// Logs are log files; if any are given, they are read and no entry is called.
	Logs []string `help:"Gateway log files, from any boxes in any order, from which to explain how --request ended." type:"existingfile"`
}

// Run requests an explanation from an entry, or derives it from log files if any are given.
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
		return eris.Wrap(err, "encode request")
	}
	var ex entry.Explanation
	if err := cl.call(http.MethodPost, "/v1/explain", body, &ex); err != nil {
		return err
	}
	return pr.show(ex, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %v (%s)\n", result.Lookup(ex.Code).Name(), ex.Steps, ex.Reason)
		for _, ca := range ex.Candidates {
			fmt.Fprintf(w, "  %s\t%s\tquality %.3f (at least %.3f)\tcost %.0f\n",
				ca.Version, result.Lookup(ca.Code).Name(), ca.Mean, ca.LowerBound, ca.Cost)
		}
	})
}

// fromLogs explains from log files how a request ended.
func (cm *explainCmd) fromLogs(pr *printer) error {
	if cm.Request == "" {
		return result.New(result.BadRequest, "--logs needs --request")
	}
	ex := explain.Explainer{Request: cm.Request}
	for _, path := range cm.Logs {
		if err := readLog(&ex, path); err != nil {
			return err
		}
	}
	sentences, err := ex.Explain()
	if err != nil {
		return err
	}
	return pr.show(sentences, func(w io.Writer) {
		for _, sentence := range sentences {
			fmt.Fprintln(w, sentence)
		}
		if malformed := ex.MalformedLines(); malformed > 0 {
			fmt.Fprintf(w, "Skipped %d malformed lines.\n", malformed)
		}
	})
}

func readLog(ex *explain.Explainer, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer file.Close()
	return eris.Wrap(ex.Read(file), path)
}
