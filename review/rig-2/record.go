package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is one request that a worker has run.
type run struct {
	request, worker, version, tenant string
	at                               time.Time
	status                           int
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  []run
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{start: time.Now(), file: file}
}

func (re *record) since(at time.Time) string { return fmt.Sprintf("%9.3f", at.Sub(re.start).Seconds()) }

func (re *record) line(at time.Time, format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%s %s\n", re.since(at), fmt.Sprintf(format, args...))
}

func (re *record) ran(ru run) {
	re.line(ru.at, "run request=%s worker=%s version=%s tenant=%s status=%d", ru.request, ru.worker, ru.version, ru.tenant, ru.status)
	re.mu.Lock()
	defer re.mu.Unlock()
	re.runs = append(re.runs, ru)
}

// all returns the runs so far.
func (re *record) all() []run {
	re.mu.Lock()
	defer re.mu.Unlock()
	return append([]run(nil), re.runs...)
}

// say writes a line of the result to the record and to standard output.
func (re *record) say(format string, args ...any) {
	re.line(time.Now(), format, args...)
	fmt.Printf(format+"\n", args...)
}
