package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// play lets servers answer prompts of very unlike sizes, as long as they need times
// their own factor.
func playRelative(factors map[string]float64, answers int) *Relative {
	rn := rand.New(rand.NewPCG(1, 2))
	re := &Relative{}
	for range answers {
		for server, factor := range factors {
			work := 500 * rn.ExpFloat64()
			for kind, perToken := range map[string]float64{"small": 0.00002, "large": 0.0002} {
				took := factor * perToken * (work + leastWork) * (0.7 + 0.6*rn.Float64())
				re.Observe(server, kind, work, time.Duration(took*float64(time.Second)))
			}
		}
	}
	return re
}

func TestSlowServersAreToldFromOthers(t *testing.T) {
	factors := map[string]float64{"slow": 5}
	for i := range 9 {
		factors[fmt.Sprint(i)] = 1
	}
	re := playRelative(factors, 30)
	require.Greater(t, re.Factor("slow"), 2.5*re.Factor("0"))
	for i := range 9 {
		require.InDelta(t, 0.75, re.Factor(fmt.Sprint(i)), 0.2)
	}
}

func TestOneAnswerSaysLittle(t *testing.T) {
	re := playRelative(map[string]float64{"a": 1, "b": 1}, 30)
	re.Observe("new", "small", 500, 10*time.Second)
	require.LessOrEqual(t, re.Factor("new"), float64(slowest))
	require.Equal(t, 1.0, re.Factor("unknown"))
	re.Forget("new")
	require.Equal(t, 1.0, re.Factor("new"))
}

func TestAServerThatIsQuickAgainIsSoonTakenForIt(t *testing.T) {
	re := playRelative(map[string]float64{"a": 1, "b": 1, "c": 4}, 20)
	for range 2 * serverMemory {
		re.Observe("c", "small", 500, time.Duration(0.00002*(500+leastWork)*float64(time.Second)))
	}
	require.Less(t, re.Factor("c"), 1.5)
}
