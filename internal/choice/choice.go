// Package choice selects the versions that answer a request: the cheapest version that meets the
// quality target, preceded by a first try on a cheaper version where that lowers the expected cost.
// It does no I/O and reads no clock; randomness is an argument.
package choice

import (
	"cmp"
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Auto is the model name with which a caller leaves the selection of the model to the system.
const Auto = "auto"

// Estimates provides estimates of the properties of versions and kinds of request.
type Estimates interface {
	// Quality returns the mean rating of a version's answers to requests of a kind, and a lower
	// confidence bound of that mean.
	Quality(team, kind string, ve *config.Version) (mean, lower float64)
	// PassRate returns the fraction of first tries of the version whose answers are good enough to
	// accept.
	PassRate(team, kind string, ve *config.Version) float64
	// Tokens returns the expected prompt and completion tokens of requests of the kind.
	Tokens(kind string) (prompt, completion float64)
}

// Availability reports which versions have a backend server.
type Availability interface {
	// Has reports whether any usable backend server provides the version.
	Has(version string) bool
}

// Request holds the properties of a request that the selection depends on.
type Request struct {
	// Team, Kind and Model are named by the request.
	Team, Kind, Model string
	// Pinned is the version that the request's session is pinned to, "" if there is none yet.
	Pinned string
	// Draw is uniform over [0, 1). It distributes new work according to the shares of the
	// versions.
	Draw float64
	// Explore is uniform over [0, 1). It decides whether the request is used for exploration.
	Explore float64
}

// Candidate is a version that was considered, with the result. The explain command lists them.
type Candidate struct {
	version     string
	code        result.Code
	mean, lower float64
	cost        float64
}

// Version returns the full name of the version.
func (ca Candidate) Version() string { return ca.version }

// Code returns why the version is not eligible, result.OK if it is.
func (ca Candidate) Code() result.Code { return ca.code }

// Quality returns the estimated mean rating and its lower bound.
func (ca Candidate) Quality() (mean, lower float64) { return ca.mean, ca.lower }

// Cost returns the expected cost of a request.
func (ca Candidate) Cost() float64 { return ca.cost }

// Plan is the result of a selection: the versions to call, in order.
type Plan struct {
	steps      []string
	reason     string
	candidates []Candidate
	code       result.Code
}

// Steps returns the versions to call. The second one is called only if the answer of the first is
// not good enough.
func (pl Plan) Steps() []string { return pl.steps }

// Reason returns a short explanation of the selection. It is also the message of the error that a
// caller gets if there is no step, and part of the output of the explain command.
func (pl Plan) Reason() string { return pl.reason }

// Candidates returns all versions that were considered.
func (pl Plan) Candidates() []Candidate { return pl.candidates }

// Code returns result.OK if there is at least one step, and otherwise why there is none.
func (pl Plan) Code() result.Code { return pl.code }

const (
	// minExploration and maxExploration bound the fraction of requests on which a cheaper version
	// is tried whose confidence interval includes the target. Between the bounds, the fraction grows
	// with the margin by which the version in use exceeds the target: that margin offsets the loss
	// if the explored versions fall short of the target by assumedShortfall.
	minExploration   = 0.05
	maxExploration   = 0.25
	assumedShortfall = 0.4
	// targetTolerance is how far a lower bound may be below the target.
	targetTolerance = 0.01
)

// Choose selects the versions for a request.
func Choose(sn *config.Snapshot, req Request, es Estimates, av Availability) Plan {
	if req.Pinned != "" {
		return pinned(sn, req, av)
	}
	ki := sn.Kind(req.Kind)
	versions := candidateVersions(sn, ki, req)
	if len(versions) == 0 {
		return Plan{code: result.UnknownModel, reason: "no such model"}
	}
	var pl Plan
	var eligible []*config.Version
	for _, ve := range versions {
		ca := evaluate(sn, req, ve, es, av)
		pl.candidates = append(pl.candidates, ca)
		if ca.code == result.OK {
			eligible = append(eligible, ve)
		}
	}
	if len(eligible) == 0 {
		pl.code = mostSpecificCode(pl.candidates)
		pl.reason = "no version is open"
		return pl
	}
	pl.code = result.OK
	pl.setSteps(onePerModel(eligible, req.Draw), ki, req, es)
	return pl
}

// pinned keeps a session on its version, regardless of cost and quality.
func pinned(sn *config.Snapshot, req Request, av Availability) Plan {
	pl := Plan{reason: "session keeps its version", code: sn.MayStart(req.Team, req.Pinned, true)}
	if pl.code == result.OK && !av.Has(req.Pinned) {
		pl.code = result.NoServer
	}
	if pl.code == result.OK {
		pl.steps = []string{req.Pinned}
	}
	return pl
}

// candidateVersions returns the versions that could answer the request, before any checks.
func candidateVersions(sn *config.Snapshot, ki *config.Kind, req Request) []*config.Version {
	list := slices.Clone(sn.VersionsOf(req.Model))
	if req.Model != Auto && len(list) == 0 {
		return nil
	}
	for _, ve := range sn.Substitutes(ki) {
		if !slices.Contains(list, ve) {
			list = append(list, ve)
		}
	}
	if req.Model == Auto && len(list) == 0 {
		doc := sn.Document()
		for i := range doc.Versions {
			list = append(list, &doc.Versions[i])
		}
	}
	return list
}

func evaluate(sn *config.Snapshot, req Request, ve *config.Version, es Estimates, av Availability) Candidate {
	ca := Candidate{version: ve.ID(), code: sn.MayStart(req.Team, ve.ID(), false)}
	if ca.code == result.OK && !av.Has(ve.ID()) {
		ca.code = result.NoServer
	}
	ca.mean, ca.lower = es.Quality(req.Team, req.Kind, ve)
	ca.cost = Cost(ve, req.Kind, es)
	return ca
}

// Cost returns the expected cost of one request of a kind.
func Cost(ve *config.Version, kind string, es Estimates) float64 {
	prompt, completion := es.Tokens(kind)
	return prompt*float64(ve.InputPrice) + completion*float64(ve.OutputPrice)
}

// mostSpecificCode returns the most informative code of a list: an allowed version without a server
// takes precedence over a version that is withdrawn or takes no new work; otherwise the model counts
// as unknown.
func mostSpecificCode(cas []Candidate) result.Code {
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

// onePerModel selects one version of each model: versions that are being rolled in get their
// configured shares of new work, and serving versions split the rest evenly.
func onePerModel(eligible []*config.Version, draw float64) []*config.Version {
	var list []*config.Version
	models := map[string]bool{}
	for _, ve := range eligible {
		if models[ve.Model] {
			continue
		}
		models[ve.Model] = true
		list = append(list, drawVersion(ofModel(eligible, ve.Model), draw))
	}
	return list
}

func ofModel(eligible []*config.Version, model string) []*config.Version {
	var list []*config.Version
	for _, ve := range eligible {
		if ve.Model == model {
			list = append(list, ve)
		}
	}
	return list
}

func drawVersion(list []*config.Version, draw float64) *config.Version {
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

// setSteps sets the steps and the reason, given one version of each model.
func (pl *Plan) setSteps(list []*config.Version, ki *config.Kind, req Request, es Estimates) {
	slices.SortStableFunc(list, func(a, b *config.Version) int {
		return cmp.Compare(Cost(a, req.Kind, es), Cost(b, req.Kind, es))
	})
	best, reason := targetVersion(list, ki, req, es)
	pl.steps, pl.reason = []string{best.ID()}, reason
	if !ki.Cascade {
		return
	}
	if first := firstTry(list, best, ki, req, es); first != nil {
		pl.steps = []string{first.ID(), best.ID()}
		pl.reason = "cheaper first try, then " + reason
	}
}

// targetVersion returns the cheapest version whose lower bound meets the kind's target. For a
// fraction of the requests it returns a cheaper version that may meet the target, to learn its
// quality; this ends by itself, since more ratings narrow the confidence interval. If no version
// meets the target, it returns the one with the best mean rating.
func targetVersion(list []*config.Version, ki *config.Kind, req Request, es Estimates) (*config.Version, string) {
	best, reason := list[0], "best quality, none surely meets the target"
	bestMean, slack := -1.0, 0.0
	var uncertain []*config.Version
	for _, ve := range list {
		mean, lower := es.Quality(req.Team, req.Kind, ve)
		if lower >= ki.Target-targetTolerance {
			best, reason = ve, "cheapest that meets the target"
			slack = lower - ki.Target
			break
		}
		if upper := 2*mean - lower; upper >= ki.Target {
			uncertain = append(uncertain, ve)
		}
		if mean > bestMean {
			best, bestMean = ve, mean
		}
	}
	fraction := min(maxExploration, minExploration+slack/assumedShortfall)
	if len(uncertain) > 0 && req.Explore < fraction {
		return uncertain[int(req.Explore/fraction*float64(len(uncertain)))], "tried to learn its quality"
	}
	return best, reason
}

// firstTry returns the cheaper version to try first, or nil if no first try pays off. The cost of the
// try plus the cost of the second step, weighted with its probability, must be lower than the cost of
// calling the best version directly. Even at the lower bound of their quality, the accepted answers
// must not pull the quality below the target. For minExploration of the requests the upper bound is
// used instead, to learn the quality of the accepted answers.
func firstTry(list []*config.Version, best *config.Version, ki *config.Kind, req Request, es Estimates) *config.Version {
	direct := Cost(best, req.Kind, es)
	bestMean, _ := es.Quality(req.Team, req.Kind, best)
	var first *config.Version
	lowest := direct
	for _, ve := range list {
		if ve == best {
			break
		}
		pass := es.PassRate(req.Team, req.Kind, ve)
		mean, bound := es.Quality(req.Team, AcceptedKind(req.Kind), ve)
		if req.Explore < minExploration {
			bound = min(1, 2*mean-bound)
		}
		cost := Cost(ve, req.Kind, es) + (1-pass)*direct
		if cost < lowest && pass*bound+(1-pass)*bestMean >= ki.Target-targetTolerance {
			first, lowest = ve, cost
		}
	}
	return first
}

// AcceptedKind returns the kind under which the ratings of accepted first tries are recorded. These
// answers were selected for being good, so their ratings say nothing about the version's answers to
// all requests of the kind.
func AcceptedKind(kind string) string { return kind + "/kept" }
