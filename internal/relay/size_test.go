package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/lending"
	"github.com/linnetrudder/linnetrudder/internal/poison"
)

// encodedBytes returns the size of a report on the wire.
func encodedBytes(tb testing.TB, re Report) int {
	tb.Helper()
	data, err := cbor.Marshal(re)
	require.NoError(tb, err)
	return len(data)
}

// partEvidence returns a report with the evidence of crashes, each with a number of suspects whose prompts
// have three shared parts.
func partEvidence(crashes, suspects int) Report {
	re := Report{Box: "front-uio-a-1", Ready: true, Gateways: 1}
	part := func(n int) string { return fmt.Sprintf("%012x", n) }
	for i := range crashes {
		re.Crashes = append(re.Crashes, poison.CrashNotice{Server: fmt.Sprintf("i-%010x@1790000000", i), Age: 50 * time.Millisecond})
		for j := range suspects {
			n := 3 * (i*suspects + j)
			re.Suspicions = append(re.Suspicions, poison.Suspicion{
				Fingerprint: poison.FingerprintOf(poison.Request{Target: fmt.Sprint(n)}), Server: re.Crashes[i].Server,
				SinceCrash: 50 * time.Millisecond, RequestAge: 200 * time.Millisecond, ResponseAge: 100 * time.Millisecond,
				Team: "dazi710", Service: "llm-pool", Parts: []string{part(n), part(n + 1), part(n + 2)},
			})
			for k := range 3 {
				pa := poison.Part{Service: "llm-pool", Team: "dazi710", ID: part(n + k)}
				re.Suspects = append(re.Suspects, poison.Suspect{Part: pa, Grade: poison.Weak})
				re.Clears = append(re.Clears, poison.Clear{Part: pa, Age: time.Second})
			}
		}
	}
	re.Suspects = re.Suspects[:min(len(re.Suspects), poison.MaxSuspects)]
	re.Clears = re.Clears[:min(len(re.Clears), poison.MaxSuspects)]
	return re
}

// BenchmarkReportBytes reports the size of reports without evidence, with that of a crash, and with the
// most that one may contain.
func BenchmarkReportBytes(b *testing.B) {
	idle := Report{Box: "front-uio-a-1", Ready: true, Gateways: 1}
	lends := idle
	lends.Demand, lends.Offer = 35.8, &lending.Offer{Lent: 0.9, Term: time.Second, Stamp: lending.Stamp{Process: 1 << 63, At: time.Hour}}
	for name, re := range map[string]Report{"idle": idle, "lending": lends, "one crash": partEvidence(1, 8), "largest": partEvidence(16, 8)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				encodedBytes(b, re)
			}
			b.ReportMetric(float64(encodedBytes(b, re)), "B/report")
		})
	}
}

// Evidence against parts does not make a report larger than an exchange can take.
func TestReportsWithEvidenceAreBounded(t *testing.T) {
	require.Less(t, encodedBytes(t, partEvidence(16, 8)), 32<<10)
}
