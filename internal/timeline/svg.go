package timeline

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Dimensions of the drawing, in pixels.
const (
	laneHeight = 46
	stepWidth  = 90
	leftMargin = 190
	topMargin  = 30
	dotRadius  = 5
)

// groupColours holds the colour of each event group by the first digit of the event's number.
var groupColours = map[int]string{
	1: "#555555", 2: "#1f77b4", 3: "#2ca02c", 4: "#9467bd", 5: "#8c564b", 6: "#ff7f0e", 7: "#d62728", 8: "#e377c2",
}

// WriteSVG writes merged entries as an SVG image: a horizontal lane for each box, the events in
// causal order from left to right, and a line from each event of a request to the request's next
// event.
func WriteSVG(wr io.Writer, entries []Entry) error {
	sd := svgDrawing{lanes: laneNames(entries)}
	width := leftMargin + stepWidth*(len(entries)+1)
	height := topMargin + laneHeight*(len(sd.lanes)+1)
	sd.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`, width, height)
	for i, box := range sd.lanes {
		y := laneY(i)
		sd.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#dddddd"/>`, leftMargin, y, width, y)
		sd.printf(`<text x="8" y="%d">%s</text>`, y+4, escape(box))
	}
	last := map[string]int{}
	for i, en := range entries {
		if before, ok := last[en.Request]; ok && en.Request != "" {
			sd.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#aaaaaa"/>`,
				eventX(before), sd.eventY(entries[before]), eventX(i), sd.eventY(en))
		}
		last[en.Request] = i
	}
	for i, en := range entries {
		sd.drawEvent(i, en)
	}
	sd.printf(`</svg>`)
	_, err := wr.Write(sd.out.Bytes())
	return eris.Wrap(err, "write SVG")
}

// svgDrawing is the state of a drawing in progress.
type svgDrawing struct {
	lanes []string
	out   bytes.Buffer
}

func laneNames(entries []Entry) []string {
	var lanes []string
	for _, en := range entries {
		if name := laneName(en); !slices.Contains(lanes, name) {
			lanes = append(lanes, name)
		}
	}
	slices.Sort(lanes)
	return lanes
}

func laneName(en Entry) string { return en.DataCentre + " " + en.Box }

func laneY(i int) int { return topMargin + laneHeight*i + laneHeight/2 }

func eventX(i int) int { return leftMargin + stepWidth*i + stepWidth/2 }

func (sd *svgDrawing) eventY(en Entry) int { return laneY(slices.Index(sd.lanes, laneName(en))) }

func (sd *svgDrawing) printf(format string, args ...any) {
	fmt.Fprintf(&sd.out, format+"\n", args...)
}

func (sd *svgDrawing) drawEvent(i int, en Entry) {
	colour := groupColours[int(en.Event)/100]
	at := time.UnixMilli(en.Stamp.Wall).UTC().Format("15:04:05.000")
	sd.printf(`<g><title>%s</title>`, escape(fmt.Sprintf("%s %d %s %s %s %s", at, en.Event, en.Request, en.Team, en.Version, en.Detail)))
	sd.printf(`<circle cx="%d" cy="%d" r="%d" fill="%s"/>`, eventX(i), sd.eventY(en), dotRadius, colour)
	sd.printf(`<text x="%d" y="%d" text-anchor="middle">%s</text></g>`, eventX(i), sd.eventY(en)-2*dotRadius, escape(en.Name))
}

func escape(text string) string {
	var buf bytes.Buffer
	_ = xml.EscapeText(&buf, []byte(text))
	return buf.String()
}
