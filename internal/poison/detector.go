package poison

import "time"

const (
	// MinCrashes is the number of crashed servers after which a request is blocked. A single crash
	// is weak evidence, since every request on the server is suspected.
	MinCrashes = 3
	// crashInterval is the interval within which crashes are attributed to a common cause, such as
	// the failure of a rack, which takes down all its servers at once. A poison request crashes one
	// server after the other, each in its first steps there.
	crashInterval = 100 * time.Millisecond
	// maxPerInterval is how many crashes within that interval count against a request, provided
	// that it was sent to the later server after the earlier one had crashed. With a limit of 1, a
	// request that crashes servers immediately and is sent every few seconds crashed nine servers
	// before it was blocked. With 3, harmless requests that are retried along a failing rack are
	// counted.
	maxPerInterval = 2
	// suspectRetention is how long crashes are remembered. Callers retry within seconds or minutes.
	// It is longer than FirstBlockDuration, so that one more crash after the first block is enough.
	suspectRetention = 10 * time.Minute
	// harmlessRetention is the minimum time for which a request is known to be harmless; the
	// maximum is twice that.
	harmlessRetention = time.Minute
	// maxHarmless bounds the fingerprints in each of the two generations: some minutes of a busy
	// gateway, 64 KB.
	maxHarmless = 4096
	// suspicionRetention is how long suspicions are stored to be sent to other gateways. Other
	// gateways stop exchanging reports with a gateway that was silent for longer.
	suspicionRetention = 10 * time.Second
	// maxSuspects bounds the suspected requests, at some 250 B each. Where many servers crash, most
	// requests that ran there are suspected once.
	maxSuspects = 1 << 14
	// maxRecent bounds the suspicions that are stored to be sent to other gateways, maxPerMessage
	// those in one message, at some 50 B each.
	maxRecent     = 1024
	maxPerMessage = 128
)

// Suspicion records that a request was on a server shortly before the server crashed. Its fields
// are exported because the codec needs them.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Server identifies the server process; a restarted server has another identifier.
	Server string `cbor:"2,keyasint"`
	// SinceCrash is the time since the server crashed, RequestAge how long before the crash the
	// request had been sent to it.
	SinceCrash time.Duration `cbor:"3,keyasint"`
	RequestAge time.Duration `cbor:"4,keyasint"`
	// ResponseAge is how long before the crash the response had begun, zero if it had not.
	ResponseAge time.Duration `cbor:"5,keyasint,omitempty"`
	// Team, Service and Parts are those of the request.
	Team    string   `cbor:"6,keyasint,omitempty"`
	Service string   `cbor:"7,keyasint,omitempty"`
	Parts   []string `cbor:"8,keyasint,omitempty"`
}

// Detector counts the servers that crashed under each request, from the suspicions of all gateways.
// Its exported fields are set before use. It is not safe for concurrent use.
type Detector struct {
	// MinCrashes is the number of crashes from which a request is considered to cause them.
	MinCrashes int

	suspects map[Fingerprint]*suspect
	// harmless and previousHarmless hold the requests that were answered completely by servers that
	// stayed up: the current generation and the one before. rotated is when the current one began.
	harmless, previousHarmless map[Fingerprint]bool
	rotated                    time.Time
	// recent holds the suspicions to send to others, oldest first; dropped is the number of those
	// that were removed from its front.
	recent  []timedSuspicion
	dropped uint64
}

// suspect is the evidence against one request.
type suspect struct {
	// servers holds the server processes that crashed under the request, groups the times at which
	// they did; crashes is the number that count.
	servers map[string]bool
	groups  []crashGroup
	crashes int
	latest  time.Time
	// firstBlocked is when the request was first considered to cause the crashes, zero before.
	firstBlocked time.Time
}

// crashGroup holds the crashes around one time; crashes is the number that count.
type crashGroup struct {
	at      time.Time
	crashes int
}

// count counts a crash of a server to which the request had been sent before.
func (su *suspect) count(sent, crashed time.Time) {
	for i := range su.groups {
		gr := &su.groups[i]
		if crashed.Sub(gr.at).Abs() >= crashInterval {
			continue
		}
		if gr.crashes < maxPerInterval && sent.After(gr.at) {
			gr.crashes++
			su.crashes++
		}
		return
	}
	su.groups = append(su.groups, crashGroup{at: crashed, crashes: 1})
	su.crashes++
}

type timedSuspicion struct {
	Suspicion
	at time.Time
}

