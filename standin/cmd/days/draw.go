package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"
)

// drawCmd draws days of trouble at random.
type drawCmd struct {
	Bench string `help:"The users' player of days; it tells which kinds are in force." required:"" type:"existingfile"`
	Out   string `help:"Folder for the days." required:""`
	First uint64 `help:"Seed of the first day; each of the others takes the next one." default:"1"`
	Days  int    `help:"Days for each deployment." default:"10"`
	// Rollout is for promises that only a roll-out can break.
	Rollout string   `help:"Variant of the bad roll-out that every day then begins with."`
	Sites   []string `arg:"" help:"Deployments." type:"existingfile"`
}

// Run draws the days and prints each one as play takes it.
func (cm *drawCmd) Run() error {
	if err := os.MkdirAll(cm.Out, 0o750); err != nil {
		return eris.Wrap(err, "folder")
	}
	for _, path := range cm.Sites {
		if err := cm.drawFor(path); err != nil {
			return eris.Wrap(err, path)
		}
	}
	return nil
}

func (cm *drawCmd) drawFor(path string) error {
	de, err := readDeployment(path)
	if err != nil {
		return err
	}
	out, err := exec.Command(cm.Bench, "kinds", path).Output()
	if err != nil {
		return eris.Wrap(err, "kinds")
	}
	kinds := inForce(string(out), troubles())
	name := strings.TrimSuffix(filepath.Base(path), ".toml")
	for i := range cm.Days {
		seed := cm.First + uint64(i)
		dr := drawer{random: rand.New(rand.NewPCG(seed, uint64(len(name)))), deployment: de, kinds: kinds}
		file := filepath.Join(cm.Out, fmt.Sprintf("%s-%d.toml", name, seed))
		if err := os.WriteFile(file, []byte(dr.day(fmt.Sprint("drawn-", seed), seed, cm.Rollout)), 0o600); err != nil {
			return eris.Wrap(err, "write")
		}
		fmt.Printf("%s:%s\n", path, file)
	}
	return nil
}

// deployment is what a day's troubles may name. Its fields are exported because a
// codec fills them.
type deployment struct {
	Length   float64 `toml:"length_s"`
	Services []named `toml:"services"`
	Classes  []named `toml:"classes"`
	Zones    []named `toml:"zones"`
}

// named is an entry of a deployment of which only the name matters.
type named struct {
	Name string `toml:"name"`
}

// names returns the names that a trouble may be aimed at.
func (de deployment) names(at target) []string {
	list := map[target][]named{aService: de.Services, aClass: de.Classes, aZone: de.Zones}[at]
	names := make([]string, len(list))
	for i, na := range list {
		names[i] = na.Name
	}
	return names
}

func readDeployment(path string) (deployment, error) {
	var de deployment
	_, err := toml.DecodeFile(path, &de)
	return de, eris.Wrap(err, "decode")
}

// kindLine is the player's line on a kind.
var kindLine = regexp.MustCompile(`(?m)^([a-z_]+):`)

// inForce returns the troubles that a deployment may meet.
func inForce(listed string, all []trouble) []trouble {
	names := map[string]bool{}
	for _, found := range kindLine.FindAllStringSubmatch(listed, -1) {
		names[found[1]] = true
	}
	return slices.DeleteFunc(all, func(tr trouble) bool { return !names[tr.kind] })
}

const (
	// fewestTroubles and mostTroubles bound the troubles of a day besides its first
	// roll-out.
	fewestTroubles = 6
	mostTroubles   = 14
	// quietEnd is how long before the end of a day the last trouble begins, in
	// seconds.
	quietEnd = 2
)

// drawer draws one day.
type drawer struct {
	random     *rand.Rand
	deployment deployment
	kinds      []trouble
}

// day returns a day as its file holds it.
func (dr *drawer) day(name string, seed uint64, variant string) string {
	var plan, faults []string
	add := func(tr trouble) {
		line := dr.entry(tr)
		if tr.planned {
			plan = append(plan, line)
		} else {
			faults = append(faults, line)
		}
	}
	add(dr.rollout(variant))
	for range fewestTroubles + dr.random.IntN(mostTroubles-fewestTroubles+1) {
		add(dr.kinds[dr.random.IntN(len(dr.kinds))])
	}
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nslot = \"trouble\"\nseed = %d\none = 0.8\nzero = 0.4\ngoal = { floor = 0.2 }\nlabels = []\n", name, seed)
	if end := dr.pick([]string{"", "power_off_all", "kill_all"}); end != "" {
		fmt.Fprintf(&text, "closing = { kind = %q, down_s = %.1f }\n", end, dr.between(extent{0.8, 1.8}))
	}
	fmt.Fprintf(&text, "plan = [\n%s]\nfaults = [\n%s]\n", strings.Join(plan, ""), strings.Join(faults, ""))
	return text.String()
}

// rollout returns a roll-out, a bad one of a variant if that is given.
func (dr *drawer) rollout(variant string) trouble {
	kind := dr.pick([]string{"rollout_bad", "rollout_good"})
	if variant != "" {
		kind = "rollout_bad"
	}
	at := slices.IndexFunc(dr.kinds, func(tr trouble) bool { return tr.kind == kind })
	tr := dr.kinds[at]
	if variant != "" {
		tr.variants = []string{variant}
	}
	return tr
}

// entry returns one trouble as a line of a day.
func (dr *drawer) entry(tr trouble) string {
	parts := []string{
		fmt.Sprintf("at = %.2f", dr.between(extent{0.3, dr.deployment.Length - quietEnd})),
		fmt.Sprintf("kind = %q", tr.kind),
	}
	if how := dr.pick(tr.variants); how != "" {
		parts = append(parts, fmt.Sprintf("how = %q", how))
	}
	if name := dr.target(tr); name != "" {
		parts = append(parts, fmt.Sprintf("%s = %q", tr.at, name))
	}
	for _, fi := range []struct {
		name string
		span extent
	}{{"share", tr.share}, {"x", tr.times}, {"for_s", tr.lasts}, {"gap_s", tr.gap}} {
		if fi.span.to > 0 {
			parts = append(parts, fmt.Sprintf("%s = %.3g", fi.name, dr.between(fi.span)))
		}
	}
	if tr.size.to > 0 {
		parts = append(parts, fmt.Sprintf("count = %d", int(math.Round(dr.between(tr.size)))))
	}
	return "  { " + strings.Join(parts, ", ") + " },\n"
}

// target returns the name that a trouble is aimed at, "" for none.
func (dr *drawer) target(tr trouble) string {
	if !tr.needed && dr.random.IntN(2) == 0 {
		return ""
	}
	return dr.pick(dr.deployment.names(tr.at))
}

// pick draws from a list, "" if it is empty.
func (dr *drawer) pick(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[dr.random.IntN(len(list))]
}

// between draws from a range.
func (dr *drawer) between(sp extent) float64 { return sp.from + (sp.to-sp.from)*dr.random.Float64() }
