package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/choice"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/quality"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

const (
	// ratingsPrefix is where each data centre adds up its ratings.
	ratingsPrefix = "linnetrudder/ratings/"
	// addEvery is the time between two additions to what is stored.
	addEvery = 5 * time.Second
	// readEvery is the time between two readings of what all have learnt; each
	// entry reads, so it is long.
	readEvery = 20 * time.Second
	// maxRatings bounds the ratings of one call.
	maxRatings = 10_000
	// maxSwaps bounds the tries against other writers of a document.
	maxSwaps = 5
)

// Rating is one rated answer, as the rating service reports it.
type Rating struct {
	Team    string `json:"team"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
	// Kept is set if the answer was the kept first try of a cascade; the
	// answer's headers say so.
	Kept bool `json:"kept"`
	// Score is from 0 to 1.
	Score float64 `json:"score"`
}

// learnt is what an entry has learnt and what it has not stored yet.
type learnt struct {
	// table is what all data centres have stored, as last read.
	table *quality.Table
	// fresh holds the ratings, outcomes the tallies to be added to the store.
	fresh    quality.Table
	outcomes rollout.Tallies
	// counted holds the counters last reported by each agent, by box and
	// version.
	counted map[string]map[string]rollout.Tally
}

func newLearnt() learnt {
	return learnt{
		table:    &quality.Table{},
		outcomes: rollout.Tallies{},
		counted:  map[string]map[string]rollout.Tally{},
	}
}

// count adds what an agent's counters have grown by. The first report of an
// agent, or of one that was replaced, only sets where to count from.
func (le *learnt) count(box, version string, ta rollout.Tally) {
	byVersion := le.counted[box]
	if byVersion == nil {
		byVersion = map[string]rollout.Tally{}
		le.counted[box] = byVersion
	}
	before, known := byVersion[version]
	byVersion[version] = ta
	if !known || ta.Started < before.Started || ta.Failed < before.Failed {
		return
	}
	le.outcomes.Add(version, rollout.Tally{Started: ta.Started - before.Started, Failed: ta.Failed - before.Failed})
}

// estimates is what the choice asks; the lock of the entry is held.
type estimates struct {
	*quality.Table
	choice.Prior
}

// Quality returns what the ratings say.
func (es estimates) Quality(team, kind string, ve *config.Version) (mean, lower float64) {
	return es.Table.Quality(team, kind, ve)
}

// PassRate returns what the cascades say.
func (es estimates) PassRate(team, kind string, ve *config.Version) float64 {
	return es.Table.PassRate(team, kind, ve)
}

// postRatings takes ratings from the rating service.
func (en *Entry) postRatings(w http.ResponseWriter, r *http.Request) {
	var list []Rating
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, config.MaxBytes)).Decode(&list); err != nil {
		node.WriteError(w, result.New(result.BadRequest, err.Error()))
		return
	}
	for i := range list {
		if list[i].Score < 0 || list[i].Score > 1 || len(list) > maxRatings {
			node.WriteError(w, result.New(result.BadRequest, "score: must be from 0 to 1"))
			return
		}
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, ra := range list {
		en.learnt.rate(ra)
	}
	node.WriteJSON(w, http.StatusOK, map[string]int{"taken": len(list)})
}

func (le *learnt) rate(ra Rating) {
	kind := ra.Kind
	if ra.Kept {
		kind = choice.AcceptedKind(kind)
	}
	ce := quality.Cell{Team: ra.Team, Kind: kind, Version: ra.Version}
	le.fresh.Add(ce, ra.Score)
	le.table.Add(ce, ra.Score)
	ta := rollout.Tally{Rated: 1}
	if ra.Score < quality.LowScore {
		ta.Low = 1
	}
	le.outcomes.Add(ra.Version, ta)
}

// tried notes whether the first try of a cascade was kept.
func (en *Entry) tried(as *ask, version string, kept bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.learnt.fresh.AddFirstAttempt(as.team, as.kind, version, kept)
	en.learnt.table.AddFirstAttempt(as.team, as.kind, version, kept)
}

// learn stores what is fresh and reads what all have stored.
func (en *Entry) learn(ctx context.Context) error {
	var added, read time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(added) >= addEvery {
			added = now
			en.storeLearnt(ctx)
		}
		if now.Sub(read) >= readEvery {
			read = now.Add(-rand.N(readEvery / 4))
			en.readLearnt(ctx)
		}
		sleep(ctx, time.Second)
	}
	return ctx.Err()
}

// storeLearnt adds what is fresh to the data centre's documents. What cannot
// be added is kept for the next time.
func (en *Entry) storeLearnt(ctx context.Context) {
	en.mu.Lock()
	fresh, outcomes := en.learnt.fresh, en.learnt.outcomes
	en.learnt.fresh, en.learnt.outcomes = quality.Table{}, rollout.Tallies{}
	leads := en.view.IsLeader()
	en.mu.Unlock()
	if !leads {
		// The leader hears the same agents and adds their outcomes; what
		// comes from ratings is this entry's alone.
		outcomes = ratedOnly(outcomes)
	}
	dc := en.Node.Settings.DataCentre
	if fresh.Len() > 0 && !en.merge(ctx, ratingsPrefix+dc, addRatings(&fresh)) {
		en.mu.Lock()
		en.learnt.fresh.MergeEntries(fresh.Entries())
		en.mu.Unlock()
	}
	if len(outcomes) > 0 && !en.merge(ctx, rollout.OutcomesPrefix+dc, addOutcomes(outcomes)) {
		en.mu.Lock()
		for version, ta := range outcomes {
			en.learnt.outcomes.Add(version, ta)
		}
		en.mu.Unlock()
	}
}

func ratedOnly(all rollout.Tallies) rollout.Tallies {
	rated := rollout.Tallies{}
	for version, ta := range all {
		if ta.Rated > 0 {
			rated[version] = rollout.Tally{Rated: ta.Rated, Low: ta.Low}
		}
	}
	return rated
}

func addRatings(fresh *quality.Table) func([]byte) ([]byte, error) {
	return func(value []byte) ([]byte, error) {
		ta, err := quality.Decode(value)
		if err != nil {
			ta = &quality.Table{}
		}
		ta.MergeEntries(fresh.Entries())
		return ta.Encode()
	}
}

func addOutcomes(fresh rollout.Tallies) func([]byte) ([]byte, error) {
	return func(value []byte) ([]byte, error) {
		ts, err := rollout.DecodeTallies(value)
		if err != nil {
			ts = rollout.Tallies{}
		}
		for version, ta := range fresh {
			ts.Add(version, ta)
		}
		return json.Marshal(ts)
	}
}

// merge changes a document by compare-and-swap. It reports whether that was
// done. A lost answer may count a few outcomes twice, which the tests on them
// bear; no promise rests on these documents.
func (en *Entry) merge(ctx context.Context, key string, edit func([]byte) ([]byte, error)) bool {
	for range maxSwaps {
		pair, err := en.Store.Get(ctx, key)
		if err != nil {
			return false
		}
		value, err := edit(pair.Value)
		if err != nil {
			return false
		}
		made, err := en.Store.Swap(ctx, key, value, pair.Index)
		if err != nil {
			return false
		}
		if made {
			return true
		}
	}
	return false
}

// readLearnt reads what all data centres have stored, and keeps what is
// fresh here on top.
func (en *Entry) readLearnt(ctx context.Context) {
	pairs, err := en.Store.List(ctx, ratingsPrefix)
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		return
	}
	all := &quality.Table{}
	for _, pair := range pairs {
		part, err := quality.Decode(pair.Value)
		if err == nil {
			all.MergeEntries(part.Entries())
		}
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	all.MergeEntries(en.learnt.fresh.Entries())
	en.learnt.table = all
}
