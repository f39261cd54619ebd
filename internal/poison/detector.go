package poison

import "time"

const (
	// MinCrashes is the number of servers that ended with a request after which it is not
	// sent any more. One end says little: all that was with the server is suspected.
	MinCrashes = 3
	// together is the span within which ends are taken for those of a rack, which takes its
	// servers at once; a request takes one after the other, each after its first steps there.
	together = 100 * time.Millisecond
	// mostTogether is how many ends within that span count against a request, if it was sent
	// to the later server after the earlier one had ended. Without a second one, a request
	// under which servers end at once, and that comes every few seconds, ended nine servers
	// before it was blocked; a third one is counted against requests that move along a rack.
	mostTogether = 2
	// caseKept is how long ends are remembered: callers repeat within seconds or minutes. It is
	// longer than FirstTerm, so that one end more is enough then.
	caseKept = 10 * time.Minute
	// soundKept is how long a request is held for sound at the least, twice that at the most.
	soundKept = time.Minute
	// mostSound bounds the fingerprints of one such span: some minutes of a busy gateway,
	// 64 KB.
	mostSound = 4096
	// newsKept is how long suspicions are told to others: a gateway that was silent for
	// longer has been left by them.
	newsKept = 10 * time.Second
	// mostCases bounds the requests that something is held against, at some 250 B each: where
	// many servers end, most of what was there is suspected once.
	mostCases = 1 << 14
	// mostNews bounds the suspicions that are kept for others, mostTold those that are told
	// at once, some 50 B each.
	mostNews = 1024
	mostTold = 128
)

// Suspicion says that a request was with a server just before it ended. Its fields are
// exported because the codec needs them.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Server names one life of a server.
	Server string `cbor:"2,keyasint"`
	// SinceCrash is how long ago the server ended, Lasted how long the request had been there.
	SinceCrash time.Duration `cbor:"3,keyasint"`
	RequestAge time.Duration `cbor:"4,keyasint"`
}

// Detector counts the servers that ended with each request, as all gateways saw it. Its
// exported fields are set before use. It is not safe for concurrent use.
type Detector struct {
	// MinCrashes is the number of ends from which a request is held to cause them.
	MinCrashes int

	cases map[Fingerprint]*oneCase
	// sound and soundBefore hold the requests whose whole answers came from servers that
	// lived on, of this span and the one before; turned is when this one began.
	sound, soundBefore map[Fingerprint]bool
	turned             time.Time
	// news holds what others are to hear, oldest first; told is how many there were before.
	news []timedSuspicion
	told uint64
}

// oneCase is what is held against one request.
type oneCase struct {
	// servers holds the lives that ended with it, moments when they did; ends is how many
	// count.
	servers map[string]bool
	moments []moment
	ends    int
	newest  time.Time
	// held is when the request was first held to cause the ends, zero before.
	held time.Time
}

// moment is a time at which servers ended, and how many of them count.
type moment struct {
	at   time.Time
	ends int
}

// count counts the end of a server to which the request had been sent at a time.
func (on *oneCase) count(sent, at time.Time) {
	for i := range on.moments {
		mo := &on.moments[i]
		if at.Sub(mo.at).Abs() >= together {
			continue
		}
		if mo.ends < mostTogether && sent.After(mo.at) {
			mo.ends++
			on.ends++
		}
		return
	}
	on.moments = append(on.moments, moment{at: at, ends: 1})
	on.ends++
}

type timedSuspicion struct {
	Suspicion
	at time.Time
}

