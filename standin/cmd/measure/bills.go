package main

import (
	"fmt"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/store"
)

// billsCmd measures what bills cost and what an outage holds back.
type billsCmd struct {
	Rate int           `default:"200" help:"Requests in a second."`
	For  time.Duration `default:"20s" help:"How long the store is down."`
}

// Run sends load while the store is down and prints the memory for each
// request that was held, then the writes that it took to catch up.
func (cm *billsCmd) Run(fe *fleet.Fleet) error {
	lo := loadCmd{Rate: cm.Rate, Tokens: 1, For: cm.For}
	paths, entry, agent, err := lo.start(fe)
	if err != nil {
		return err
	}
	warm := loadCmd{Rate: cm.Rate, Tokens: 1, For: 5 * time.Second}
	warm.drive(paths[1])
	if err := fe.SetStoreFaults(store.Faults{Down: true}); err != nil {
		return err
	}
	before, err := takeBoth(entry, agent)
	if err != nil {
		return err
	}
	ru := lo.drive(paths[1])
	after, err := takeBoth(entry, agent)
	if err != nil {
		return err
	}
	n := float64(ru.first.TotalCount())
	fmt.Printf("store down, %.0f requests answered, %d failed: entry %+.0f B, agent %+.0f B a request held\n",
		n, ru.failed, float64(after.entry.rss-before.entry.rss)/n, float64(after.agent.rss-before.agent.rss)/n)
	if err := fe.SetStoreFaults(store.Faults{}); err != nil {
		return err
	}
	time.Sleep(25 * time.Second)
	caught, err := take(agent)
	if err != nil {
		return err
	}
	fmt.Printf("after the outage: %d store calls to write %.0f lines\n", caught.store-after.agent.store, n)
	return nil
}
