package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// lostWrites is how many other keys a restored service loses: revisions that are given out again
// reach the old ones only some time after the restore.
const lostWrites = 40

// longestRewrite bounds the time after which what a restored service has lost is written again.
const maxRewriteDelay = time.Second

// restore lets the key-value service go back to what it holds at the start of a fault, and lets
// operators and servers write again what they had written since.
func (py *soakRun) restoreStore(fa Fault) {
	co, copied := py.store.Snapshot(), time.Now()
	for i := range lostWrites {
		py.store.Set(fmt.Sprint("other/", i), i)
	}
	py.waitForEnd(fa)
	py.store.Restore(co)
	time.Sleep(rand.N(maxRewriteDelay))
	py.mu.Lock()
	defer py.mu.Unlock()
	py.writeConfig()
	py.rewriteServerEntries()
	resetTimes(py.history.revokedAt, copied)
	resetTimes(py.history.drainedAt, copied)
}

// rewriteServers writes the entries of all servers as they are; the lock is held.
func (py *soakRun) rewriteServerEntries() {
	listed := map[string]bool{}
	for _, se := range py.servers {
		if !se.unlisted.Load() {
			listed[se.id] = true
			py.store.Set("servers/"+se.id, se.entry())
		}
	}
	for _, key := range py.store.Keys("servers/") {
		if !listed[strings.TrimPrefix(key, "servers/")] {
			py.store.Remove(key)
		}
	}
}

// renew takes what was written since a copy as written now.
func resetTimes(written map[string]time.Time, copied time.Time) {
	for name, at := range written {
		if at.After(copied) {
			written[name] = time.Now()
		}
	}
}
