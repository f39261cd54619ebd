// Package trial compares the system's decisions with naive ones on the same
// seeded input: no processes, no network, no clock, only the packages that
// decide.
package trial

import (
	"fmt"
	"math/rand/v2"

	"github.com/linnetrudder/linnetrudder/internal/choice"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/quality"
	"github.com/linnetrudder/linnetrudder/internal/selector"
)

// Market is the input of the version experiment.
type VersionScenario struct {
	// Requests is how many requests come.
	Requests int
	// Rated is the part of answers that is rated, Wrong the part of ratings
	// that say the opposite, Delay how many requests later a rating comes.
	RatedFraction, WrongFraction float64
	RatingDelay                  int
	// Cascade lets drafts try a cheaper version first.
	CascadeDrafts bool
	Seed          uint64
}

// kindSpec is a kind of request with each version's true quality.
type kindSpec struct {
	name    string
	target  float64
	quality [3]float64
}

var (
	// versionNames are in the order of price.
	versionNames = []string{"small", "medium", "large"}
	prices       = []int64{1, 4, 15}
	kindSpecs    = []kindSpec{
		{"allergen", 0.88, [3]float64{0.93, 0.95, 0.97}},
		{"note", 0.85, [3]float64{0.80, 0.93, 0.96}},
		{"draft", 0.85, [3]float64{0.50, 0.78, 0.94}},
	}
	// teamShares are the parts of ten teams of very unequal size.
	teamShares = []float64{0.34, 0.2, 0.13, 0.1, 0.07, 0.06, 0.04, 0.03, 0.02, 0.01}
)

// oddTeam's allergen questions are beyond the small version.
const (
	outlierTeam    = 4
	outlierQuality = 0.6
)

func trueQuality(team, kind, version int) float64 {
	if team == outlierTeam && kind == 0 && version == 0 {
		return outlierQuality
	}
	return kindSpecs[kind].quality[version]
}

// Outcome is what one strategy cost and reached.
type VersionOutcome struct {
	Strategy string
	// Cost is the mean price of a request.
	Cost float64
	// Met is the part of (team, kind) pairs, by their requests, whose mean
	// true quality met the target within a hundredth.
	TargetMet float64
	// Worst is the largest shortfall of a pair with at least 100 requests.
	WorstShortfall float64
	// Calls is the mean number of calls for a request.
	Calls float64
}

func (ou VersionOutcome) String() string {
	return fmt.Sprintf("| %s | %.2f | %.1f%% | %.3f | %.2f |", ou.Strategy, ou.Cost, 100*ou.TargetMet, ou.WorstShortfall, ou.Calls)
}

// request is one request of the market.
type request struct {
	team, kind int
	// draws decide the outcome of each version, the ratings, and the choices;
	// they are the same for every strategy.
	good                         [3]float64
	rated, wrong, share, explore float64
	confidence                   float64
}

func (ma VersionScenario) requests() []request {
	ra := rand.New(rand.NewPCG(ma.Seed, 7))
	list := make([]request, ma.Requests)
	for i := range list {
		re := &list[i]
		re.team = drawTeam(ra.Float64())
		re.kind = ra.IntN(len(kindSpecs))
		for v := range re.good {
			re.good[v] = ra.Float64()
		}
		re.rated, re.wrong = ra.Float64(), ra.Float64()
		re.share, re.explore, re.confidence = ra.Float64(), ra.Float64(), ra.Float64()
	}
	return list
}

func drawTeam(draw float64) int {
	for i, sh := range teamShares {
		if draw < sh {
			return i
		}
		draw -= sh
	}
	return len(teamShares) - 1
}

// strategy returns the versions to call in order, and learns from ratings and
// from whether a first try was kept.
type strategy interface {
	plan(re *request) []int
	recordRating(ra rating)
	recordFirstAttempt(team, kind, version int, kept bool)
}

// What the judge of first tries sees: how many bad answers it finds, and how
// many good ones it takes for bad.
const (
	judgeRecall            = 0.85
	judgeFalsePositiveRate = 0.1
)

// Versions runs every strategy on the same market.
func CompareVersions(ma VersionScenario) []VersionOutcome {
	list := ma.requests()
	fixed := func(v int) strategy { return &fixedStrategy{func(int, int) int { return v }} }
	turn := 0
	return []VersionOutcome{
		ma.run("always the large one", fixed(2), list),
		ma.run("always the small one", fixed(0), list),
		ma.run("round robin", &fixedStrategy{func(int, int) int { turn++; return turn % 3 }}, list),
		ma.run("best fixed in hindsight", &fixedStrategy{cheapestMeetingTarget}, list),
		ma.run("linnetrudder", newLearner(ma.CascadeDrafts), list),
	}
}

// hindsight is the cheapest version whose true quality meets the target.
func cheapestMeetingTarget(team, kind int) int {
	for v := range versionNames {
		if trueQuality(team, kind, v) >= kindSpecs[kind].target {
			return v
		}
	}
	return len(versionNames) - 1
}

type fixedStrategy struct{ choose func(team, kind int) int }

func (fs *fixedStrategy) plan(re *request) []int              { return []int{fs.choose(re.team, re.kind)} }
func (*fixedStrategy) recordRating(rating)                    {}
func (*fixedStrategy) recordFirstAttempt(int, int, int, bool) {}

