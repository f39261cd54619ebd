package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// lostWrites is how many unrelated keys are written between snapshot and restore. The restore discards
// them, so that the revisions reach their old values again only some time later.
const lostWrites = 40

// maxRewriteDelay bounds the time from a restore until the lost entries are written again.
const maxRewriteDelay = time.Second

// restoreStore restores the key-value service, at the end of a fault, from a snapshot that was made at
// its start. Then the configuration and the servers' entries are written again.
func (sr *soakRun) restoreStore(fa Fault) {
	sn, snapshotAt := sr.store.Snapshot(), time.Now()
	for i := range lostWrites {
		sr.store.Set(fmt.Sprint("other/", i), i)
	}
	sr.waitForEnd(fa)
	sr.store.Restore(sn)
	time.Sleep(rand.N(maxRewriteDelay))
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.writeConfig()
	sr.rewriteServerEntries()
	resetTimes(sr.history.revokedAt, snapshotAt)
	resetTimes(sr.history.drainedAt, snapshotAt)
}

// rewriteServerEntries writes the current entries of all listed servers and removes all others; the
// caller holds mu.
func (sr *soakRun) rewriteServerEntries() {
	listed := map[string]bool{}
	for _, se := range sr.servers {
		if !se.unlisted.Load() {
			listed[se.id] = true
			sr.store.Set("servers/"+se.id, se.entry())
		}
	}
	for _, key := range sr.store.Keys("servers/") {
		if !listed[strings.TrimPrefix(key, "servers/")] {
			sr.store.Remove(key)
		}
	}
}

// resetTimes sets the times of changes that were made after a snapshot to now: the restore undid these
// changes, and they have just been made again.
func resetTimes(written map[string]time.Time, snapshotAt time.Time) {
	for name, at := range written {
		if at.After(snapshotAt) {
			written[name] = time.Now()
		}
	}
}
