package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// timelineCmd merges the timelines of all boxes.
type timelineCmd struct {
	Request string        `help:"Show only this request."`
	Team    string        `help:"Show only this team."`
	Version string        `help:"Show only this version."`
	Last    time.Duration `help:"Show only events of this last period."`
	Picture string        `help:"Write an SVG image to this file." type:"path"`
}

// Run reads the timeline of each box and prints the merged events or writes them as an image.
func (cm *timelineCmd) Run(cl *client, pr *printer) error {
	var lists [][]timeline.Entry
	var unreachable []string
	err := cl.getFromAll("/v1/timeline", func() any { return &[]timeline.Entry{} }, func(bo boxes.Box, value any, err error) {
		list, ok := value.(*[]timeline.Entry)
		if err != nil || !ok {
			unreachable = append(unreachable, bo.Name)
			return
		}
		lists = append(lists, *list)
	})
	if err != nil {
		return err
	}
	all := slices.DeleteFunc(timeline.Merge(lists...), func(en timeline.Entry) bool { return !cm.matches(en, time.Now()) })
	if cm.Picture != "" {
		return cm.draw(all)
	}
	return pr.show(all, func(w io.Writer) {
		for _, en := range all {
			at := time.UnixMilli(en.Stamp.Wall).UTC().Format("15:04:05.000")
			fmt.Fprintf(w, "%s+%d\t%s\t%s\t%d %s\t%s %s %s %s\n", at, en.Stamp.Count, en.DataCentre, en.Box,
				en.Event, en.Name, en.Request, en.Team, en.Version, en.Detail)
		}
		for _, box := range unreachable {
			fmt.Fprintf(w, "no answer from %s\n", box)
		}
	})
}

// draw writes the SVG image to the file of --picture.
func (cm *timelineCmd) draw(all []timeline.Entry) error {
	var buf bytes.Buffer
	if err := timeline.WriteSVG(&buf, all); err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(cm.Picture, buf.Bytes(), 0o600), "write SVG file")
}

func (cm *timelineCmd) matches(en timeline.Entry, now time.Time) bool {
	if cm.Last > 0 && en.Stamp.Wall < now.Add(-cm.Last).UnixMilli() {
		return false
	}
	return (cm.Request == "" || en.Request == cm.Request) &&
		(cm.Team == "" || en.Team == cm.Team) &&
		(cm.Version == "" || en.Version == cm.Version)
}
