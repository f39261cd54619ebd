package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/change"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// rolloutInterval is the time between two decisions on the active roll-outs.
const rolloutInterval = 2 * time.Second

// runRollouts decides on the active roll-outs while this entry is the leader of its data centre.
// The leaders of all data centres decide from the same documents. Compare-and-swap lets only one of
// them succeed, and the next one continues from what it stored.
func (en *Entry) runRollouts(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, rolloutInterval)
		sn := en.Node.Snapshot()
		if sn == nil || len(sn.Document().Rollouts) == 0 || !en.isLeader() {
			continue
		}
		all, err := en.readOutcomes(ctx)
		if err != nil {
			en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
			continue
		}
		for i := range sn.Document().Rollouts {
			en.decideRollout(ctx, sn.Document(), &sn.Document().Rollouts[i], all)
		}
	}
	return ctx.Err()
}

func (en *Entry) isLeader() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.members.IsLeader()
}

// readOutcomes returns the sum of the outcomes of all data centres.
func (en *Entry) readOutcomes(ctx context.Context) (rollout.Tallies, error) {
	pairs, err := en.Store.List(ctx, rollout.OutcomesPrefix)
	if err != nil {
		return nil, err
	}
	all := rollout.Tallies{}
	for _, pair := range pairs {
		tallies, err := rollout.DecodeTallies(pair.Value)
		if err != nil || pair.Err != nil {
			continue
		}
		for version, ta := range tallies {
			all.Add(version, ta)
		}
	}
	return all, nil
}

// decideRollout advances a roll-out: it stores the progress first and then updates the
// configuration. If the process dies in between, the next leader detects that the configuration
// does not match the progress yet.
func (en *Entry) decideRollout(ctx context.Context, doc *config.Document, plan *config.Rollout, all rollout.Tallies) {
	key := rollout.ProgressPrefix + plan.Model + "@" + plan.To
	pair, err := en.Store.Get(ctx, key)
	if err != nil {
		return
	}
	pr, err := rollout.DecodeProgress(pair.Value)
	if err != nil || pr.Verdict != rollout.RolledBack && rollout.IsWithdrawn(doc, plan) {
		return
	}
	version, others := all.Split(doc, plan)
	next, share := rollout.Decide(plan, pr, time.Now(), version, others)
	if next != pr {
		value, err := json.Marshal(next)
		if err != nil {
			return
		}
		swapped, err := en.Store.Swap(ctx, key, value, pair.Index)
		if err != nil || !swapped {
			return
		}
	}
	en.applyRollout(ctx, doc, plan, next, share)
}

// applyRollout updates the configuration to match a roll-out's progress.
func (en *Entry) applyRollout(ctx context.Context, doc *config.Document, plan *config.Rollout, pr rollout.Progress, share float64) {
	if _, changed := rollout.Apply(doc, plan, pr, share); !changed {
		return
	}
	ch := change.Writer{Store: en.Store, Backoff: change.DefaultBackoff}
	ev, err := ch.Apply(ctx, change.Request{
		Operation: pr.Operation(),
		Operator:  "linnetrudder",
		Summary:   string(pr.Verdict) + " " + pr.Version + " " + pr.Reason,
		Edit: func(doc *config.Document) (*config.Document, error) {
			next, _ := rollout.Apply(doc, plan, pr, share)
			return next, nil
		},
	}, time.Now())
	if err != nil {
		en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Version: pr.Version, Detail: err.Error()})
		return
	}
	kind := event.RolloutStep
	if pr.Verdict == rollout.RolledBack {
		kind = event.RolloutReversed
	}
	en.Node.Record(timeline.Entry{Event: kind, Revision: ev.Revision, Version: pr.Version, Detail: pr.Reason})
	en.Node.Install(config.Compile(ev.Revision, ev.Document))
}
