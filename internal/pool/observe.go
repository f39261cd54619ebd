package pool

import "time"

// Started records the start of an attempt and the expected time for reading its prompt. Like the
// methods below it takes the key of a server's life.
func (po *Pool) Started(id string, read time.Duration, now time.Time) {
	if po.running == nil {
		po.running = map[string]int{}
		po.reading = map[string]time.Duration{}
	}
	po.running[id]++
	po.reading[id] += read
	po.outliers.Sent(id, now)
}

// PrefillDone records that the prompt of an attempt was read or dropped.
func (po *Pool) PrefillDone(id string, read time.Duration) {
	po.reading[id] = max(0, po.reading[id]-read)
}

// HeadReceived records the time from an offer to the head of the answer.
func (po *Pool) HeadReceived(of Selection, pr Prompt, took time.Duration, now time.Time) {
	id := of.server.Key()
	if pr.PrefixID == "" {
		return
	}
	known := po.holdings.has(id, pr.start(), now)
	again := pr.FullID != "" && po.holdings.has(anyServer, pr.whole(), now)
	if !again {
		po.learn(of, pr, took-headOverhead, known)
	}
	po.holdings.add(id, pr.start(), now)
	if pr.FullID != "" {
		po.holdings.add(id, pr.whole(), now)
		po.holdings.add(anyServer, pr.whole(), now)
	}
}

// learn updates the model's reading speed from a prompt that no server had read before, and the
// chance that a server holds a prompt's start.
func (po *Pool) learn(of Selection, pr Prompt, took time.Duration, known bool) {
	po.speeds.Observe(pr.Model, pr.SuffixTokens, took)
	re := po.readingOf(pr)
	if known || re.shared < leastTellingRead {
		return
	}
	po.holdings.learn(of.home, took < of.wait+re.own+re.shared/2)
}

// Responded records an answer of a server.
func (po *Pool) Responded(id string, now time.Time) {
	if po.responses == nil {
		po.responses = map[string]time.Time{}
	}
	po.responses[id] = now
}

// LastResponse returns when a server last answered, the zero time if it never did.
func (po *Pool) LastResponse(id string) time.Time { return po.responses[id] }

// Ended records the end of an attempt.
func (po *Pool) Ended(id string) {
	po.running[id]--
	if po.running[id] <= 0 {
		delete(po.running, id)
		delete(po.reading, id)
	}
}

// Succeeded records a successful answer. It reports whether that ends the server's ejection.
func (po *Pool) Succeeded(id string) bool { return po.outliers.Succeeded(id) }

// Failed records a failure of a server. It reports whether that ejects it.
func (po *Pool) Failed(id string, now time.Time) bool { return po.outliers.Failed(id, now) }

// Unreachable records a failed connection to a server. It reports whether that ejects it.
func (po *Pool) Unreachable(id string, now time.Time) bool { return po.outliers.Unreachable(id, now) }

// Forget drops observations of a server whose entry ended. What the server reported about itself
// stays, since its entry may lapse and reappear within one life.
func (po *Pool) Forget(id string) {
	po.outliers.Forget(id)
	po.holdings.forget(id)
	po.Warmup.Forget(id)
	delete(po.responses, id)
}

// ForgetInstance drops all state of a server's life that has ended.
func (po *Pool) ForgetInstance(id string) {
	po.Forget(id)
	po.Limits.Forget(id)
}
