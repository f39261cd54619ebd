package pool

import "time"

// Started records the start of an attempt and its expected prefill time. Like the methods below, it
// takes the key of a server instance (directory.Server.Key).
func (po *Pool) Started(id string, prefill time.Duration, now time.Time) {
	if po.running == nil {
		po.running = map[string]int{}
		po.pendingPrefill = map[string]time.Duration{}
	}
	po.running[id]++
	po.pendingPrefill[id] += prefill
	po.outliers.Sent(id, now)
}

// PrefillDone records that the prompt of an attempt was processed or that the attempt was dropped.
func (po *Pool) PrefillDone(id string, prefill time.Duration) {
	po.pendingPrefill[id] = max(0, po.pendingPrefill[id]-prefill)
}

// HeadReceived records the time from sending to the selected server until the response head.
func (po *Pool) HeadReceived(sel Selection, pr Prompt, took time.Duration, now time.Time) {
	id := sel.server.Key()
	if pr.PrefixID == "" {
		return
	}
	cached := po.prefixes.has(id, pr.prefixHash(), now)
	repeated := pr.FullID != "" && po.prefixes.has(anyServer, pr.fullHash(), now)
	if !repeated {
		po.observeHead(sel, pr, took-headOverhead, cached)
	}
	po.prefixes.add(id, pr.prefixHash(), now)
	if pr.FullID != "" {
		po.prefixes.add(id, pr.fullHash(), now)
		po.prefixes.add(anyServer, pr.fullHash(), now)
	}
}

// observeHead updates the model's prefill speed from a prompt that no server has processed before,
// and the probability that a server has a prefix cached.
func (po *Pool) observeHead(sel Selection, pr Prompt, took time.Duration, cached bool) {
	po.speeds.Observe(pr.Model, pr.SuffixTokens, took)
	pf := po.prefillOf(pr)
	if cached || pf.prefix < minHitTestPrefill {
		return
	}
	po.prefixes.observeHit(sel.home, took < sel.wait+pf.suffix+pf.prefix/2)
}

// Responded records the time of a server's response.
func (po *Pool) Responded(id string, now time.Time) {
	if po.responses == nil {
		po.responses = map[string]time.Time{}
	}
	po.responses[id] = now
}

// LastResponse returns when a server last responded, the zero time if it never did.
func (po *Pool) LastResponse(id string) time.Time { return po.responses[id] }

// Ended records the end of an attempt.
func (po *Pool) Ended(id string) {
	po.running[id]--
	if po.running[id] <= 0 {
		delete(po.running, id)
		delete(po.pendingPrefill, id)
	}
}

// Succeeded records a successful response. It reports whether that ends the server's ejection.
func (po *Pool) Succeeded(id string) bool { return po.outliers.Succeeded(id) }

// Failed records a server failure. It reports whether that ejects the server.
func (po *Pool) Failed(id string, now time.Time) bool { return po.outliers.Failed(id, now) }

// Unreachable records a failed connection. It reports whether that ejects the server.
func (po *Pool) Unreachable(id string, now time.Time) bool { return po.outliers.Unreachable(id, now) }

// Forget removes the observations of a server whose directory entry has ended. What the server
// reported about itself is retained, since the entry of a running instance may expire and reappear.
func (po *Pool) Forget(id string) {
	po.outliers.Forget(id)
	po.prefixes.forget(id)
	po.Warmup.Forget(id)
	delete(po.responses, id)
}

// ForgetInstance removes all state of a server instance that has ended.
func (po *Pool) ForgetInstance(id string) {
	po.Forget(id)
	po.Limits.Forget(id)
}
