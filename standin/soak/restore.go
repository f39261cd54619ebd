package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// lostWrites is how many unrelated keys are written between snapshot and restore. They are lost, so
// that the revisions reach their old values again only some time after the restore.
const lostWrites = 40

// maxRewriteDelay bounds the time from a restore until the lost entries are written again.
const maxRewriteDelay = time.Second

// restoreStore restores the key-value service, at the end of a fault, from a snapshot that was made at
// its start. Then operators and servers write again what they had written since the snapshot.
func (sr *soakRun) restoreStore(fa Fault) {
	sn, copied := sr.store.Snapshot(), time.Now()
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
	resetTimes(sr.history.revokedAt, copied)
	resetTimes(sr.history.drainedAt, copied)
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

// resetTimes sets the times of changes that were made since a snapshot to now, since the restore
// undid them and they have just been made again.
func resetTimes(written map[string]time.Time, copied time.Time) {
	for name, at := range written {
		if at.After(copied) {
			written[name] = time.Now()
		}
	}
}
