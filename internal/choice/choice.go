// Package choice decides which version answers a request: the cheapest that
// meets the quality target, tried before a stronger one where that costs
// less. It does no I/O and reads no clock; randomness is an argument.
package choice

import (
	"cmp"
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Auto is the model name by which a caller leaves the choice to the system.
const Auto = "auto"

// Estimates is what has been learnt of the versions.
type Estimates interface {
	// Quality returns the mean rating of a version's answers to requests of a
	// kind and a bound that the true mean is above with high confidence.
	Quality(team, kind string, ve *config.Version) (mean, lower float64)
	// PassRate returns how often a first try of the version is good enough.
	PassRate(team, kind string, ve *config.Version) float64
	// Tokens returns the expected prompt and completion tokens of the kind.
	Tokens(kind string) (prompt, completion float64)
}

// Availability says which versions have a backend server.
type Availability interface {
	// Has reports whether any usable server holds the version.
	Has(version string) bool
}

// Request is what is asked of a choice.
type Request struct {
	// Team, Kind and Model are what the request named.
	Team, Kind, Model string
	// Pinned is the version of the request's session, "" if it has none yet.
	Pinned string
	// Draw is uniform over [0, 1); it divides new work by the versions' shares.
	Draw float64
	// Explore is uniform over [0, 1); it decides whether to learn instead.
	Explore float64
}

// Candidate is one version that was weighed; explain shows the list.
type Candidate struct {
	version     string
	code        result.Code
	mean, lower float64
	cost        float64
}

// Version returns the full name.
func (ca Candidate) Version() string { return ca.version }

// Code says why the version is out; result.OK if it is not.
func (ca Candidate) Code() result.Code { return ca.code }

// Quality returns the estimated mean rating and its lower bound.
func (ca Candidate) Quality() (mean, lower float64) { return ca.mean, ca.lower }

// Cost returns the expected cost of a request.
func (ca Candidate) Cost() float64 { return ca.cost }

// Plan is the outcome: the versions to call in this order.
type Plan struct {
	steps      []string
	reason     string
	candidates []Candidate
	code       result.Code
}

// Steps returns the versions to call; a second one only if the first falls
// short.
func (pl Plan) Steps() []string { return pl.steps }

// Reason says in a few words why.
func (pl Plan) Reason() string { return pl.reason }

// Candidates returns all that was weighed.
func (pl Plan) Candidates() []Candidate { return pl.candidates }

// Code is result.OK if there is at least one step.
func (pl Plan) Code() result.Code { return pl.code }

const (
	// leastExploration and mostExploration bound the part of requests on which
	// a cheaper version is tried that may meet the target for all that is
	// known. Between them, as much is tried as the version in use is better
	// than it must be, if what is tried falls short by assumedShortfall.
	leastExploration = 0.05
	mostExploration  = 0.25
	assumedShortfall = 0.4
	// tolerance is how far below the target a bound may be.
	tolerance = 0.01
)

// Choose plans a request.
func Choose(sn *config.Snapshot, ask Request, es Estimates, re Availability) Plan {
	if ask.Pinned != "" {
		return pinned(sn, ask, re)
	}
	ki := sn.Kind(ask.Kind)
	asked := askedFor(sn, ki, ask)
	if len(asked) == 0 {
		return Plan{code: result.UnknownModel, reason: "no such model"}
	}
	var pl Plan
	var open []*config.Version
	for _, ve := range asked {
		ca := weigh(sn, ask, ve, es, re)
		pl.candidates = append(pl.candidates, ca)
		if ca.code == result.OK {
			open = append(open, ve)
		}
	}
	if len(open) == 0 {
		pl.code = worstCode(pl.candidates)
		pl.reason = "no version is open"
		return pl
	}
	pl.code = result.OK
	pl.order(divide(open, ask.Draw), ki, ask, es)
	return pl
}

// pinned keeps a session on its version, whatever else would be chosen.
func pinned(sn *config.Snapshot, ask Request, re Availability) Plan {
	pl := Plan{reason: "session keeps its version", code: sn.MayStart(ask.Team, ask.Pinned, true)}
	if pl.code == result.OK && !re.Has(ask.Pinned) {
		pl.code = result.NoServer
	}
	if pl.code == result.OK {
		pl.steps = []string{ask.Pinned}
	}
	return pl
}

// askedFor returns the versions that could answer, before any check.
func askedFor(sn *config.Snapshot, ki *config.Kind, ask Request) []*config.Version {
	list := slices.Clone(sn.VersionsOf(ask.Model))
	if ask.Model != Auto && len(list) == 0 {
		return nil
	}
	for _, ve := range sn.Substitutes(ki) {
		if !slices.Contains(list, ve) {
			list = append(list, ve)
		}
	}
	if ask.Model == Auto && len(list) == 0 {
		doc := sn.Document()
		for i := range doc.Versions {
			list = append(list, &doc.Versions[i])
		}
	}
	return list
}

func weigh(sn *config.Snapshot, ask Request, ve *config.Version, es Estimates, re Availability) Candidate {
	ca := Candidate{version: ve.ID(), code: sn.MayStart(ask.Team, ve.ID(), false)}
	if ca.code == result.OK && !re.Has(ve.ID()) {
		ca.code = result.NoServer
	}
	ca.mean, ca.lower = es.Quality(ask.Team, ask.Kind, ve)
	ca.cost = Cost(ve, ask.Kind, es)
	return ca
}

// Cost returns the expected cost of one request of a kind.
func Cost(ve *config.Version, kind string, es Estimates) float64 {
	prompt, completion := es.Tokens(kind)
	return prompt*float64(ve.InputPrice) + completion*float64(ve.OutputPrice)
}

// worstCode returns the code that says most: a version that is allowed and
// only out of reach comes before one that is not allowed.
func worstCode(cas []Candidate) result.Code {
	best := result.UnknownModel
	for _, ca := range cas {
		switch ca.code {
		case result.NoServer:
			return result.NoServer
		case result.VersionWithdrawn, result.VersionNoNewWork:
			best = ca.code
		}
	}
	return best
}

// divide keeps one version of each model: those rolling in take their shares
// of new work, those serving share the rest evenly.
func divide(open []*config.Version, draw float64) []*config.Version {
	var list []*config.Version
	models := map[string]bool{}
	for _, ve := range open {
		if models[ve.Model] {
			continue
		}
		models[ve.Model] = true
		list = append(list, draw1(ofModel(open, ve.Model), draw))
	}
	return list
}

func ofModel(open []*config.Version, model string) []*config.Version {
	var list []*config.Version
	for _, ve := range open {
		if ve.Model == model {
			list = append(list, ve)
		}
	}
	return list
}

func draw1(list []*config.Version, draw float64) *config.Version {
	var serving []*config.Version
	for _, ve := range list {
		if ve.State == config.Serving {
			serving = append(serving, ve)
			continue
		}
		if draw < ve.Share {
			return ve
		}
		draw -= ve.Share
	}
	if len(serving) == 0 {
		return list[len(list)-1]
	}
	i := int(draw * float64(len(serving)))
	return serving[min(max(i, 0), len(serving)-1)]
}

// order fills the steps from one version of each model.
func (pl *Plan) order(list []*config.Version, ki *config.Kind, ask Request, es Estimates) {
	slices.SortStableFunc(list, func(a, b *config.Version) int {
		return cmp.Compare(Cost(a, ask.Kind, es), Cost(b, ask.Kind, es))
	})
	best, reason := target(list, ki, ask, es)
	pl.steps, pl.reason = []string{best.ID()}, reason
	if !ki.Cascade {
		return
	}
	if first := cascade(list, best, ki, ask, es); first != nil {
		pl.steps = []string{first.ID(), best.ID()}
		pl.reason = "cheaper first try, then " + reason
	}
}

// target returns the cheapest version that meets the kind's target with
// confidence. Now and then it returns a cheaper one that may meet it, to learn;
// the bounds come together as ratings come in, so that this ends by itself. If
// none meets the target, it is the best there is.
func target(list []*config.Version, ki *config.Kind, ask Request, es Estimates) (*config.Version, string) {
	best, reason := list[0], "best quality, none surely meets the target"
	bestMean, slack := -1.0, 0.0
	var maybe []*config.Version
	for _, ve := range list {
		mean, lower := es.Quality(ask.Team, ask.Kind, ve)
		if lower >= ki.Target-tolerance {
			best, reason = ve, "cheapest that meets the target"
			slack = lower - ki.Target
			break
		}
		if upper := 2*mean - lower; upper >= ki.Target {
			maybe = append(maybe, ve)
		}
		if mean > bestMean {
			best, bestMean = ve, mean
		}
	}
	part := min(mostExploration, leastExploration+slack/assumedShortfall)
	if len(maybe) > 0 && ask.Explore < part {
		return maybe[int(ask.Explore/part*float64(len(maybe)))], "tried to learn its quality"
	}
	return best, reason
}

// cascade returns a cheaper version that is worth trying first: the try and
// the part of requests that go on must cost less than going straight, and what
// is kept must surely not pull the quality below the target. Now and then it is
// enough that it may not, to learn.
func cascade(list []*config.Version, best *config.Version, ki *config.Kind, ask Request, es Estimates) *config.Version {
	straight := Cost(best, ask.Kind, es)
	strong, _ := es.Quality(ask.Team, ask.Kind, best)
	var first *config.Version
	least := straight
	for _, ve := range list {
		if ve == best {
			break
		}
		pass := es.PassRate(ask.Team, ask.Kind, ve)
		kept, sure := es.Quality(ask.Team, AcceptedKind(ask.Kind), ve)
		if ask.Explore < leastExploration {
			sure = min(1, 2*kept-sure)
		}
		cost := Cost(ve, ask.Kind, es) + (1-pass)*straight
		if cost < least && pass*sure+(1-pass)*strong >= ki.Target-tolerance {
			first, least = ve, cost
		}
	}
	return first
}

// AcceptedKind is the kind under which the ratings of first tries that were kept
// are learnt. They were chosen for being good, so they say nothing of what the
// version makes of all requests.
func AcceptedKind(kind string) string { return kind + "/kept" }
