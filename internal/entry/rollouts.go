package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/change"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/rollout"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// decideEvery is the time between two looks at the roll-outs under way.
const decideEvery = 2 * time.Second

// followRollouts decides on the roll-outs while this entry leads its data
// centre. The leaders of all data centres do so from the same documents;
// compare-and-swap lets one of them through, and whoever comes next continues
// from what it stored.
func (en *Entry) followRollouts(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, decideEvery)
		sn := en.Node.Snapshot()
		if sn == nil || len(sn.Document().Rollouts) == 0 || !en.leads() {
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

func (en *Entry) leads() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.view.IsLeader()
}

func (en *Entry) readOutcomes(ctx context.Context) (rollout.Tallies, error) {
	pairs, err := en.Store.List(ctx, rollout.OutcomesPrefix)
	if err != nil {
		return nil, err
	}
	all := rollout.Tallies{}
	for _, pair := range pairs {
		part, err := rollout.DecodeTallies(pair.Value)
		if err != nil {
			continue
		}
		for version, ta := range part {
			all.Add(version, ta)
		}
	}
	return all, nil
}

// decideRollout moves one roll-out on: first its progress is stored, then the
// configuration follows it. If this process dies in between, the next one sees
// that the configuration does not follow yet.
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
		made, err := en.Store.Swap(ctx, key, value, pair.Index)
		if err != nil || !made {
			return
		}
	}
	en.applyRollout(ctx, doc, plan, next, share)
}

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
