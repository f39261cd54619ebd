package cascade

const (
	// usualGain is the gain of a model between the smallest and the largest as long as
	// little is known, and priorAnswers how many answers it counts for.
	usualGain    = 12
	priorAnswers = 10
	// leastTold and mostTold bound the confidences that tell a difference: the ratings
	// are cut at 0 and 100.
	leastTold = 3
	mostTold  = 97
)

// ConfidenceGains learns by how much models' confidence is above the smallest one's in answers to
// the same requests. The zero value knows nothing. It is not safe for concurrent use.
type ConfidenceGains struct {
	sums   map[string]float64
	counts map[string]float64
}

// Observe takes the confidences of the smallest model's answer and of another one's to
// the same request.
func (ga *ConfidenceGains) Observe(model string, smallest, other int) {
	if smallest < leastTold || smallest > mostTold || other < leastTold || other > mostTold {
		return
	}
	if ga.sums == nil {
		ga.sums, ga.counts = map[string]float64{}, map[string]float64{}
	}
	ga.sums[model] += float64(other - smallest)
	ga.counts[model]++
}

// Estimate returns the gain of a model.
func (ga *ConfidenceGains) Estimate(model string) float64 {
	return (ga.sums[model] + priorAnswers*usualGain) / (ga.counts[model] + priorAnswers)
}
