// Package trial simulates the system's decisions about versions, roll-outs and load, and compares them
// with naive strategies on the same seeded input. It runs only the packages that decide, without
// processes, network or real time.
package trial

import (
	"fmt"
	"math/rand/v2"

	"github.com/linnetrudder/linnetrudder/internal/choice"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/quality"
	"github.com/linnetrudder/linnetrudder/internal/selector"
)

// VersionScenario is the input of the experiment on the choice of versions.
type VersionScenario struct {
	// Requests is the number of requests.
	Requests int
	// RatedFraction is the fraction of responses that are rated, WrongFraction the fraction of
	// ratings that are inverted, and RatingDelay how many requests later a rating arrives.
	RatedFraction, WrongFraction float64
	RatingDelay                  int
	// Cascade allows requests to try a cheaper version first.
	Cascade bool
	Seed    uint64
}

// kindSpec is a kind of request with its quality target and each version's true quality.
type kindSpec struct {
	name    string
	target  float64
	quality [3]float64
}

var (
	// versionNames and prices are ordered by price.
	versionNames = []string{"small", "medium", "large"}
	prices       = []int64{1, 4, 15}
	kindSpecs    = []kindSpec{
		{"allergen", 0.88, [3]float64{0.93, 0.95, 0.97}},
		{"note", 0.85, [3]float64{0.80, 0.93, 0.96}},
		{"draft", 0.85, [3]float64{0.50, 0.78, 0.94}},
	}
	// teamShares are the shares of ten teams of very unequal size in all requests.
	teamShares = []float64{0.34, 0.2, 0.13, 0.1, 0.07, 0.06, 0.04, 0.03, 0.02, 0.01}
)

// The small version's quality for outlierTeam's allergen requests is only outlierQuality.
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

// VersionOutcome is the result of one strategy in the experiment on the choice of versions.
type VersionOutcome struct {
	Strategy string
	// Cost is the mean price of a request.
	Cost float64
	// TargetMet is the fraction of (team, kind) pairs, weighted by their requests, whose mean true
	// quality is at most 0.01 below the target.
	TargetMet float64
	// WorstShortfall is the largest shortfall of quality of a pair with at least 100 requests.
	WorstShortfall float64
	// Calls is the mean number of versions called per request.
	Calls float64
}

// String returns the outcome as a row of a Markdown table.
func (ou VersionOutcome) String() string {
	return fmt.Sprintf("| %s | %.2f | %.1f%% | %.3f | %.2f |", ou.Strategy, ou.Cost, 100*ou.TargetMet, ou.WorstShortfall, ou.Calls)
}

// request is one request of the scenario.
type request struct {
	team, kind int
	// The random numbers that decide the result of each version, the ratings and the choices. They
	// are drawn in advance, so that they are the same for every strategy.
	good                         [3]float64
	rated, wrong, share, explore float64
	confidence                   float64
}