// Record records a suspicion of this process or of another gateway. It returns for how long the
// request is to be blocked if it is now considered to cause crashes, and zero otherwise.
func (de *Detector) Record(sn Suspicion, now time.Time) time.Duration {
	if de.IsHarmless(sn.Fingerprint) {
		return 0
	}
	if de.suspects == nil {
		de.suspects = map[Fingerprint]*suspect{}
	}
	su := de.suspects[sn.Fingerprint]
	if su == nil {
		if len(de.suspects) >= maxSuspects {
			return 0
		}
		su = &suspect{servers: map[string]bool{}}
		de.suspects[sn.Fingerprint] = su
	}
	if su.servers[sn.Server] {
		return 0
	}
	su.servers[sn.Server], su.latest = true, now
	crashed := now.Add(-sn.SinceCrash)
	su.count(crashed.Add(-sn.RequestAge), crashed)
	de.appendRecent(timedSuspicion{sn, now})
	if su.crashes < de.MinCrashes {
		return 0
	}
	return su.blockDuration(now)
}

// blockDuration returns for how long the request is to be blocked.
func (su *suspect) blockDuration(now time.Time) time.Duration {
	if su.firstBlocked.IsZero() {
		su.firstBlocked = now
	}
	if now.Sub(su.firstBlocked) < FirstBlockDuration {
		return FirstBlockDuration
	}
	return RepeatBlockDuration
}

// CrashedServers returns how many servers are known to have crashed under a request.
func (de *Detector) CrashedServers(fp Fingerprint) int {
	if su := de.suspects[fp]; su != nil {
		return len(su.servers)
	}
	return 0
}

// MarkHarmless records that servers stayed up after complete responses to a request. A request that
// is sent often, or by many callers, is sooner or later on a server that crashes for another
// reason, and must not be suspected of that crash.
func (de *Detector) MarkHarmless(fp Fingerprint, now time.Time) {
	if de.harmless == nil || now.Sub(de.rotated) >= harmlessRetention || len(de.harmless) >= maxHarmless {
		de.harmless, de.previousHarmless, de.rotated = map[Fingerprint]bool{}, de.harmless, now
	}
	de.harmless[fp] = true
	delete(de.suspects, fp)
}

// Update prunes finished runs and expired state, and marks the requests as harmless that servers
// answered completely and survived. It returns the runs that Prune does.
func (de *Detector) Update(rs *Runs, now time.Time) (harmless, cleared []*Run) {
	harmless, cleared = rs.Prune(now)
	for _, ru := range harmless {
		de.MarkHarmless(ru.subject.Fingerprint, now)
	}
	de.Expire(now)
	return harmless, cleared
}

// Forget drops the evidence against a request.
func (de *Detector) Forget(fp Fingerprint) { delete(de.suspects, fp) }

// IsHarmless reports whether a request was recently marked as harmless.
func (de *Detector) IsHarmless(fp Fingerprint) bool {
	return de.harmless[fp] || de.previousHarmless[fp]
}

func (de *Detector) appendRecent(ts timedSuspicion) {
	de.recent = append(de.recent, ts)
	if len(de.recent) > maxRecent {
		de.dropRecent(len(de.recent) - maxRecent)
	}
}

func (de *Detector) dropRecent(n int) {
	de.recent = append(de.recent[:0], de.recent[n:]...)
	de.dropped += uint64(n)
}

// Since returns the suspicions from a sequence number on, at most maxPerMessage, and the sequence
// number to continue from.
func (de *Detector) Since(next uint64, now time.Time) ([]Suspicion, uint64) {
	from := int(max(next, de.dropped) - de.dropped)
	if from >= len(de.recent) {
		return nil, de.dropped + uint64(len(de.recent))
	}
	list := de.recent[from:min(len(de.recent), from+maxPerMessage)]
	out := make([]Suspicion, len(list))
	for i, ts := range list {
		out[i] = ts.Suspicion
		out[i].SinceCrash += now.Sub(ts.at)
	}
	return out, de.dropped + uint64(from+len(list))
}

// Expire drops what is older than its retention period.
func (de *Detector) Expire(now time.Time) {
	expired := 0
	for expired < len(de.recent) && now.Sub(de.recent[expired].at) >= suspicionRetention {
		expired++
	}
	if expired > 0 {
		de.dropRecent(expired)
	}
	for fp, su := range de.suspects {
		if now.Sub(su.latest) >= suspectRetention {
			delete(de.suspects, fp)
		}
	}
	if now.Sub(de.rotated) >= 2*harmlessRetention {
		de.harmless, de.previousHarmless = nil, nil
	}
}
