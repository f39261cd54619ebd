package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/choice"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/quality"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

const (
	// ratingsPrefix is the key prefix under which each data centre accumulates its ratings.
	ratingsPrefix = "linnetrudder/ratings/"
	// storeInterval is the time between two updates of the stored documents.
	storeInterval = 5 * time.Second
	// readInterval is the time between two reads of the documents of all data centres. It is long
	// because every entry reads them.
	readInterval = 20 * time.Second
	// maxRatings is the maximum number of ratings in one call.
	maxRatings = 10_000
	// maxSwapAttempts is the maximum number of compare-and-swap attempts when other processes write
	// the same document.
	maxSwapAttempts = 5
)

// Rating is one rated answer as reported by the rating service.
type Rating struct {
	Team    string `json:"team"`
	Kind    string `json:"kind"`
	Version string `json:"version"`
	// Accepted is set if the answer is the accepted first try of a cascade, which the response
	// headers indicate.
	Accepted bool `json:"kept"`
	// Score is in the range from 0 to 1.
	Score float64 `json:"score"`
}

// feedback holds the ratings and outcomes of versions that the entry knows, and those that it has
// not stored yet.
type feedback struct {
	// ratings holds the ratings of all data centres as last read from the store, and the ones that
	// this entry has received since.
	ratings *quality.Table
	// pendingRatings and pendingOutcomes hold the ratings and tallies that are not stored yet.
	pendingRatings  quality.Table
	pendingOutcomes rollout.Tallies
	// lastCounters holds the last counters reported by each agent, by box and version.
	lastCounters map[string]map[string]rollout.Tally
}

func newFeedback() feedback {
	return feedback{
		ratings:         &quality.Table{},
		pendingOutcomes: rollout.Tallies{},
		lastCounters:    map[string]map[string]rollout.Tally{},
	}
}

// addCounters adds the increase of an agent's counters since its previous report. The first report
// of an agent, or of one that was replaced and started counting anew, only sets the baseline.
func (fb *feedback) addCounters(box, version string, ta rollout.Tally) {
	byVersion := fb.lastCounters[box]
	if byVersion == nil {
		byVersion = map[string]rollout.Tally{}
		fb.lastCounters[box] = byVersion
	}
	before, known := byVersion[version]
	byVersion[version] = ta
	if !known || ta.Started < before.Started || ta.Failed < before.Failed {
		return
	}
	fb.pendingOutcomes.Add(version, rollout.Tally{Started: ta.Started - before.Started, Failed: ta.Failed - before.Failed})
}

// estimates implements choice.Estimates: quality and pass rate come from the ratings, token counts
// from the prior. It must be used while en.mu is held.
type estimates struct {
	*quality.Table
	choice.Prior
}

// Quality returns the estimate from the ratings.
func (es estimates) Quality(team, kind string, ve *config.Version) (mean, lower float64) {
	return es.Table.Quality(team, kind, ve)
}

// PassRate returns the estimate from the recorded first tries of cascades.
func (es estimates) PassRate(team, kind string, ve *config.Version) float64 {
	return es.Table.PassRate(team, kind, ve)
}

// postRatings receives ratings from the rating service.
func (en *Entry) postRatings(w http.ResponseWriter, r *http.Request) {
	var list []Rating
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, config.MaxBytes)).Decode(&list); err != nil {
		node.WriteError(w, result.New(result.BadRequest, err.Error()))
		return
	}
	if len(list) > maxRatings {
		node.WriteError(w, result.New(result.BadRequest, fmt.Sprintf("ratings: must be %d at the most", maxRatings)))
		return
	}
	for i := range list {
		if list[i].Score < 0 || list[i].Score > 1 {
			node.WriteError(w, result.New(result.BadRequest, "score: must be from 0 to 1"))
			return
		}
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, ra := range list {
		en.feedback.addRating(ra)
	}
	node.WriteJSON(w, http.StatusOK, map[string]int{"taken": len(list)})
}

func (fb *feedback) addRating(ra Rating) {
	kind := ra.Kind
	if ra.Accepted {
		kind = choice.AcceptedKind(kind)
	}
	ce := quality.Cell{Team: ra.Team, Kind: kind, Version: ra.Version}
	fb.pendingRatings.Add(ce, ra.Score)
	fb.ratings.Add(ce, ra.Score)
	ta := rollout.Tally{Rated: 1}
	if ra.Score < quality.LowScore {
		ta.Low = 1
	}
	fb.pendingOutcomes.Add(ra.Version, ta)
}

