package pool

import "time"

// Started records the start of an attempt and its expected prefill time. Like the methods below, it
// takes the key of a server instance (directory.Server.Key).
func (po *Pool) Started(key string, prefill time.Duration, now time.Time) {
	if po.running == nil {
		po.running = map[string]int{}
		po.pendingPrefill = map[string]time.Duration{}
	}
	po.running[key]++
	po.pendingPrefill[key] += prefill
	po.outliers.Sent(key, now)
}

// PrefillDone records that the prompt of an attempt was processed or that the attempt was dropped.
func (po *Pool) PrefillDone(key string, prefill time.Duration) {
	po.pendingPrefill[key] = max(0, po.pendingPrefill[key]-prefill)
}

// HeadReceived records the time from sending to the selected server until the response head.
func (po *Pool) HeadReceived(sel Selection, pr Prompt, took time.Duration, now time.Time) {
	key := sel.server.Key()
	if pr.PrefixID == "" {
		return
	}
	cached := po.prefixes.has(key, pr.prefixHash(), now)
	repeated := pr.FullID != "" && po.prefixes.has(anyServer, pr.fullHash(), now)
	if !repeated {
		po.observeHead(sel, pr, took-headOverhead, cached)
	}
	po.prefixes.add(key, pr.prefixHash(), now)
	if pr.FullID != "" {
		po.prefixes.add(key, pr.fullHash(), now)
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
func (po *Pool) Responded(key string, now time.Time) {
	if po.responses == nil {
		po.responses = map[string]time.Time{}
	}
	po.responses[key] = now
}

// LastResponse returns when a server last responded, the zero time if it never did.
func (po *Pool) LastResponse(key string) time.Time { return po.responses[key] }

// Ended records the end of an attempt.
func (po *Pool) Ended(key string) {
	po.running[key]--
	if po.running[key] <= 0 {
		delete(po.running, key)
		delete(po.pendingPrefill, key)
	}
}

// Succeeded records a successful response. It reports whether that ends the server's ejection.
func (po *Pool) Succeeded(key string) bool { return po.outliers.Succeeded(key) }

// Failed records a server failure. It reports whether that ejects the server.
func (po *Pool) Failed(key string, now time.Time) bool { return po.outliers.Failed(key, now) }

// Unreachable records a failed connection. It reports whether that ejects the server.
func (po *Pool) Unreachable(key string, now time.Time) bool { return po.outliers.Unreachable(key, now) }

// Forget removes the observations of a server whose directory entry has ended. What the server
// reported about itself is retained, since the entry of a running instance may expire and reappear.
func (po *Pool) Forget(key string) {
	po.outliers.Forget(key)
	po.prefixes.forget(key)
	po.Warmup.Forget(key)
	delete(po.responses, key)
}

// ForgetInstance removes all state of a server instance that has ended.
func (po *Pool) ForgetInstance(key string) {
	po.Forget(key)
	po.Limits.Forget(key)
}
