package main

// extent is the range that a figure is drawn from.
type extent struct{ from, to float64 }

// target says what a trouble is aimed at; empty leaves it to the day's own seed.
type target string

// The targets, each one of the deployment's.
const (
	aService target = "service"
	aClass   target = "class"
	aZone    target = "zone"
)

// trouble is one kind of disruption and how it may be drawn. Fields whose range is
// empty are left to the player's defaults.
type trouble struct {
	kind string
	// planned marks the operators' own work.
	planned bool
	// variants hold what may stand under "how"; a kind without any has none.
	variants []string
	// at is one of the targets; with a chance of a half it is left open.
	at target
	// needed targets are always named.
	needed bool
	// share is a part of the things that fit and size a number of them, times how strong
	// the trouble is, lasts how long it lasts and gap the pause between its steps, both in
	// seconds.
	share, size, times, lasts, gap extent
}

// troubles lists the kinds of disruption, with ranges about those of the users' own
// days and beyond.
func troubles() []trouble {
	cuts := []string{"", "reset", "refuse", "one_way", "meet", "race", "drain", "reset revoke", "leader race", "meet drain"}
	return []trouble{
		{kind: "burst", at: aClass, times: extent{1.3, 2.6}, lasts: extent{2, 8}},
		{kind: "shift", share: extent{0.2, 0.6}, lasts: extent{3, 9}},
		{kind: "hot_key", at: aClass, share: extent{0.15, 0.5}, lasts: extent{3, 9}},
		{kind: "hot_tenant", times: extent{4, 12}, lasts: extent{3, 12}},
		{kind: "retry_abuse", share: extent{0.2, 0.5}, times: extent{2, 5}, lasts: extent{3, 8}},
		{kind: "give_up", variants: []string{"", "once"}, share: extent{0.15, 0.5}, lasts: extent{3, 8}},
		{kind: "srv_crash", variants: []string{"", "dark", "gone", "domain"}, at: aService, share: extent{0.1, 0.35}, lasts: extent{2, 6}},
		{kind: "srv_slow", at: aService, share: extent{0.1, 0.25}, times: extent{2, 8}, lasts: extent{3, 9}},
		{
			kind: "srv_grey", at: aService, share: extent{0.08, 0.25}, times: extent{0.2, 0.7}, lasts: extent{3, 9},
			variants: []string{"errors", "shed", "busy", "hang", "reset", "mute", "errors one_zone"},
		},
		{kind: "srv_lying_health", variants: []string{"errors", "hang", "reset", "bad"}, share: extent{0.08, 0.2}, lasts: extent{3, 9}},
		{kind: "srv_flap", share: extent{0.08, 0.2}, lasts: extent{4, 9}, gap: extent{0.8, 2}},
		{kind: "srv_cut", variants: []string{"", "one_way", "reset", "reborn", "fronts", "some"}, share: extent{0.1, 0.3}, lasts: extent{3, 8}},
		{kind: "cold_return", variants: []string{"", "dark"}, at: aZone, needed: true, lasts: extent{1.5, 6}},
		{kind: "evacuate", planned: true, variants: []string{"", "warm"}, at: aZone, needed: true, lasts: extent{3, 14}},
		{kind: "zone_loss", lasts: extent{2, 5}},
		{kind: "zone_cut", at: aZone, needed: true, lasts: extent{2, 6}},
		{kind: "release", planned: true, at: aService, share: extent{0.3, 0.7}, times: extent{1, 1}, gap: extent{0.8, 2}},
		{kind: "scale_in", planned: true, variants: []string{"", "spot"}, share: extent{0.1, 0.3}},
		{kind: "scale_out", planned: true, share: extent{0.1, 0.4}, gap: extent{0.5, 2}},
		{kind: "replace_with_reuse", variants: []string{"", "drain", "dark"}, share: extent{0.08, 0.2}},
		{kind: "answer_lost", variants: []string{"", "reset"}, at: aService, share: extent{0.3, 0.7}, times: extent{0.02, 0.3}, lasts: extent{3, 7}},
		{kind: "garble", variants: []string{"", "extra", "unframed", "early", "extra late"}, share: extent{0.3, 0.6}, times: extent{0.02, 0.06}, lasts: extent{3, 7}},
		{kind: "idle_race", share: extent{0.3, 0.6}, times: extent{200, 500}, lasts: extent{3, 8}},
		{kind: "node_kill", variants: []string{"", "power", "leader", "leader race drain", "meet drain"}, size: extent{1, 1}, lasts: extent{2, 5}},
		{kind: "node_freeze", variants: []string{"", "renewed", "giver", "leader"}, share: extent{0.1, 0.35}, lasts: extent{1, 5}},
		{kind: "node_slow", share: extent{0.1, 0.35}, times: extent{2, 6}, lasts: extent{3, 8}},
		{kind: "herd_kill", variants: []string{"", "power"}, share: extent{0.4, 1}, lasts: extent{1, 3}},
		{kind: "roll_term", planned: true, variants: []string{"", "busy", "leader"}, share: extent{0.3, 1}, times: extent{1, 1}, gap: extent{1, 2}},
		{kind: "add_nodes", planned: true, size: extent{1, 1}},
		{kind: "after_ack_kill", variants: []string{"", "kill", "timed"}, lasts: extent{2, 4}},
		{kind: "clock_step", variants: []string{"", "ahead", "back"}, share: extent{0.2, 0.6}, times: extent{1000, 4000}, lasts: extent{3, 8}},
		{kind: "hup", planned: true, share: extent{0.3, 1}, gap: extent{0.3, 2}},
		{kind: "reset_conns", share: extent{0.1, 0.4}, times: extent{0.3, 0.9}},
		{kind: "core_cut", variants: cuts, size: extent{1, 2}, lasts: extent{2, 8}},
		{kind: "node_cut", variants: append([]string{"all", "servers", "servers reborn"}, cuts...), share: extent{0.1, 0.35}, lasts: extent{2, 10}},
		{kind: "lossy", at: aZone, needed: true, times: extent{0.01, 0.05}, lasts: extent{3, 8}},
		{
			kind: "platform_down", share: extent{0.3, 0.4}, lasts: extent{2, 9},
			variants: []string{
				"silent", "busy", "reset", "silent lapse", "nodes", "nodes busy", "nodes many revoke", "nodes reset revoke meet drain",
				"nodes silent revoke meet drain", "nodes leader",
			},
		},
		{kind: "platform_slow", times: extent{20, 80}, lasts: extent{3, 7}},
		{kind: "platform_lost", variants: []string{"", "late"}, times: extent{0.2, 0.5}, lasts: extent{3, 7}},
		{kind: "platform_compact", variants: []string{"", "drain"}, times: extent{2, 6}, lasts: extent{3, 12}},
		{kind: "config_change", planned: true, variants: []string{"route", "weights", "timeout", "tenant", "quota", "topup", "idle"}},
		{kind: "config_storm", planned: true, lasts: extent{2, 5}, gap: extent{0.25, 0.6}},
		{kind: "big_config", planned: true, size: extent{200, 800}},
		{kind: "revoke", planned: true, variants: []string{"", "last"}, size: extent{1, 3}, gap: extent{0.1, 1.5}},
		{kind: "rollout_good", planned: true, at: aService, needed: true, lasts: extent{12, 26}},
		{
			kind: "rollout_bad", planned: true, at: aService, needed: true, lasts: extent{12, 26}, share: extent{0.25, 0.7}, gap: extent{1, 8},
			variants: []string{"errors", "slow", "under_load", "one_class", "late"},
		},
	}
}
