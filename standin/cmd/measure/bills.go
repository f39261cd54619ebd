package main

import (
	"fmt"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/store"
)

// billsCmd measures the memory and the store writes that bills need during and after an outage of
// the store.
type billsCmd struct {
	Rate int           `default:"200" help:"Requests per second."`
	For  time.Duration `default:"20s" help:"How long the store is down."`
}

// Run sends requests while the store is down and prints the memory used per buffered request, then
// the number of store calls needed to write the buffered bill lines.
func (cm *billsCmd) Run(fe *fleet.Fleet) error {
	lo := loadCmd{Rate: cm.Rate, Tokens: 1, For: cm.For}
	targets, entry, agent, err := lo.startSystem(fe)
	if err != nil {
		return err
	}
	warmUp := loadCmd{Rate: cm.Rate, Tokens: 1, For: 5 * time.Second}
	warmUp.sendAtRate(targets[1])
	if err := fe.SetStoreFaults(store.Faults{Down: true}); err != nil {
		return err
	}
	before, err := takeSamplePair(entry, agent)
	if err != nil {
		return err
	}
	lr := lo.sendAtRate(targets[1])
	after, err := takeSamplePair(entry, agent)
	if err != nil {
		return err
	}
	n := float64(lr.firstByte.TotalCount())
	fmt.Printf("store down, %.0f requests answered, %d failed: entry %+.0f B, agent %+.0f B per buffered request\n",
		n, lr.failed, float64(after.entry.rss-before.entry.rss)/n, float64(after.agent.rss-before.agent.rss)/n)
	if err := fe.SetStoreFaults(store.Faults{}); err != nil {
		return err
	}
	time.Sleep(25 * time.Second)
	caughtUp, err := takeSample(agent)
	if err != nil {
		return err
	}
	fmt.Printf("after the outage: %d store calls to write %.0f lines\n", caughtUp.storeCalls-after.agent.storeCalls, n)
	return nil
}
