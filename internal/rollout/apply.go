package rollout

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// ProgressPrefix is the key prefix of roll-out progress, OutcomesPrefix that of the request
// outcomes that each data centre accumulates.
const (
	ProgressPrefix = "linnetrudder/rollouts/"
	OutcomesPrefix = "linnetrudder/outcomes/"
)

// Operation returns the id of the configuration change that a progress causes. A repeated change
// with the same id has no effect.
func (pr Progress) Operation() string {
	body, _ := json.Marshal([]any{pr.Version, pr.Step, pr.Verdict, pr.Since.UnixNano()})
	return "rollout " + string(body)
}

// Apply returns the document with a progress applied, or the same document if it already is. It
// reports whether anything changed. A version that an operator has withdrawn remains withdrawn.
func Apply(doc *config.Document, plan *config.Rollout, pr Progress, share float64) (*config.Document, bool) {
	next := *doc
	next.Versions = append([]config.Version(nil), doc.Versions...)
	changed := false
	set := func(ve *config.Version, state config.State, share float64) {
		if ve.State != config.Withdrawn && (ve.State != state || ve.Share != share) {
			ve.State, ve.Share = state, share
			changed = true
		}
	}
	for i := range next.Versions {
		ve := &next.Versions[i]
		switch {
		case ve.Model != plan.Model:
		case ve.Name == plan.To && pr.Verdict == RolledBack:
			set(ve, config.Withdrawn, 0)
		case ve.Name == plan.To && pr.Verdict == Done:
			set(ve, config.Serving, 0)
		case ve.Name == plan.To:
			set(ve, config.RollingIn, share)
		case pr.Verdict == Done && ve.State == config.Serving:
			set(ve, config.RollingOut, 0)
		case pr.Verdict == RolledBack && ve.State == config.RollingOut:
			set(ve, config.Serving, 0)
		}
	}
	if !changed {
		return doc, false
	}
	return &next, true
}

// IsWithdrawn reports whether the plan's version is withdrawn or missing from the document.
func IsWithdrawn(doc *config.Document, plan *config.Rollout) bool {
	for i := range doc.Versions {
		ve := &doc.Versions[i]
		if ve.Model == plan.Model && ve.Name == plan.To {
			return ve.State == config.Withdrawn
		}
	}
	return true
}

// Tallies maps versions to their tallies.
type Tallies map[string]Tally

// Add adds a tally to that of a version.
func (ts Tallies) Add(version string, ta Tally) { ts[version] = ts[version].Add(ta) }

// Split returns the tally of the plan's version, and the sum of the tallies of the model's other
// versions.
func (ts Tallies) Split(doc *config.Document, plan *config.Rollout) (version, others Tally) {
	for i := range doc.Versions {
		ve := &doc.Versions[i]
		switch {
		case ve.Model != plan.Model:
		case ve.Name == plan.To:
			version = ts[ve.ID()]
		default:
			others = others.Add(ts[ve.ID()])
		}
	}
	return version, others
}

// DecodeTallies decodes the tallies stored by a data centre; an empty value yields no tallies.
func DecodeTallies(value []byte) (Tallies, error) {
	ts := Tallies{}
	if len(value) == 0 {
		return ts, nil
	}
	return ts, eris.Wrap(json.Unmarshal(value, &ts), "decode outcomes")
}

// DecodeProgress decodes a stored progress; an empty value yields the zero value.
func DecodeProgress(value []byte) (Progress, error) {
	var pr Progress
	if len(value) == 0 {
		return pr, nil
	}
	return pr, eris.Wrap(json.Unmarshal(value, &pr), "decode roll-out progress")
}