// Record takes a suspicion, an own one or another gateway's. If the request is held to cause
// the ends now, it returns for how long it is not to be sent, zero otherwise.
func (ca *Detector) Record(su Suspicion, now time.Time) time.Duration {
	if ca.IsHarmless(su.Fingerprint) {
		return 0
	}
	if ca.cases == nil {
		ca.cases = map[Fingerprint]*oneCase{}
	}
	on := ca.cases[su.Fingerprint]
	if on == nil {
		if len(ca.cases) >= mostCases {
			return 0
		}
		on = &oneCase{servers: map[string]bool{}}
		ca.cases[su.Fingerprint] = on
	}
	if on.servers[su.Server] {
		return 0
	}
	on.servers[su.Server], on.newest = true, now
	at := now.Add(-su.SinceCrash)
	on.count(at.Add(-su.RequestAge), at)
	ca.tell(timedSuspicion{su, now})
	if on.ends < ca.MinCrashes {
		return 0
	}
	return on.term(now)
}

// term returns for how long the request is not to be sent that is held to cause ends.
func (on *oneCase) term(now time.Time) time.Duration {
	if on.held.IsZero() {
		on.held = now
	}
	if now.Sub(on.held) < FirstBlockDuration {
		return FirstBlockDuration
	}
	return RepeatBlockDuration
}

// CrashedServers returns how many servers are known to have ended with a request.
func (ca *Detector) CrashedServers(pr Fingerprint) int {
	if on := ca.cases[pr]; on != nil {
		return len(on.servers)
	}
	return 0
}

// MarkHarmless notes that servers live on after whole answers to a request: what is sent often, or
// by many alike, is with a server that ends sooner or later.
func (ca *Detector) MarkHarmless(pr Fingerprint, now time.Time) {
	if ca.sound == nil || now.Sub(ca.turned) >= soundKept || len(ca.sound) >= mostSound {
		ca.sound, ca.soundBefore, ca.turned = map[Fingerprint]bool{}, ca.sound, now
	}
	ca.sound[pr] = true
	delete(ca.cases, pr)
}

// Update lets go of what is over at the servers and of what is old here, and acquits what was
// answered as a whole by servers that lived on. It returns that.
func (ca *Detector) Update(rs *Runs, now time.Time) []Fingerprint {
	sound := rs.Prune(now)
	for _, pr := range sound {
		ca.MarkHarmless(pr, now)
	}
	ca.Expire(now)
	return sound
}

// Forget drops what is held against a request.
func (ca *Detector) Forget(pr Fingerprint) { delete(ca.cases, pr) }

// IsHarmless reports whether a request was acquitted lately.
func (ca *Detector) IsHarmless(pr Fingerprint) bool { return ca.sound[pr] || ca.soundBefore[pr] }

func (ca *Detector) tell(su timedSuspicion) {
	ca.news = append(ca.news, su)
	if len(ca.news) > mostNews {
		ca.drop(len(ca.news) - mostNews)
	}
}

func (ca *Detector) drop(n int) {
	ca.news = append(ca.news[:0], ca.news[n:]...)
	ca.told += uint64(n)
}

// Since returns the suspicions that somebody has not heard who has heard those before a
// number, and the number to go on from.
func (ca *Detector) Since(heard uint64, now time.Time) ([]Suspicion, uint64) {
	from := int(max(heard, ca.told) - ca.told)
	if from >= len(ca.news) {
		return nil, ca.told + uint64(len(ca.news))
	}
	list := ca.news[from:min(len(ca.news), from+mostTold)]
	news := make([]Suspicion, len(list))
	for i, su := range list {
		news[i] = su.Suspicion
		news[i].SinceCrash += now.Sub(su.at)
	}
	return news, ca.told + uint64(from+len(list))
}

// Expire forgets what is old.
func (ca *Detector) Expire(now time.Time) {
	old := 0
	for old < len(ca.news) && now.Sub(ca.news[old].at) >= newsKept {
		old++
	}
	if old > 0 {
		ca.drop(old)
	}
	for pr, on := range ca.cases {
		if now.Sub(on.newest) >= caseKept {
			delete(ca.cases, pr)
		}
	}
	if now.Sub(ca.turned) >= 2*soundKept {
		ca.sound, ca.soundBefore = nil, nil
	}
}
