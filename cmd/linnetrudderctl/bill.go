package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// billCmd prints bill lines or their sums.
type billCmd struct {
	Team  string `help:"Show only this team."`
	Lines bool   `help:"Print every line instead of sums."`
}

// billSum is the sum of a team's bill lines for a version.
type billSum struct {
	Team       string `json:"team"`
	Version    string `json:"version"`
	Lines      int    `json:"lines"`
	Prompt     int64  `json:"prompt"`
	Completion int64  `json:"completion"`
	Cost       int64  `json:"cost"`
}

// Run reads the bill lines and prints them or their sums.
func (cm *billCmd) Run(cl *client, pr *printer) error {
	var lines []wire.BillLine
	if err := cl.get("/v1/bill", &lines); err != nil {
		return err
	}
	lines = slices.DeleteFunc(lines, func(li wire.BillLine) bool { return cm.Team != "" && li.Team != cm.Team })
	if cm.Lines {
		return pr.show(lines, func(w io.Writer) {
			for _, li := range lines {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\n", li.Request, li.Step, li.Team, li.Version, li.Cost)
			}
		})
	}
	sums := sumBills(lines)
	return pr.show(sums, func(w io.Writer) {
		for _, su := range sums {
			fmt.Fprintf(w, "%s\t%s\t%d lines\t%d+%d tokens\tcost %d\n",
				su.Team, su.Version, su.Lines, su.Prompt, su.Completion, su.Cost)
		}
	})
}

func sumBills(lines []wire.BillLine) []billSum {
	type key struct{ team, version string }
	byKey := map[key]*billSum{}
	for _, li := range lines {
		ke := key{li.Team, li.Version}
		if byKey[ke] == nil {
			byKey[ke] = &billSum{Team: li.Team, Version: li.Version}
		}
		su := byKey[ke]
		su.Lines++
		su.Prompt += li.Usage.Prompt
		su.Completion += li.Usage.Completion
		su.Cost += li.Cost
	}
	sums := make([]billSum, 0, len(byKey))
	for _, su := range byKey {
		sums = append(sums, *su)
	}
	slices.SortFunc(sums, func(a, b billSum) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Version, b.Version))
	})
	return sums
}
