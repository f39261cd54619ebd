package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/thejerf/suture/v4"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/claim"
	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

const (
	// remoteLinks is the number of connected agents in each other data centre. They receive the
	// requests that the entry's own data centre can't serve.
	remoteLinks = 4
	// ownerCandidates is the number of agents that are ranked for each claim log.
	ownerCandidates = 6
	// dialTimeout is the timeout for opening a link.
	dialTimeout = 2 * time.Second
	// minDialBackoff and maxDialBackoff are the limits of the delay between two dial attempts.
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 5 * time.Second
)

// dialer identifies the supervised service that maintains the link to one agent.
type dialer struct {
	token   suture.ServiceToken
	address string
}

// pollBoxes periodically reads the list of boxes and updates the dialers. A failed read changes
// nothing.
func (en *Entry) pollBoxes(ctx context.Context) error {
	for {
		list, err := en.Boxes.List(ctx)
		if err != nil {
			en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		} else {
			en.updateDialers(list)
		}
		every := en.Node.Settings.Platform.BoxesInterval()
		pause := every/2 + rand.N(every)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// updateDialers starts and stops dialers to match the list of boxes.
func (en *Entry) updateDialers(list []boxes.Box) {
	wanted := map[string]boxes.Box{}
	for _, bo := range en.agentsToLink(list) {
		wanted[bo.Name] = bo
	}
	en.mu.Lock()
	en.rankClaimOwners(agentNames(list))
	var ending []dialer
	for box, di := range en.dialers {
		if bo, ok := wanted[box]; !ok || bo.Address != di.address {
			ending = append(ending, di)
			delete(en.dialers, box)
			en.dials.end(box)
		}
	}
	var starting []boxes.Box
	for box, bo := range wanted {
		en.serverOf[box] = bo.Server
		en.boxOf[bo.Server] = box
		if bo.State == boxes.Leaving {
			en.balancer.SetLeaving(bo.Server)
		}
		if _, ok := en.dialers[box]; !ok {
			starting = append(starting, bo)
		}
	}
	en.dials.list(agentNames(starting), clock.Now())
	for _, bo := range starting {
		token := en.supervisor.Add(node.Service{Name: "link to " + bo.Name, Run: en.maintainLink(bo)})
		en.dialers[bo.Name] = dialer{token: token, address: bo.Address}
	}
	en.mu.Unlock()
	for _, di := range ending {
		_ = en.supervisor.Remove(di.token)
	}
	if len(starting)+len(ending) > 0 {
		en.Node.Record(timeline.Entry{Event: event.BoxesChanged})
	}
}

func agentNames(list []boxes.Box) []string {
	var names []string
	for _, bo := range list {
		if bo.Role == boxes.Agent {
			names = append(names, bo.Name)
		}
	}
	return names
}

// agentsToLink returns the agents to connect to: all in the entry's own data centre, the owners of
// the claim logs, and a few in each other data centre, which differ from entry to entry.
func (en *Entry) agentsToLink(list []boxes.Box) []boxes.Box {
	self := en.Node.Settings
	owners := map[string]bool{}
	for shard := range claim.Shards {
		owners[rendezvous.First(claim.ShardPrefix(shard), agentNames(list))] = true
	}
	var wanted []boxes.Box
	remote := map[string]map[string]boxes.Box{}
	for _, bo := range list {
		if bo.Role != boxes.Agent {
			continue
		}
		if bo.DataCentre == self.DataCentre || owners[bo.Name] {
			wanted = append(wanted, bo)
			continue
		}
		if remote[bo.DataCentre] == nil {
			remote[bo.DataCentre] = map[string]boxes.Box{}
		}
		remote[bo.DataCentre][bo.Name] = bo
	}
	for _, byName := range remote {
		names := make([]string, 0, len(byName))
		for na := range byName {
			names = append(names, na)
		}
		ranked := rendezvous.Rank(self.Box, names)
		for _, na := range ranked[:min(remoteLinks, len(ranked))] {
			wanted = append(wanted, byName[na])
		}
	}
	return wanted
}

// maintainLink returns a service that dials an agent whenever the link is down, with exponential
// backoff.
func (en *Entry) maintainLink(bo boxes.Box) func(context.Context) error {
	return func(ctx context.Context) error {
		pause := backoff.NewExponentialBackOff()
		pause.InitialInterval = minDialBackoff
		pause.MaxInterval = maxDialBackoff
		for ctx.Err() == nil {
			if en.serveLink(ctx, bo) {
				pause.Reset()
			}
			select {
			case <-ctx.Done():
			case <-time.After(pause.NextBackOff()):
			}
		}
		return ctx.Err()
	}
}

// serveLink opens a link and serves it until it closes. It reports whether the link was opened.
func (en *Entry) serveLink(ctx context.Context, bo boxes.Box) bool {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	li, err := link.Dial(dialing, bo.Address, en.Node.Identity(), time.Now())
	if err != nil {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.dials.end(bo.Name)
		return false
	}
	li.Handler = en
	li.HeartbeatInterval = en.Node.Settings.Limits.HeartbeatInterval()
	en.mu.Lock()
	en.serverOf[li.Peer.Box()] = bo.Server
	en.boxOf[bo.Server] = li.Peer.Box()
	en.balancer.LinkUp(bo.Server, bo.DataCentre)
	en.mu.Unlock()
	en.Node.AddLink(li)
	en.mu.Lock()
	en.dials.end(bo.Name)
	en.mu.Unlock()
	err = li.Run(ctx)
	if en.Node.RemoveLink(li, err) {
		en.mu.Lock()
		en.balancer.LinkDown(bo.Server)
		en.members.RemoveAgent(li.Peer.Box())
		en.mu.Unlock()
	}
	en.failAttempts(li)
	return true
}