// learner is the system: choice over what quality has learnt.
type learner struct {
	sn    *config.Snapshot
	table quality.Table
}

func newLearner(cascades bool) *learner {
	doc := &config.Document{Grants: []config.Grant{{Versions: &selector.Selector{}}}}
	for v, na := range versionNames {
		doc.Models = append(doc.Models, config.Model{Name: na})
		// The operators expect the same of all, and are wrong.
		doc.Versions = append(doc.Versions, config.Version{
			Model: na, Name: "v1", State: config.Serving, OutputPrice: prices[v], Quality: 0.7 + 0.1*float64(v),
		})
	}
	for t := range teamShares {
		doc.Teams = append(doc.Teams, config.Team{Name: teamName(t)})
	}
	for _, ki := range kindSpecs {
		doc.Kinds = append(doc.Kinds, config.Kind{Name: ki.name, Target: ki.target, Cascade: cascades})
	}
	return &learner{sn: config.Compile(1, doc)}
}

func teamName(t int) string { return fmt.Sprintf("team-%d", t) }

// everywhere says that every version has a server.
type allAvailable struct{}

func (allAvailable) Has(string) bool { return true }

// oneToken makes the cost of a request the price of its version.
type oneToken struct{ *quality.Table }

func (oneToken) Tokens(string) (prompt, completion float64) { return 0, 1 }

func (le *learner) plan(re *request) []int {
	pl := choice.Choose(le.sn, choice.Request{
		Team: teamName(re.team), Kind: kindSpecs[re.kind].name, Model: choice.Auto,
		Draw: re.share, Explore: re.explore,
	}, oneToken{&le.table}, allAvailable{})
	steps := make([]int, 0, 2)
	for _, id := range pl.Steps() {
		for v, na := range versionNames {
			if id == na+"@v1" {
				steps = append(steps, v)
			}
		}
	}
	return steps
}

func (le *learner) recordRating(ra rating) {
	kind := kindSpecs[ra.kind].name
	if ra.accepted {
		kind = choice.AcceptedKind(kind)
	}
	le.table.Add(quality.Cell{Team: teamName(ra.team), Kind: kind, Version: versionNames[ra.version] + "@v1"}, ra.score)
}

func (le *learner) recordFirstAttempt(team, kind, version int, kept bool) {
	le.table.AddFirstAttempt(teamName(team), kindSpecs[kind].name, versionNames[version]+"@v1", kept)
}

// rating is one that is under way.
type rating struct {
	due, team, kind, version int
	score                    float64
	// kept is set for a first try that was kept.
	accepted bool
}

// answer is what became of a request.
type answer struct {
	version  int
	accepted bool
	cost     float64
	calls    float64
	// quality is the chance that the answer is good, over all draws of the
	// judge.
	quality float64
}

// serve calls the versions of a plan.
func (re *request) serve(st strategy, plan []int) answer {
	v := plan[0]
	an := answer{version: v, cost: float64(prices[v]), calls: 1, quality: trueQuality(re.team, re.kind, v)}
	if len(plan) == 1 {
		return an
	}
	good := re.good[v] < an.quality
	flagged := !good && re.confidence < judgeRecall || good && re.confidence < judgeFalsePositiveRate
	st.recordFirstAttempt(re.team, re.kind, v, !flagged)
	next := plan[1]
	keep := an.quality*(1-judgeFalsePositiveRate) + (1-an.quality)*(1-judgeRecall)
	an.quality = an.quality*(1-judgeFalsePositiveRate) + (1-keep)*trueQuality(re.team, re.kind, next)
	an.accepted = !flagged
	if flagged {
		an.version = next
		an.cost += float64(prices[next])
		an.calls++
	}
	return an
}

// rating is what the rating service will say of an answer.
func (ma VersionScenario) rating(i int, re *request, an answer) rating {
	good := re.good[an.version] < trueQuality(re.team, re.kind, an.version)
	score := 0.0
	if good != (re.wrong < ma.WrongFraction) {
		score = 1
	}
	return rating{due: i + ma.RatingDelay, team: re.team, kind: re.kind, version: an.version, score: score, accepted: an.accepted}
}

func (ma VersionScenario) run(name string, st strategy, list []request) VersionOutcome {
	ou := VersionOutcome{Strategy: name}
	var under []rating
	type pair struct{ n, quality float64 }
	pairs := map[[2]int]*pair{}
	for i := range list {
		re := &list[i]
		for len(under) > 0 && under[0].due <= i {
			st.recordRating(under[0])
			under = under[1:]
		}
		an := re.serve(st, st.plan(re))
		ou.Cost += an.cost
		ou.Calls += an.calls
		key := [2]int{re.team, re.kind}
		if pairs[key] == nil {
			pairs[key] = &pair{}
		}
		pairs[key].n++
		pairs[key].quality += an.quality
		if re.rated < ma.RatedFraction {
			under = append(under, ma.rating(i, re, an))
		}
	}
	n := float64(len(list))
	ou.Cost /= n
	ou.Calls /= n
	for key, pa := range pairs {
		short := kindSpecs[key[1]].target - pa.quality/pa.n
		if short <= 0.01 {
			ou.TargetMet += pa.n / n
		}
		if pa.n >= 100 {
			ou.WorstShortfall = max(ou.WorstShortfall, short)
		}
	}
	return ou
}
