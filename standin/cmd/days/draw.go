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

// drawCmd generates random days of disruptions.
type drawCmd struct {
	Bench string `help:"The users' bench, which lists the kinds of disruption that a deployment supports." required:"" type:"existingfile"`
	Out   string `help:"Directory for the days." required:""`
	First uint64 `help:"Seed of the first day; the others get consecutive seeds." default:"1"`
	Days  int    `help:"Number of days per deployment." default:"10"`
	// Rollout selects days for tests of rules that only a roll-out can break.
	Rollout string `help:"Variant of a bad roll-out to include in every day."`
	// Unlisted adds the kinds of unlistedKinds.
	Unlisted bool     `help:"Include kinds that the bench plays although it does not list them."`
	Sites    []string `arg:"" help:"Files of the deployments." type:"existingfile"`
}

// Run writes the days and prints each one as an argument for the play command.
func (cm *drawCmd) Run() error {
	if err := os.MkdirAll(cm.Out, 0o750); err != nil {
		return eris.Wrap(err, "create directory")
	}
	for _, path := range cm.Sites {
		if err := cm.writeDays(path); err != nil {
			return eris.Wrap(err, path)
		}
	}
	return nil
}

// writeDays generates and writes all days of a deployment.
func (cm *drawCmd) writeDays(path string) error {
	de, err := readDeployment(path)
	if err != nil {
		return err
	}
	out, err := exec.Command(cm.Bench, "kinds", path).Output()
	if err != nil {
		return eris.Wrap(err, "list kinds of disruption")
	}
	kinds := supportedKinds(string(out), disruptionKinds())
	if cm.Unlisted {
		kinds = append(kinds, unlistedKinds()...)
	}
	name := strings.TrimSuffix(filepath.Base(path), ".toml")
	for i := range cm.Days {
		seed := cm.First + uint64(i)
		dg := dayGenerator{random: rand.New(rand.NewPCG(seed, uint64(len(name)))), deployment: de, kinds: kinds}
		file := filepath.Join(cm.Out, fmt.Sprintf("%s-%d.toml", name, seed))
		if err := os.WriteFile(file, []byte(dg.generate(fmt.Sprint("drawn-", seed), seed, cm.Rollout)), 0o600); err != nil {
			return eris.Wrap(err, "write day")
		}
		fmt.Printf("%s:%s\n", path, file)
	}
	return nil
}

// deployment contains the settings of a deployment that disruptions refer to. Its fields are
// exported for the TOML decoder.
type deployment struct {
	Length   float64     `toml:"length_s"`
	Services []namedItem `toml:"services"`
	Classes  []namedItem `toml:"classes"`
	Zones    []namedItem `toml:"zones"`
}

// namedItem is a service, class or zone of a deployment, of which only the name is used.
type namedItem struct {
	Name string `toml:"name"`
}

// names returns the names of the possible targets of a kind.
func (de deployment) names(kind targetKind) []string {
	list := map[targetKind][]namedItem{targetService: de.Services, targetClass: de.Classes, targetZone: de.Zones}[kind]
	names := make([]string, len(list))
	for i, na := range list {
		names[i] = na.Name
	}
	return names
}

func readDeployment(path string) (deployment, error) {
	var de deployment
	_, err := toml.DecodeFile(path, &de)
	return de, eris.Wrap(err, "decode deployment")
}

// kindPattern matches the simulator's line for a kind of disruption.
var kindPattern = regexp.MustCompile(`(?m)^([a-z_]+):`)

// supportedKinds returns the disruptions whose kinds are in the simulator's list.
func supportedKinds(listed string, all []disruption) []disruption {
	names := map[string]bool{}
	for _, found := range kindPattern.FindAllStringSubmatch(listed, -1) {
		names[found[1]] = true
	}
	return slices.DeleteFunc(all, func(di disruption) bool { return !names[di.kind] })
}

