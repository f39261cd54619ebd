// Package choicelog records from which state each backend server was last chosen, so that the choice of
// a server that was leaving can be explained once its departure is known. It does no I/O and reads no
// clock.
package choicelog

import "time"

// Choice is the choice of a server for an attempt.
type Choice struct {
	// Request is the id of the request.
	Request string
	// At is when the server was chosen.
	At time.Time
	// StateAge is an upper bound of the age of the list of servers at that time, Source the process that
	// confirmed it.
	StateAge time.Duration
	Source   string
}

// Log holds the last choice of each server. The zero value is empty. It is not safe for concurrent use.
type Log struct{ last map[string]Choice }

// Record records a choice of a server instance, by its key.
func (lo *Log) Record(server string, ch Choice) {
	if lo.last == nil {
		lo.last = map[string]Choice{}
	}
	lo.last[server] = ch
}

// Since returns the last choice of a server instance if it was made after a time.
func (lo *Log) Since(server string, at time.Time) (Choice, bool) {
	ch, ok := lo.last[server]
	return ch, ok && ch.At.After(at)
}

// Forget drops the choice of a server instance.
func (lo *Log) Forget(server string) { delete(lo.last, server) }

// Len returns the number of servers with a recorded choice.
func (lo *Log) Len() int { return len(lo.last) }
