package main

// valueRange is a range for random values.
type valueRange struct{ from, to float64 }

// targetKind is the kind of a disruption's target. With an empty one the simulator chooses by the day's
// seed.
type targetKind string

// The kinds of targets, by the name of their field in a day's file.
const (
	targetService targetKind = "service"
	targetClass   targetKind = "class"
	targetZone    targetKind = "zone"
)

// disruption is a kind of disruption and the ranges of its parameters. Parameters with an empty
// range get the simulator's defaults.
type disruption struct {
	kind string
	// planned marks operations by the operators as opposed to faults.
	planned bool
	// variants contains the possible values of "how", if the kind has any.
	variants []string
	// target is the kind of target. Unless targetRequired is set, the target is omitted with a
	// probability of one half.
	target targetKind
	// targetRequired is set if the target is always given.
	targetRequired bool
	// share is the fraction of the matching objects that are affected and count their number.
	// factor is the strength of the disruption, duration its length and gap the pause between its
	// steps, both in seconds.
	share, count, factor, duration, gap valueRange
}

// disruptionKinds returns the kinds of disruption, with ranges that include the values of the users'
// own days and go somewhat beyond them.
func disruptionKinds() []disruption {
	cuts := []string{"", "reset", "refuse", "one_way", "meet", "race", "drain", "reset revoke", "leader race", "meet drain"}
	return []disruption{
		{kind: "burst", target: targetClass, factor: valueRange{1.3, 2.6}, duration: valueRange{2, 8}},
		{kind: "shift", share: valueRange{0.2, 0.6}, duration: valueRange{3, 9}},
		{kind: "hot_key", target: targetClass, share: valueRange{0.15, 0.5}, duration: valueRange{3, 9}},
		{kind: "hot_tenant", factor: valueRange{4, 12}, duration: valueRange{3, 12}},
		{kind: "retry_abuse", share: valueRange{0.2, 0.5}, factor: valueRange{2, 5}, duration: valueRange{3, 8}},
		{kind: "give_up", variants: []string{"", "once"}, share: valueRange{0.15, 0.5}, duration: valueRange{3, 8}},
		{kind: "srv_crash", variants: []string{"", "dark", "gone", "domain"}, target: targetService, share: valueRange{0.1, 0.35}, duration: valueRange{2, 6}},
		{kind: "srv_slow", target: targetService, share: valueRange{0.1, 0.25}, factor: valueRange{2, 8}, duration: valueRange{3, 9}},
		{
			kind: "srv_grey", target: targetService, share: valueRange{0.08, 0.25}, factor: valueRange{0.2, 0.7}, duration: valueRange{3, 9},
			variants: []string{"errors", "shed", "busy", "hang", "reset", "mute", "errors one_zone"},
		},
		{kind: "srv_lying_health", variants: []string{"errors", "hang", "reset", "bad"}, share: valueRange{0.08, 0.2}, duration: valueRange{3, 9}},
		{kind: "srv_flap", share: valueRange{0.08, 0.2}, duration: valueRange{4, 9}, gap: valueRange{0.8, 2}},
		{kind: "srv_cut", variants: []string{"", "one_way", "reset", "reborn", "fronts", "some"}, share: valueRange{0.1, 0.3}, duration: valueRange{3, 8}},
		{kind: "cold_return", variants: []string{"", "dark"}, target: targetZone, targetRequired: true, duration: valueRange{1.5, 6}},
		{kind: "evacuate", planned: true, variants: []string{"", "warm"}, target: targetZone, targetRequired: true, duration: valueRange{3, 14}},
		{kind: "zone_loss", duration: valueRange{2, 5}},
		{kind: "zone_cut", target: targetZone, targetRequired: true, duration: valueRange{2, 6}},
		{kind: "release", planned: true, target: targetService, share: valueRange{0.3, 0.7}, factor: valueRange{1, 1}, gap: valueRange{0.8, 2}},
		{kind: "scale_in", planned: true, variants: []string{"", "spot"}, share: valueRange{0.1, 0.3}},
		{kind: "scale_out", planned: true, share: valueRange{0.1, 0.4}, gap: valueRange{0.5, 2}},
		{kind: "replace_with_reuse", variants: []string{"", "drain", "dark"}, share: valueRange{0.08, 0.2}},
		{kind: "answer_lost", variants: []string{"", "reset"}, target: targetService, share: valueRange{0.3, 0.7}, factor: valueRange{0.02, 0.3}, duration: valueRange{3, 7}},
		{kind: "garble", variants: []string{"", "extra", "unframed", "early", "extra late"}, share: valueRange{0.3, 0.6}, factor: valueRange{0.02, 0.06}, duration: valueRange{3, 7}},
		{kind: "idle_race", share: valueRange{0.3, 0.6}, factor: valueRange{200, 500}, duration: valueRange{3, 8}},
		{kind: "node_kill", variants: []string{"", "power", "leader", "leader race drain", "meet drain"}, count: valueRange{1, 1}, duration: valueRange{2, 5}},
		{kind: "node_freeze", variants: []string{"", "renewed", "giver", "leader"}, share: valueRange{0.1, 0.35}, duration: valueRange{1, 5}},
		{kind: "node_slow", share: valueRange{0.1, 0.35}, factor: valueRange{2, 6}, duration: valueRange{3, 8}},
		{kind: "herd_kill", variants: []string{"", "power"}, share: valueRange{0.4, 1}, duration: valueRange{1, 3}},
		{kind: "roll_term", planned: true, variants: []string{"", "busy", "leader"}, share: valueRange{0.3, 1}, factor: valueRange{1, 1}, gap: valueRange{1, 2}},
		{kind: "add_nodes", planned: true, count: valueRange{1, 1}},
		{kind: "after_ack_kill", variants: []string{"", "kill", "timed"}, duration: valueRange{2, 4}},
		{kind: "clock_step", variants: []string{"", "ahead", "back"}, share: valueRange{0.2, 0.6}, factor: valueRange{1000, 4000}, duration: valueRange{3, 8}},
		{kind: "hup", planned: true, share: valueRange{0.3, 1}, gap: valueRange{0.3, 2}},
		{kind: "reset_conns", share: valueRange{0.1, 0.4}, factor: valueRange{0.3, 0.9}},
		{kind: "core_cut", variants: cuts, count: valueRange{1, 2}, duration: valueRange{2, 8}},
		{kind: "node_cut", variants: append([]string{"all", "servers", "servers reborn"}, cuts...), share: valueRange{0.1, 0.35}, duration: valueRange{2, 10}},
		{kind: "lossy", target: targetZone, targetRequired: true, factor: valueRange{0.01, 0.05}, duration: valueRange{3, 8}},
		{
			kind: "platform_down", share: valueRange{0.3, 0.4}, duration: valueRange{2, 9},
			variants: []string{
				"silent", "busy", "reset", "silent lapse", "nodes", "nodes busy", "nodes many revoke", "nodes reset revoke meet drain",
				"nodes silent revoke meet drain", "nodes leader",
			},
		},
		{kind: "platform_slow", factor: valueRange{20, 80}, duration: valueRange{3, 7}},
		{kind: "platform_lost", variants: []string{"", "late"}, factor: valueRange{0.2, 0.5}, duration: valueRange{3, 7}},
		{kind: "platform_compact", variants: []string{"", "drain"}, factor: valueRange{2, 6}, duration: valueRange{3, 12}},
		{kind: "config_change", planned: true, variants: []string{"route", "weights", "timeout", "tenant", "quota", "topup", "idle"}},
		{kind: "config_storm", planned: true, duration: valueRange{2, 5}, gap: valueRange{0.25, 0.6}},
		{kind: "big_config", planned: true, count: valueRange{200, 800}},
		{kind: "revoke", planned: true, variants: []string{"", "last"}, count: valueRange{1, 3}, gap: valueRange{0.1, 1.5}},
		{kind: "rollout_good", planned: true, target: targetService, targetRequired: true, duration: valueRange{12, 26}},
		{
			kind: "rollout_bad", planned: true, target: targetService, targetRequired: true, duration: valueRange{12, 26}, share: valueRange{0.25, 0.7}, gap: valueRange{1, 8},
			variants: []string{"errors", "slow", "under_load", "one_class", "late"},
		},
	}
}

// unlistedKinds returns kinds that the simulator plays although it does not list them.
func unlistedKinds() []disruption {
	return []disruption{
		{kind: "poison", variants: []string{"deadly part"}, target: targetClass, share: valueRange{0.02, 0.06}, duration: valueRange{5, 20}},
		{kind: "reset_conns", variants: []string{"silent", "silent inner", "silent store", "silent servers"}, share: valueRange{0.4, 1}},
	}
}