// recordFirstTry records whether the first try of a cascade was accepted.
func (en *Entry) recordFirstTry(cr *callerRequest, version string, accepted bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.feedback.pendingRatings.AddFirstAttempt(cr.team, cr.kind, version, accepted)
	en.feedback.ratings.AddFirstAttempt(cr.team, cr.kind, version, accepted)
}

// syncFeedback periodically stores pending feedback and reads the ratings of all data centres.
func (en *Entry) syncFeedback(ctx context.Context) error {
	var lastStore, lastRead time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(lastStore) >= storeInterval {
			lastStore = now
			en.storeFeedback(ctx)
		}
		if now.Sub(lastRead) >= readInterval {
			lastRead = now.Add(-rand.N(readInterval / 4))
			en.readFeedback(ctx)
		}
		clock.Sleep(ctx, time.Second)
	}
	return ctx.Err()
}

// storeFeedback adds pending feedback to the data centre's documents. What can't be stored remains
// pending.
func (en *Entry) storeFeedback(ctx context.Context) {
	en.mu.Lock()
	pending, outcomes := en.feedback.pendingRatings, en.feedback.pendingOutcomes
	en.feedback.pendingRatings, en.feedback.pendingOutcomes = quality.Table{}, rollout.Tallies{}
	leader := en.members.IsLeader()
	en.mu.Unlock()
	if !leader {
		// The leader receives the same agents' counters and stores their outcomes. Ratings were
		// received by this entry only.
		outcomes = ratingTallies(outcomes)
	}
	dc := en.Node.Settings.DataCentre
	if pending.Len() > 0 && !en.updateDocument(ctx, ratingsPrefix+dc, addRatings(&pending)) {
		en.mu.Lock()
		en.feedback.pendingRatings.MergeEntries(pending.Entries())
		en.mu.Unlock()
	}
	if len(outcomes) > 0 && !en.updateDocument(ctx, rollout.OutcomesPrefix+dc, addOutcomes(outcomes)) {
		en.mu.Lock()
		for version, ta := range outcomes {
			en.feedback.pendingOutcomes.Add(version, ta)
		}
		en.mu.Unlock()
	}
}

// ratingTallies returns the tallies without the outcomes that agents report.
func ratingTallies(all rollout.Tallies) rollout.Tallies {
	rated := rollout.Tallies{}
	for version, ta := range all {
		if ta.Rated > 0 {
			rated[version] = rollout.Tally{Rated: ta.Rated, Low: ta.Low}
		}
	}
	return rated
}

func addRatings(pending *quality.Table) func([]byte) ([]byte, error) {
	return func(value []byte) ([]byte, error) {
		ta, err := quality.Decode(value)
		if err != nil {
			ta = &quality.Table{}
		}
		ta.MergeEntries(pending.Entries())
		return ta.Encode()
	}
}

func addOutcomes(pending rollout.Tallies) func([]byte) ([]byte, error) {
	return func(value []byte) ([]byte, error) {
		ts, err := rollout.DecodeTallies(value)
		if err != nil {
			ts = rollout.Tallies{}
		}
		for version, ta := range pending {
			ts.Add(version, ta)
		}
		return json.Marshal(ts)
	}
}

// updateDocument edits a stored document by compare-and-swap and reports whether it succeeded. If
// the response to a swap is lost, the edit may be made twice. For outcomes this counts a few of
// them twice, which the statistical tests tolerate; no guarantee depends on these documents.
func (en *Entry) updateDocument(ctx context.Context, key string, edit func([]byte) ([]byte, error)) bool {
	for range maxSwapAttempts {
		pair, err := en.Store.Get(ctx, key)
		if err != nil {
			return false
		}
		value, err := edit(pair.Value)
		if err != nil {
			return false
		}
		swapped, err := en.Store.Swap(ctx, key, value, pair.Index)
		if err != nil {
			return false
		}
		if swapped {
			return true
		}
	}
	return false
}

// readFeedback reads the ratings of all data centres and adds the pending ratings of this entry.
func (en *Entry) readFeedback(ctx context.Context) {
	pairs, err := en.Store.List(ctx, ratingsPrefix)
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		return
	}
	all := &quality.Table{}
	for _, pair := range pairs {
		table, err := quality.Decode(pair.Value)
		if err == nil && pair.Err == nil {
			all.MergeEntries(table.Entries())
		}
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	all.MergeEntries(en.feedback.pendingRatings.Entries())
	en.feedback.ratings = all
}
