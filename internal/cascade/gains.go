package cascade

const (
	// priorGain is the assumed gain of a model before there are observations; it counts as
	// priorAnswers observations.
	priorGain    = 12
	priorAnswers = 10
	// minInformative and maxInformative bound the confidences from which a difference is computed,
	// since ratings are clipped at 0 and 100.
	minInformative = 3
	maxInformative = 97
)

// ConfidenceGains estimates by how much the confidence of each model is above that of the smallest
// model in answers to the same requests. The zero value has no observations. It is not safe for
// concurrent use.
type ConfidenceGains struct {
	sums   map[string]float64
	counts map[string]float64
}

// Observe records the confidences of the smallest model's and another model's answers to the same
// request.
func (ga *ConfidenceGains) Observe(model string, smallest, other int) {
	if smallest < minInformative || smallest > maxInformative || other < minInformative || other > maxInformative {
		return
	}
	if ga.sums == nil {
		ga.sums, ga.counts = map[string]float64{}, map[string]float64{}
	}
	ga.sums[model] += float64(other - smallest)
	ga.counts[model]++
}

// Estimate returns the estimated gain of a model.
func (ga *ConfidenceGains) Estimate(model string) float64 {
	return (ga.sums[model] + priorAnswers*priorGain) / (ga.counts[model] + priorAnswers)
}