// requests draws all requests.
func (vs VersionScenario) requests() []request {
	ra := rand.New(rand.NewPCG(vs.Seed, 7))
	list := make([]request, vs.Requests)
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

// drawTeam returns the team for a random number in [0, 1).
func drawTeam(draw float64) int {
	for i, sh := range teamShares {
		if draw < sh {
			return i
		}
		draw -= sh
	}
	return len(teamShares) - 1
}

// strategy plans the versions to call, in order, and learns from ratings and from whether the response
// of the first attempt was accepted.
type strategy interface {
	plan(re *request) []int
	recordRating(ra rating)
	recordFirstAttempt(team, kind, version int, accepted bool)
}

// judgeRecall is the fraction of bad responses to first attempts that the judge detects,
// judgeFalsePositiveRate the fraction of good ones that it rejects.
const (
	judgeRecall            = 0.85
	judgeFalsePositiveRate = 0.1
)

// CompareVersions runs every strategy on the same scenario.
func CompareVersions(vs VersionScenario) []VersionOutcome {
	list := vs.requests()
	fixed := func(v int) strategy { return &fixedStrategy{func(int, int) int { return v }} }
	turn := 0
	return []VersionOutcome{
		vs.run("always the large one", fixed(2), list),
		vs.run("always the small one", fixed(0), list),
		vs.run("round robin", &fixedStrategy{func(int, int) int { turn++; return turn % 3 }}, list),
		vs.run("best fixed in hindsight", &fixedStrategy{cheapestMeetingTarget}, list),
		vs.run("linnetrudder", newLearner(vs.Cascade), list),
	}
}

// cheapestMeetingTarget returns the cheapest version whose true quality meets the target, or the last
// one.
func cheapestMeetingTarget(team, kind int) int {
	for v := range versionNames {
		if trueQuality(team, kind, v) >= kindSpecs[kind].target {
			return v
		}
	}
	return len(versionNames) - 1
}

// fixedStrategy chooses one version by team and kind and does not learn.
type fixedStrategy struct{ choose func(team, kind int) int }

func (fs *fixedStrategy) plan(re *request) []int              { return []int{fs.choose(re.team, re.kind)} }
func (*fixedStrategy) recordRating(rating)                    {}
func (*fixedStrategy) recordFirstAttempt(int, int, int, bool) {}

// learner is the strategy of linnetrudder: package choice on the data that package quality has collected.
type learner struct {
	sn    *config.Snapshot
	table quality.Table
}

func newLearner(cascades bool) *learner {
	doc := &config.Document{Grants: []config.Grant{{Versions: &selector.Selector{}}}}
	for v, na := range versionNames {
		doc.Models = append(doc.Models, config.Model{Name: na})
		// The quality that operators expect is the same for all teams and kinds, and differs from
		// the true quality.
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

// allAvailable reports that every version has a server.
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

func (le *learner) recordFirstAttempt(team, kind, version int, accepted bool) {
	le.table.AddFirstAttempt(teamName(team), kindSpecs[kind].name, versionNames[version]+"@v1", accepted)
}

// rating is a rating that arrives before the request with the index due.
type rating struct {
	due, team, kind, version int
	score                    float64
	// accepted is set if the judge accepted the response of the first attempt.
	accepted bool
}

// requestResult is the result of a request.
type requestResult struct {
	version  int
	accepted bool
	cost     float64
	calls    float64
	// quality is the probability that the response is good, averaged over the judge's verdicts.
	quality float64
}

// serve calls the first version of a plan, and the second one if the judge rejects its response.
func (re *request) serve(st strategy, plan []int) requestResult {
	v := plan[0]
	res := requestResult{version: v, cost: float64(prices[v]), calls: 1, quality: trueQuality(re.team, re.kind, v)}
	if len(plan) == 1 {
		return res
	}
	good := re.good[v] < res.quality
	flagged := !good && re.confidence < judgeRecall || good && re.confidence < judgeFalsePositiveRate
	st.recordFirstAttempt(re.team, re.kind, v, !flagged)
	next := plan[1]
	acceptRate := res.quality*(1-judgeFalsePositiveRate) + (1-res.quality)*(1-judgeRecall)
	res.quality = res.quality*(1-judgeFalsePositiveRate) + (1-acceptRate)*trueQuality(re.team, re.kind, next)
	res.accepted = !flagged
	if flagged {
		res.version = next
		res.cost += float64(prices[next])
		res.calls++
	}
	return res
}

// rating returns the rating that a response will get.
func (vs VersionScenario) rating(i int, re *request, res requestResult) rating {
	good := re.good[res.version] < trueQuality(re.team, re.kind, res.version)
	score := 0.0
	if good != (re.wrong < vs.WrongFraction) {
		score = 1
	}
	return rating{due: i + vs.RatingDelay, team: re.team, kind: re.kind, version: res.version, score: score, accepted: res.accepted}
}

// run simulates the scenario with one strategy.
func (vs VersionScenario) run(name string, st strategy, list []request) VersionOutcome {
	ou := VersionOutcome{Strategy: name}
	var pending []rating
	type pair struct{ n, quality float64 }
	pairs := map[[2]int]*pair{}
	for i := range list {
		re := &list[i]
		for len(pending) > 0 && pending[0].due <= i {
			st.recordRating(pending[0])
			pending = pending[1:]
		}
		res := re.serve(st, st.plan(re))
		ou.Cost += res.cost
		ou.Calls += res.calls
		key := [2]int{re.team, re.kind}
		if pairs[key] == nil {
			pairs[key] = &pair{}
		}
		pairs[key].n++
		pairs[key].quality += res.quality
		if re.rated < vs.RatedFraction {
			pending = append(pending, vs.rating(i, re, res))
		}
	}
	n := float64(len(list))
	ou.Cost /= n
	ou.Calls /= n
	for key, pa := range pairs {
		shortfall := kindSpecs[key[1]].target - pa.quality/pa.n
		if shortfall <= 0.01 {
			ou.TargetMet += pa.n / n
		}
		if pa.n >= 100 {
			ou.WorstShortfall = max(ou.WorstShortfall, shortfall)
		}
	}
	return ou
}
