package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minPartCrashes is the number of crashed servers from which a part is considered to cause them,
	// minPartRequests the number of different requests with it that were on them. Copies of one request
	// are one witness against its parts, however often they are sent.
	minPartCrashes  = 3
	minPartRequests = 2
	// minPartGroups is the number of times, crashInterval apart, at which these servers crashed. The
	// servers of a rack that fails crash at the same time.
	minPartGroups = 2
	// minDisprovedCrashes is the number of crashes after which a server must have survived a response with
	// a part to disprove a block. The time of a single crash may be wrong.
	minDisprovedCrashes = 2
	// minOtherTeamCrashes is the number of crashes that must have happened without the requests of the
	// team with the most, for a part to be blocked for all teams. A team alone can't get a part blocked
	// that others send.
	minOtherTeamCrashes = 2
	// askTime is the time from a crash until the clears of the suspected parts have arrived from other
	// processes.
	askTime = 250 * time.Millisecond
	// confirmTime is the time from the first crash until servers have completed and survived responses
	// that began after it. A part that was harmless until then is convicted only later than that.
	confirmTime = responseSurvivalTime + 300*time.Millisecond
	// maxCrashes bounds the crashes that are remembered, maxCrashSuspects the suspects of each. With 32
	// parts each they take some 6 MB.
	maxCrashes       = 128
	maxCrashSuspects = 64
	// maxRivals bounds the rivals in a verdict.
	maxRivals = 8
	// renewalAge is how long after its conviction a part's next crash renews the block for longer. Until
	// then crashes are by requests that were already in progress.
	renewalAge = FirstBlockDuration / 2
)

// Verdict is the finding that a part crashes servers.
type Verdict struct {
	Part Part
	// Crashes is the number of servers that crashed, Requests that of different requests with the part
	// that were on them.
	Crashes, Requests int
	// Duration is how long the part is to be blocked.
	Duration time.Duration
	// Rivals holds the ids of parts with the same evidence.
	Rivals []string
}

// PartDetector finds the parts of prompts that crash servers, whatever else the requests hold. Of the
// parts that the suspects of several crashes have in common it convicts the one that explains the most
// crashes and with which no server has survived a response since; what one part explains does not count
// against others. The zero value knows nothing. It is not safe for concurrent use.
type PartDetector struct {
	// crashes holds the crashes by server process, order these oldest first. recorded is when the last
	// suspicion was recorded.
	crashes  map[string]*serverCrash
	order    []string
	recorded time.Time
	clears   clearTable
	// convicted holds the convicted parts.
	convicted map[Part]*conviction
	// remote holds the parts that other processes suspect.
	remote map[Part]remoteSuspect
	// tallies sums up the evidence that counts, nil after a change. changed is set by evidence from
	// this process or others since TakeChanged.
	tallies map[Part]*tally
	changed bool
}

// conviction is the state of a convicted part.
type conviction struct {
	// first is when the part was convicted, seen when the last crash considered became known.
	first, seen time.Time
}

// serverCrash is the crash of a server process.
type serverCrash struct {
	at, recorded time.Time
	suspects     []crashSuspect
}

// crashSuspect is a request that was on a server shortly before it crashed.
type crashSuspect struct {
	Subject
	// began is when its response began, or the time of the crash if that is not known.
	began time.Time
}

// Record records a suspicion of this process or of another one. It reports whether it is new.
func (pd *PartDetector) Record(sn Suspicion, now time.Time) bool {
	if len(sn.Parts) == 0 || len(sn.Parts) > maxParts {
		return false
	}
	cr := pd.crash(sn, now)
	known := slices.ContainsFunc(cr.suspects, func(cs crashSuspect) bool { return cs.Fingerprint == sn.Fingerprint })
	if known || len(cr.suspects) >= maxCrashSuspects {
		return false
	}
	cr.suspects = append(cr.suspects, crashSuspect{
		Subject: Subject{Fingerprint: sn.Fingerprint, Team: sn.Team, Service: sn.Service, Parts: sn.Parts},
		began:   cr.at.Add(-sn.ResponseAge),
	})
	pd.recorded, pd.tallies, pd.changed = now, nil, true
	return true
}

// TakeChanged reports whether there is new evidence since the last call.
func (pd *PartDetector) TakeChanged() bool {
	changed := pd.changed
	pd.changed = false
	return changed
}

// crash returns the crash that a suspicion is about.
func (pd *PartDetector) crash(sn Suspicion, now time.Time) *serverCrash {
	if cr := pd.crashes[sn.Server]; cr != nil {
		return cr
	}
	if pd.crashes == nil {
		pd.crashes = map[string]*serverCrash{}
	}
	if len(pd.order) >= maxCrashes {
		pd.dropOldest()
	}
	cr := &serverCrash{at: now.Add(-sn.SinceCrash), recorded: now}
	pd.crashes[sn.Server] = cr
	pd.order = append(pd.order, sn.Server)
	return cr
}

func (pd *PartDetector) dropOldest() {
	delete(pd.crashes, pd.order[0])
	pd.order = pd.order[1:]
	pd.tallies = nil
}

// Clear records that a server survived a response to a request with a part that began at a time.
func (pd *PartDetector) Clear(pa Part, began, now time.Time) {
	if pd.clears.add(pa, began, now) && (pd.tallies[pa] != nil || pd.tallies[pa.forAllTeams()] != nil) {
		pd.tallies, pd.changed = nil, true
	}
}

// Convicted records that another process has convicted a part.
func (pd *PartDetector) Convicted(pa Part, now time.Time) {
	if pd.convicted[pa] == nil {
		pd.convict(pa, now)
	}
}

