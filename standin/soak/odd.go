package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// OddEntries makes another writer put entries that no backend server writes among those of the servers, the other
// gateways and the operator, and replace the entry of one server until the end of the fault.
const OddEntries FaultKind = "odd-entries"

const (
	// oddCount is how many faults WithOddEntries adds.
	oddCount = 3
	// oddInterval is the time between two odd entries of a server, largeBytes the size of a large one and largeCount
	// how many of them are written at once, together more than a gateway reads as one response.
	oddInterval = 100 * time.Millisecond
	largeBytes  = 900_000
	largeCount  = 18
	// nesting is more than a decoder follows.
	nesting = 20_000
	// maxLogLine is the maximum length of a line of a gateway's log in bytes.
	maxLogLine = 16 << 10
)

// WithOddEntries adds entries that no backend server writes. It has a random source of its own, so that the other
// faults of the seed remain the same.
func (pl Plan) WithOddEntries() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+10))
	pl.Faults = slices.Clone(pl.Faults)
	for range oddCount {
		pl.Faults = append(pl.Faults, pl.drawServerFault(rn, OddEntries))
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// oddValues returns values that no server writes, made from the entry of a server.
func oddValues(entry string) []string {
	replaced := func(old, text string) string { return strings.Replace(entry, old, text, 1) }
	deep := strings.Repeat("[", nesting)
	return []string{
		"", "7", "null", "[]", "\xff\x00", deep, `{"service":` + deep, replaced(`"slots":`, `"more":`+deep+strings.Repeat("]", nesting)+`,"slots":`),
		replaced(`"slots":`, `"slots":1e999,"x":`), replaced(`"slots":`, `"slots":-`), replaced(`"seq":`, `"seq":99999999999999999999999`),
		replaced(`"seq":`, `"seq":9223372036854775807,"x":`), replaced(`"seq":`, `"seq":9007199254740992,"x":`),
		replaced(`"seq":`, `"born":9223372036854775807,"seq":`), replaced(`"cold_remaining_ms":`, `"cold_remaining_ms":9223372036854775807,"x":`),
		replaced(`"cold_remaining_ms":`, `"cold_remaining_ms":18446744073709,"x":`), replaced(`"127.0.0.1:`, `"0.0.0.0:`),
		replaced(`"127.0.0.1:`, `"127.0.0.1:0`), replaced(`"127.0.0.1:`, `"127.0.0.1:99999`), replaced(`"127.0.0.1:`, `"224.0.0.1:`),
		replaced(`"127.0.0.1:`, `"`+strings.Repeat("1", nesting)), replaced(`"version":"`, `"version":"`+strings.Repeat("v", nesting)),
	}
}

// writeOddEntries writes odd entries, and replaces that of a server with each of them in turn.
func (sr *soakRun) writeOddEntries(fa Fault) {
	sr.mu.Lock()
	se := sr.servers[fa.Target]
	sr.mu.Unlock()
	entry, err := json.Marshal(se.entry())
	if err != nil {
		panic(err)
	}
	values := oddValues(string(entry))
	for i, value := range values {
		for _, prefix := range []string{"servers/", "linnetrudder/member/", "linnetrudder/tally/svc/", "op/rollout/", "linnetrudder/block/"} {
			sr.store.SetRaw(fmt.Sprint(prefix, "odd-", i), []byte(value))
		}
	}
	for range largeCount {
		sr.store.SetRaw("servers/odd-large", []byte(strings.Replace(string(entry), `"version":"`, `"version":"`+strings.Repeat("v", largeBytes), 1)))
	}
	for i := 0; time.Until(sr.history.start.Add(fa.End)) > 0; i++ {
		sr.store.SetRaw("servers/"+se.id, []byte(values[i%len(values)]))
		time.Sleep(oddInterval)
	}
	for _, key := range sr.store.Keys("") {
		if strings.Contains(key, "/odd-") {
			sr.store.Remove(key)
		}
	}
	if !se.unlisted.Load() {
		sr.store.Set("servers/"+se.id, se.entry())
	}
}

// checkProcesses finds gateways that have ended by themselves, and lines of their logs that are too long.
func (sr *soakRun) checkProcesses() []Violation {
	var list []Violation
	for i, gw := range sr.gateways {
		if gw.process.Wait(0) {
			list = append(list, Violation{StaysUp, "", fmt.Sprintf("gateway %d ended by itself with exit code %d", i, gw.process.ExitCode())})
		}
	}
	names, _ := filepath.Glob(filepath.Join(sr.runner.Dir, "*.log"))
	for _, name := range names {
		if longest := longestLine(name); longest > maxLogLine {
			list = append(list, Violation{BoundedLog, "", fmt.Sprintf("%s has a line of %d bytes", filepath.Base(name), longest)})
		}
	}
	return list
}

// longestLine returns the length of the longest line of a file.
func longestLine(name string) int {
	file, err := os.Open(name)
	if err != nil {
		return 0
	}
	defer file.Close()
	longest := 0
	for re := bufio.NewReader(file); ; {
		line, err := re.ReadString('\n')
		longest = max(longest, len(line))
		if err != nil {
			return longest
		}
	}
}
