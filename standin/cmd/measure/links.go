package main

import (
	"fmt"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/selector"
	"github.com/linnetrudder/linnetrudder/standin/fleet"
	"github.com/linnetrudder/linnetrudder/standin/swarm"
)

// linksCmd measures the resource use of one process with many peers and no requests.
type linksCmd struct {
	Role    string        `enum:"entry,agent" default:"entry" help:"Role of the measured process."`
	Peers   int           `default:"10" help:"Number of peers."`
	Servers int           `default:"100" help:"Number of backend servers in the configuration."`
	Changes float64       `default:"0" help:"Configuration changes per second."`
	For     time.Duration `default:"20s" help:"Duration of the measurement."`
}

// settleTime is the time that the processes get to connect before the measurement.
const settleTime = 12 * time.Second

// Run starts the process and its peers and prints the resources that the process used.
func (cm *linksCmd) Run(fe *fleet.Fleet) error {
	if err := fe.StartPlatform(); err != nil {
		return err
	}
	fe.Tune = func(se map[string]any) {
		se["limits"] = map[string]any{}
		se["platform"] = map[string]any{"store": fe.Store, "boxes": fe.Boxes, "boxes_ms": 5000}
		se["log_level"] = "warn"
	}
	sw := &swarm.Swarm{Store: fe.Store, Boxes: fe.Boxes, SharedKey: "demo-key"}
	measured, list, err := cm.startMembers(fe, sw)
	if err != nil {
		return err
	}
	if err := fe.PublishBoxes(list); err != nil {
		return err
	}
	ac := adminClient{address: entryAdminAddress(list)}
	if err := ac.applyConfig(configWithServers(cm.Servers)); err != nil {
		return err
	}
	time.Sleep(settleTime)
	before, err := takeSample(measured)
	if err != nil {
		return err
	}
	stop := ac.changePeriodically(cm.Changes, cm.Servers)
	time.Sleep(cm.For)
	stop()
	after, err := takeSample(measured)
	if err != nil {
		return err
	}
	fmt.Printf("%s with %d peers, %d servers, %.2f changes/s: %s\n", cm.Role, cm.Peers, cm.Servers, cm.Changes, after.usageSince(before))
	return nil
}

// startMembers starts the measured process, and its peers within this process.
func (cm *linksCmd) startMembers(fe *fleet.Fleet, sw *swarm.Swarm) (*fleet.Member, []boxes.Box, error) {
	var list []boxes.Box
	role := boxes.Role(cm.Role)
	me := fleet.Member{Box: "measured", Role: cm.Role, DataCentre: "dc", Server: "s-0", Backend: "127.0.0.1:1"}
	measured, err := fe.Add(me)
	if err != nil {
		return nil, nil, err
	}
	list = append(list, boxes.Box{
		Name: "measured", Role: role, DataCentre: "dc", Address: measured.Address,
		Admin: measured.Admin, Server: measured.Server, State: boxes.Live,
	})
	for i := range cm.Peers {
		var peer *swarm.Member
		if role == boxes.Entry {
			peer, err = sw.StartAgent(fmt.Sprintf("agent-%d", i), "dc", fmt.Sprintf("s-%d", i), "127.0.0.1:1")
		} else {
			peer, err = sw.StartEntry(fmt.Sprintf("entry-%d", i), "dc")
		}
		if err != nil {
			return nil, nil, err
		}
		list = append(list, peer.Box)
	}
	return measured, list, nil
}

// entryAdminAddress returns the administration address of the first entry in a list, "" for none.
func entryAdminAddress(list []boxes.Box) string {
	for _, bo := range list {
		if bo.Role == boxes.Entry {
			return bo.Admin
		}
	}
	return ""
}

// configWithServers returns a configuration with the given number of backend servers.
func configWithServers(servers int) *config.Document {
	doc := &config.Document{
		Models: []config.Model{{Name: "menu", Labels: selector.Labels{"tier": "strong"}}, {Name: "notes", Labels: selector.Labels{"tier": "cheap"}}},
		Teams:  []config.Team{{Name: "team", KeyDigests: []string{config.KeyDigest("key")}}},
		Grants: []config.Grant{{Versions: &selector.Selector{}, Services: &selector.Selector{}}},
	}
	for _, ve := range []string{"v1", "v2"} {
		doc.Versions = append(doc.Versions,
			config.Version{Model: "menu", Name: ve, State: config.Serving, InputPrice: 10, OutputPrice: 20},
			config.Version{Model: "notes", Name: ve, State: config.Serving, InputPrice: 1, OutputPrice: 2})
	}
	for i := range servers {
		doc.Servers = append(doc.Servers, config.Server{
			Name: fmt.Sprintf("s-%d", i), DataCentre: "dc", Slots: 4096,
			Labels:   selector.Labels{"rack": fmt.Sprintf("r-%d", i%40), "accelerator": "eight"},
			Versions: []string{"menu@v1", "menu@v2", "notes@v1", "notes@v2"},
		})
	}
	return doc
}
