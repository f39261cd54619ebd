package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// applyCmd replaces the configuration with that of a file.
type applyCmd struct {
	File   string  `arg:"" help:"Configuration file, JSON with comments." type:"path"`
	Base   *uint64 `help:"Reject the change if the revision in force is not this one."`
	DryRun bool    `help:"Validate the file without applying it."`
}

// Run sends the file to an entry.
func (cm *applyCmd) Run(cl *client, pr *printer) error {
	body, err := os.ReadFile(cm.File)
	if err != nil {
		return eris.Wrap(err, "read configuration")
	}
	query := url.Values{}
	if cm.Base != nil {
		query.Set("base", strconv.FormatUint(*cm.Base, 10))
	}
	if cm.DryRun {
		query.Set("dry_run", "true")
	}
	var ch config.Change
	if err := cl.call(http.MethodPut, "/v1/config?"+query.Encode(), body, &ch); err != nil {
		return err
	}
	return pr.show(ch, func(w io.Writer) {
		if cm.DryRun {
			fmt.Fprintf(w, "valid; it would become revision %d\n", ch.Revision)
			return
		}
		fmt.Fprintf(w, "revision %d\n", ch.Revision)
	})
}

// getCmd prints a revision of the configuration.
type getCmd struct {
	Revision uint64 `help:"Revision to print; defaults to the one in force."`
}

// Run reads and prints the revision.
func (cm *getCmd) Run(cl *client, pr *printer) error {
	ev, err := readRevision(cl, cm.Revision)
	if err != nil {
		return err
	}
	return pr.show(ev, func(w io.Writer) {
		body, _ := json.MarshalIndent(ev.Document, "", "  ")
		fmt.Fprintf(w, "// revision %d\n%s\n", ev.Revision, body)
	})
}

// readRevision reads a stored revision of the configuration, or the one in force if revision is 0.
func readRevision(cl *client, revision uint64) (*config.Envelope, error) {
	path := "/v1/config"
	if revision > 0 {
		path = fmt.Sprintf("/v1/config/history/%d", revision)
	}
	var ev config.Envelope
	err := cl.get(path, &ev)
	return &ev, err
}

// diffCmd compares a file with the configuration in force.
type diffCmd struct {
	File string `arg:"" help:"Configuration file, JSON with comments." type:"path"`
}

// Run reads both configurations and prints the objects that differ.
func (cm *diffCmd) Run(cl *client, pr *printer) error {
	body, err := os.ReadFile(cm.File)
	if err != nil {
		return eris.Wrap(err, "read configuration")
	}
	doc, err := config.Decode(body)
	if err != nil {
		return err
	}
	ev, err := readRevision(cl, 0)
	if err != nil {
		return err
	}
	diff := config.Diff(ev.Document, doc)
	return pr.show(diff, func(w io.Writer) {
		for _, di := range diff {
			fmt.Fprintf(w, "%s %s\n", di.Op, di.Path)
		}
	})
}

// historyCmd lists the newest configuration changes.
type historyCmd struct{}

// Run reads and prints the changes.
func (*historyCmd) Run(cl *client, pr *printer) error {
	var list []config.Change
	if err := cl.get("/v1/config/history", &list); err != nil {
		return err
	}
	return pr.show(list, func(w io.Writer) {
		for _, ch := range list {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", ch.Revision, ch.At.Format("2006-01-02T15:04:05Z"), ch.Operator, ch.Summary)
		}
	})
}
