package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/thejerf/suture/v4"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/claim"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/link"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/rendezvous"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

const (
	// remoteLinks is how many agents of each other data centre are linked, to
	// take what the own one cannot.
	remoteLinks = 4
	// homeCandidates is how many agents are ranked for each claim log.
	homeCandidates = 6
	// dialTimeout bounds the opening of a link.
	dialTimeout = 2 * time.Second
	// dialFirst and dialMost bound the pause between two tries.
	dialFirst = 50 * time.Millisecond
	dialMost  = 5 * time.Second
)

// dialer keeps a link to one agent.
type dialer struct {
	token   suture.ServiceToken
	address string
}

// followBoxes keeps a dialer for each agent that the list names. A reading
// that fails changes nothing.
func (en *Entry) followBoxes(ctx context.Context) error {
	for {
		list, err := en.Boxes.List(ctx)
		if err != nil {
			en.Node.Record(timeline.Entry{Event: event.StoreCallFailed, Detail: err.Error()})
		} else {
			en.setBoxes(list)
		}
		every := en.Node.Settings.Platform.BoxesEvery()
		pause := every/2 + rand.N(every)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// setBoxes starts and ends dialers so that they match the list.
func (en *Entry) setBoxes(list []boxes.Box) {
	wanted := map[string]boxes.Box{}
	for _, bo := range en.worthLinking(list) {
		wanted[bo.Name] = bo
	}
	en.mu.Lock()
	en.rankHomes(agentNames(list))
	var ending []dialer
	for box, di := range en.dialers {
		if bo, ok := wanted[box]; !ok || bo.Address != di.address {
			ending = append(ending, di)
			delete(en.dialers, box)
		}
	}
	var starting []boxes.Box
	for box, bo := range wanted {
		en.serverOf[box] = bo.Server
		en.boxOf[bo.Server] = box
		if bo.State == boxes.Leaving {
			en.board.SetLeaving(bo.Server)
		}
		if _, ok := en.dialers[box]; !ok {
			starting = append(starting, bo)
		}
	}
	for _, bo := range starting {
		token := en.supervisor.Add(node.Service{Name: "link to " + bo.Name, Run: en.keepLink(bo)})
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

// worthLinking returns all agents of the own data centre, the homes of the
// claim logs, and a few agents of each other data centre, not the same few for
// every entry.
func (en *Entry) worthLinking(list []boxes.Box) []boxes.Box {
	self := en.Node.Settings
	homes := map[string]bool{}
	for shard := range claim.Shards {
		homes[rendezvous.First(claim.ShardPrefix(shard), agentNames(list))] = true
	}
	var wanted []boxes.Box
	remote := map[string]map[string]boxes.Box{}
	for _, bo := range list {
		if bo.Role != boxes.Agent {
			continue
		}
		if bo.DataCentre == self.DataCentre || homes[bo.Name] {
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

// keepLink dials an agent again and again, with growing pauses.
func (en *Entry) keepLink(bo boxes.Box) func(context.Context) error {
	return func(ctx context.Context) error {
		pause := backoff.NewExponentialBackOff()
		pause.InitialInterval = dialFirst
		pause.MaxInterval = dialMost
		for ctx.Err() == nil {
			if en.holdLink(ctx, bo) {
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

// holdLink opens one link and serves it. It reports whether it was opened.
func (en *Entry) holdLink(ctx context.Context, bo boxes.Box) bool {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	li, err := link.Dial(dialing, bo.Address, en.Node.Identity(), time.Now())
	if err != nil {
		return false
	}
	li.Handler = en
	li.HeartbeatInterval = en.Node.Settings.Limits.Heartbeat()
	en.mu.Lock()
	en.serverOf[li.Peer.Box()] = bo.Server
	en.boxOf[bo.Server] = li.Peer.Box()
	en.board.LinkUp(bo.Server, bo.DataCentre)
	en.mu.Unlock()
	en.Node.AddLink(li)
	err = li.Run(ctx)
	if en.Node.RemoveLink(li, err) {
		en.mu.Lock()
		en.board.LinkDown(bo.Server)
		en.view.RemoveAgent(li.Peer.Box())
		en.mu.Unlock()
	}
	en.lose(li)
	return true
}