const (
	// minDisruptions and maxDisruptions limit the number of disruptions of a day in addition to its
	// roll-out.
	minDisruptions = 6
	maxDisruptions = 14
	// quietEndSeconds is the time at the end of a day in which no disruption begins.
	quietEndSeconds = 2
)

// dayGenerator generates a random day.
type dayGenerator struct {
	random     *rand.Rand
	deployment deployment
	kinds      []disruption
}

// generate returns the contents of a day's file.
func (dg *dayGenerator) generate(name string, seed uint64, variant string) string {
	var plan, faults []string
	add := func(di disruption) {
		line := dg.formatDisruption(di)
		if di.planned {
			plan = append(plan, line)
		} else {
			faults = append(faults, line)
		}
	}
	if di, ok := dg.pickRollout(variant); ok {
		add(di)
	}
	for range minDisruptions + dg.random.IntN(maxDisruptions-minDisruptions+1) {
		add(dg.kinds[dg.random.IntN(len(dg.kinds))])
	}
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nslot = \"trouble\"\nseed = %d\none = 0.8\nzero = 0.4\ngoal = { floor = 0.2 }\nlabels = []\n", name, seed)
	if closing := dg.pickString([]string{"", "power_off_all", "kill_all"}); closing != "" {
		fmt.Fprintf(&text, "closing = { kind = %q, down_s = %.1f }\n", closing, dg.uniform(valueRange{0.8, 1.8}))
	}
	fmt.Fprintf(&text, "plan = [\n%s]\nfaults = [\n%s]\n", strings.Join(plan, ""), strings.Join(faults, ""))
	return text.String()
}

// pickRollout returns a good or bad roll-out, or a bad one of the given variant unless it is "". It
// reports whether the deployment supports it.
func (dg *dayGenerator) pickRollout(variant string) (disruption, bool) {
	kind := dg.pickString([]string{"rollout_bad", "rollout_good"})
	if variant != "" {
		kind = "rollout_bad"
	}
	i := slices.IndexFunc(dg.kinds, func(di disruption) bool { return di.kind == kind })
	if i < 0 {
		return disruption{}, false
	}
	di := dg.kinds[i]
	if variant != "" {
		di.variants = []string{variant}
	}
	return di, true
}

// formatDisruption returns a disruption, with random values within its ranges, as a line of a day's
// file.
func (dg *dayGenerator) formatDisruption(di disruption) string {
	fields := []string{
		fmt.Sprintf("at = %.2f", dg.uniform(valueRange{0.3, dg.deployment.Length - quietEndSeconds})),
		fmt.Sprintf("kind = %q", di.kind),
	}
	if how := dg.pickString(di.variants); how != "" {
		fields = append(fields, fmt.Sprintf("how = %q", how))
	}
	if name := dg.pickTarget(di); name != "" {
		fields = append(fields, fmt.Sprintf("%s = %q", di.target, name))
	}
	for _, fi := range []struct {
		name   string
		values valueRange
	}{{"share", di.share}, {"x", di.factor}, {"for_s", di.duration}, {"gap_s", di.gap}} {
		if fi.values.to > 0 {
			fields = append(fields, fmt.Sprintf("%s = %.3g", fi.name, dg.uniform(fi.values)))
		}
	}
	if di.count.to > 0 {
		fields = append(fields, fmt.Sprintf("count = %d", int(math.Round(dg.uniform(di.count)))))
	}
	return "  { " + strings.Join(fields, ", ") + " },\n"
}

// pickTarget returns the name of a random target of a disruption, "" for none.
func (dg *dayGenerator) pickTarget(di disruption) string {
	if !di.targetRequired && dg.random.IntN(2) == 0 {
		return ""
	}
	return dg.pickString(dg.deployment.names(di.target))
}

// pickString returns a random element of a list, "" if the list is empty.
func (dg *dayGenerator) pickString(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[dg.random.IntN(len(list))]
}

// uniform returns a uniformly distributed random value of a range.
func (dg *dayGenerator) uniform(vr valueRange) float64 {
	return vr.from + (vr.to-vr.from)*dg.random.Float64()
}