func (pd *PartDetector) convict(pa Part, now time.Time) {
	if pd.convicted == nil {
		pd.convicted = map[Part]*conviction{}
	}
	pd.convicted[pa] = &conviction{first: now, seen: now}
	pd.tallies = nil
}

// Exonerate drops the conviction of a part and the evidence against it up to now.
func (pd *PartDetector) Exonerate(pa Part, now time.Time) {
	delete(pd.convicted, pa)
	pd.tallies = nil
	pd.clears.add(pa, now, now)
	for _, cr := range pd.crashes {
		for _, cs := range cr.suspects {
			if cs.Has(pa) {
				pd.clears.add(cs.part(pa.ID), now, now)
			}
		}
	}
}

// Convict returns the parts that are now considered to crash servers, and those whose block has to be
// renewed. runs returns how many recent runs had a part: of parts that the same requests have, the one
// with the fewest runs is convicted.
func (pd *PartDetector) Convict(runs func(pa Part) int, now time.Time) []Verdict {
	if len(pd.crashes) == 0 {
		return nil
	}
	var verdicts []Verdict
	for {
		worst := pd.worst(runs, now)
		if worst == nil {
			return append(verdicts, pd.renewals(now)...)
		}
		ve := worst.verdict(FirstBlockDuration)
		ve.Rivals = pd.rivals(worst)
		pd.convict(worst.part, now)
		verdicts = append(verdicts, ve)
	}
}

// worst returns the part to convict next, nil if there is none.
func (pd *PartDetector) worst(runs func(pa Part) int, now time.Time) *tally {
	var worst *tally
	for _, ta := range pd.evidence() {
		if ta.suffices() && ta.isSettled(now) && !pd.isConvicted(ta.part) && (worst == nil || compareTallies(ta, worst, runs) < 0) {
			worst = ta
		}
	}
	return worst
}

// rivals returns the ids of the parts with the same evidence as one that is to be convicted.
func (pd *PartDetector) rivals(worst *tally) []string {
	var ids []string
	for _, ta := range pd.evidence() {
		isRival := ta.part.ID != worst.part.ID && ta.suffices() && ta.weight() == worst.weight() && !pd.isConvicted(ta.part)
		if isRival && len(ids) < maxRivals && !slices.Contains(ids, ta.part.ID) {
			ids = append(ids, ta.part.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// compareTallies orders tallies by how likely their parts crash servers, the most likely first.
func compareTallies(a, b *tally, runs func(pa Part) int) int {
	return cmp.Or(
		cmp.Compare(b.weight(), a.weight()),
		cmp.Compare(runs(a.part), runs(b.part)),
		cmp.Compare(a.part.ID, b.part.ID),
		cmp.Compare(len(b.teams), len(a.teams)),
	)
}

// isConvicted reports whether a part is convicted, for its team or for all.
func (pd *PartDetector) isConvicted(pa Part) bool {
	return pd.convicted[pa] != nil || pd.convicted[pa.forAllTeams()] != nil
}

// renewals returns the verdicts on convicted parts under which servers crashed long after the
// conviction.
func (pd *PartDetector) renewals(now time.Time) []Verdict {
	var verdicts []Verdict
	for pa, co := range pd.convicted {
		ta := pd.evidence()[pa]
		if ta == nil || !ta.known.After(co.seen) {
			continue
		}
		co.seen = ta.known
		if now.Sub(co.first) >= renewalAge {
			verdicts = append(verdicts, ta.verdict(RepeatBlockDuration))
		}
	}
	return verdicts
}

// Crashes returns how many servers are known to have crashed under a part.
func (pd *PartDetector) Crashes(pa Part) int {
	n := 0
	for _, cr := range pd.crashes {
		if cr.hasSuspect(pa) {
			n++
		}
	}
	return n
}

// Disproves reports whether servers survived responses with a part that began after several servers
// had crashed under it, and too few crashed later to convict it.
func (pd *PartDetector) Disproves(pa Part) bool {
	earlier, later := 0, 0
	for _, cr := range pd.crashes {
		switch {
		case !cr.hasSuspect(pa):
		case slices.ContainsFunc(cr.suspects, func(cs crashSuspect) bool { return cs.Has(pa) && !pd.isCleared(pa, cs.began) }):
			later++
		default:
			earlier++
		}
	}
	return earlier >= minDisprovedCrashes && later < minPartCrashes
}

// isCleared reports whether a server survived a response with a part that began at a time or later.
func (pd *PartDetector) isCleared(pa Part, began time.Time) bool {
	cleared := pd.clears.latest(pa)
	return !cleared.IsZero() && !began.After(cleared)
}

// Clears returns the known clears of the given parts.
func (pd *PartDetector) Clears(parts []Part, now time.Time) []Clear {
	var list []Clear
	for _, pa := range parts {
		if at := pd.clears.latest(pa); !at.IsZero() && len(list) < MaxSuspects {
			list = append(list, Clear{pa, now.Sub(at)})
		}
	}
	return list
}

// IsCleared reports whether a server recently survived a response with a part.
func (pd *PartDetector) IsCleared(pa Part) bool { return !pd.clears.latest(pa).IsZero() }

// Expire drops what is older than its retention period.
func (pd *PartDetector) Expire(now time.Time) {
	for len(pd.order) > 0 && now.Sub(pd.crashes[pd.order[0]].recorded) >= suspectRetention {
		pd.dropOldest()
	}
	maps.DeleteFunc(pd.convicted, func(_ Part, co *conviction) bool { return now.Sub(co.seen) >= 2*RepeatBlockDuration })
	pd.clears.expire(now)
}
