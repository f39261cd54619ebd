package usage

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/revision"
)

const (
	// minSettleFraction is the fraction of the allowed delay for which the holder waits at least after
	// the end of a window before it fixes the totals. It waits for maxSettleFraction if counts may be
	// missing. The rest is for a successor, if the holder fails just then.
	minSettleFraction = 0.05
	maxSettleFraction = 0.5
	// collectTime is how long a process holds the duty before it fixes totals: until then, other
	// processes may not know it as the holder yet, and their counts may be missing.
	collectTime = 1500 * time.Millisecond
	// maxStoredReports bounds the reports in a record. Windows that ended earlier than that many
	// windows ago are not reported any more.
	maxStoredReports = 6
)

// Report is the totals of one window.
type Report struct {
	Window Window         `json:"window"`
	Counts map[string]int `json:"counts"`
}

// Record is what is stored of the reports. Each report is stored before it is delivered, and never
// changed. Its fields are exported because it is data without behaviour.
type Record struct {
	// Reports holds the newest reports, oldest first.
	Reports []Report
	// Delivered is the newest window that is known to have been delivered, together with all before.
	Delivered Window
	// Revision is the revision that the next write is compared with, zero if nothing is stored.
	Revision revision.Revision
}

// last returns the newest window with a stored report, false if there is none.
func (re *Record) last() (Window, bool) {
	if n := len(re.Reports); n > 0 {
		return re.Reports[n-1].Window, true
	}
	return re.Delivered, re.Delivered > 0
}

// StepKind is the kind of a Step.
type StepKind string

// The kinds of steps.
const (
	// Idle means that there is nothing to do now.
	Idle StepKind = "idle"
	// Read means that the record must be read.
	Read StepKind = "read"
	// Fix means that a record with further reports must be stored.
	Fix StepKind = "fix"
	// Deliver means that a stored report must be delivered to the platform.
	Deliver StepKind = "deliver"
)

// Step is what the holder has to do next.
type Step struct {
	Kind   StepKind
	Record Record
	Report Report
}

// Reporter decides what the holder of the duty does. Its exported fields are set before use. It is
// not safe for concurrent use.
type Reporter struct {
	// Length is the length of a window, Delay the time after its end within which it must be
	// reported.
	Length, Delay time.Duration

	// tenure is the fencing number for which the record was read.
	tenure uint64
	// record is the stored record, nil if it is not known.
	record *Record
}

// Next returns the next step of a holder at a time of day. heldFor is how long it has held the duty.
func (re *Reporter) Next(le *Ledger, tenure uint64, heldFor time.Duration, at time.Time) Step {
	if tenure != re.tenure {
		re.tenure, re.record = tenure, nil
	}
	if re.record == nil {
		return Step{Kind: Read}
	}
	for _, rp := range re.record.Reports {
		if rp.Window > re.record.Delivered {
			return Step{Kind: Deliver, Report: rp}
		}
	}
	next, ok := re.nextWindow(le)
	if !ok || heldFor < collectTime || !re.settled(le, next, at) {
		return Step{Kind: Idle}
	}
	return Step{Kind: Fix, Record: re.extend(le, next, at)}
}

// nextWindow returns the first window without a stored report, false if no process has counted
// anything yet.
func (re *Reporter) nextWindow(le *Ledger) (Window, bool) {
	if last, ok := re.record.last(); ok {
		return last + 1, true
	}
	return le.First()
}

// settled reports whether the counts of a window are taken as complete.
func (re *Reporter) settled(le *Ledger, window Window, at time.Time) bool {
	passed := at.Sub(window.End(re.Length))
	return passed >= re.fraction(maxSettleFraction) || passed >= re.fraction(minSettleFraction) && le.Complete(window)
}

func (re *Reporter) fraction(part float64) time.Duration {
	return time.Duration(part * float64(re.Delay))
}

// extend returns the record with the reports of all settled windows from one on.
func (re *Reporter) extend(le *Ledger, from Window, at time.Time) Record {
	extended := Record{Delivered: re.record.Delivered, Revision: re.record.Revision}
	var added []Report
	for window := max(from, re.oldest(at)); re.settled(le, window, at); window++ {
		added = append(added, Report{Window: window, Counts: le.Totals(window)})
	}
	extended.Reports = append(append([]Report(nil), re.record.Reports...), added...)
	if surplus := len(extended.Reports) - maxStoredReports; surplus > 0 {
		extended.Reports = extended.Reports[surplus:]
	}
	return extended
}

// oldest returns the oldest window that is reported at a time.
func (re *Reporter) oldest(at time.Time) Window {
	settled := WindowAt(at.Add(-re.fraction(maxSettleFraction)), re.Length)
	if settled < maxStoredReports {
		return 0
	}
	return settled - maxStoredReports
}

// Stored applies the record that is stored.
func (re *Reporter) Stored(record Record) { re.record = &record }

// Invalidate makes the record unknown, after a write that failed or may have failed.
func (re *Reporter) Invalidate() { re.record = nil }

// Delivered records that the platform accepted the report of a window.
func (re *Reporter) Delivered(window Window) {
	if re.record != nil {
		re.record.Delivered = max(re.record.Delivered, window)
	}
}
