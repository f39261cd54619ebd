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

// The measures of a picture, in pixels.
const (
	laneHeight = 46
	stepWidth  = 90
	leftMargin = 190
	topMargin  = 30
	dotRadius  = 5
)

// groupColours are the colours of the events' groups, by their first digit.
var groupColours = map[int]string{
	1: "#555555", 2: "#1f77b4", 3: "#2ca02c", 4: "#9467bd", 5: "#8c564b", 6: "#ff7f0e", 7: "#d62728", 8: "#e377c2",
}

// WriteSVG writes merged entries as an SVG picture: a lane for each box, the events
// in causal order from left to right, and a line from each event of a request
// to its next.
func WriteSVG(wr io.Writer, entries []Entry) error {
	pi := picture{lanes: lanesOf(entries)}
	width := leftMargin + stepWidth*(len(entries)+1)
	height := topMargin + laneHeight*(len(pi.lanes)+1)
	pi.print(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="10">`, width, height)
	for i, box := range pi.lanes {
		y := laneY(i)
		pi.print(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#dddddd"/>`, leftMargin, y, width, y)
		pi.print(`<text x="8" y="%d">%s</text>`, y+4, escape(box))
	}
	last := map[string]int{}
	for i, en := range entries {
		if before, ok := last[en.Request]; ok && en.Request != "" {
			pi.print(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#aaaaaa"/>`,
				x(before), pi.y(entries[before]), x(i), pi.y(en))
		}
		last[en.Request] = i
	}
	for i, en := range entries {
		pi.event(i, en)
	}
	pi.print(`</svg>`)
	_, err := wr.Write(pi.out.Bytes())
	return eris.Wrap(err, "picture")
}

// picture is one that is being drawn.
type picture struct {
	lanes []string
	out   bytes.Buffer
}

func lanesOf(entries []Entry) []string {
	var lanes []string
	for _, en := range entries {
		if name := lane(en); !slices.Contains(lanes, name) {
			lanes = append(lanes, name)
		}
	}
	slices.Sort(lanes)
	return lanes
}

func lane(en Entry) string { return en.DataCentre + " " + en.Box }

func laneY(i int) int { return topMargin + laneHeight*i + laneHeight/2 }

func x(i int) int { return leftMargin + stepWidth*i + stepWidth/2 }

func (pi *picture) y(en Entry) int { return laneY(slices.Index(pi.lanes, lane(en))) }

func (pi *picture) print(format string, args ...any) {
	fmt.Fprintf(&pi.out, format+"\n", args...)
}

func (pi *picture) event(i int, en Entry) {
	colour := groupColours[int(en.Event)/100]
	at := time.UnixMilli(en.Stamp.Wall).UTC().Format("15:04:05.000")
	pi.print(`<g><title>%s</title>`, escape(fmt.Sprintf("%s %d %s %s %s %s", at, en.Event, en.Request, en.Team, en.Version, en.Detail)))
	pi.print(`<circle cx="%d" cy="%d" r="%d" fill="%s"/>`, x(i), pi.y(en), dotRadius, colour)
	pi.print(`<text x="%d" y="%d" text-anchor="middle">%s</text></g>`, x(i), pi.y(en)-2*dotRadius, escape(en.Name))
}

func escape(text string) string {
	var buf bytes.Buffer
	_ = xml.EscapeText(&buf, []byte(text))
	return buf.String()
}
