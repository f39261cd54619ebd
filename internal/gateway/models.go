package gateway

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/linnetrudder/linnetrudder/internal/cascade"
	"github.com/linnetrudder/linnetrudder/internal/latency"
	"github.com/linnetrudder/linnetrudder/internal/pool"
)

const (
	// largestModelCost is the cost of a response of the largest model as a fraction of the
	// response's value. The costs of the other models are in proportion to the operators' figures.
	largestModelCost = 0.15
	// defaultTimePerToken is the assumed reading time per token of the smallest model until it has been
	// measured: 5 to 8 us on the users' servers. Larger models are assumed to be slower in
	// proportion to their cost.
	defaultTimePerToken = 10 * time.Microsecond
	// promptSizeSmoothing is the weight of the newest request in the mean size of a prompt.
	promptSizeSmoothing = 0.02
	// noServerDelay is the assumed time to the head of a response of a model that no server can run
	// now.
	noServerDelay = time.Hour
)

// promptSizes holds the mean size of prompts by name, in tokens. The zero value holds none.
type promptSizes struct{ means map[string]float64 }

func (si *promptSizes) observe(name string, tokens int) {
	if si.means == nil {
		si.means = map[string]float64{}
	}
	mean, ok := si.means[name]
	if !ok {
		mean = float64(tokens)
	}
	si.means[name] = mean + promptSizeSmoothing*(float64(tokens)-mean)
}

// modelChoice holds the inputs of the last choice of a model, for the log.
type modelChoice struct {
	state   cascade.State
	options []cascade.Option
}

// addLogFields adds the inputs of the choice of a model to a log line.
func (mc *modelChoice) addLogFields(le *zerolog.Event) *zerolog.Event {
	if len(mc.options) == 0 {
		return le
	}
	return le.Dur("left_ms", mc.state.Remaining).Dur("backlog_ms", mc.state.Backlog).
		Dur("largest_ms", mc.options[len(mc.options)-1].TimeToHead)
}

// First returns the index of the model for the first attempt. A caller that resumes a stream may
// have received the beginning from the largest model.
func (ex *exchange) First(time.Time) int {
	if ex.rq.LastEventID != "" {
		return len(ex.request.Models) - 1
	}
	return 0
}

// Next returns the index of the model to escalate to, or false to deliver the response.
func (ex *exchange) Next(index, confidence int, now time.Time) (int, bool) {
	ex.observeGain(index, confidence)
	ex.evaluateModels(index, now)
	return ex.choice.state.Next(index, confidence, ex.choice.options)
}

// observeGain records by how much a response's confidence exceeds that of the smallest model.
func (ex *exchange) observeGain(index, confidence int) {
	if index == 0 {
		ex.smallestConfidence = confidence
		return
	}
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	ex.ga.modelGains.Observe(ex.modelKey(ex.request.Models[index]), ex.smallestConfidence, confidence)
}

// evaluateModels computes the inputs for the choice of a model above the one at an index.
func (ex *exchange) evaluateModels(index int, now time.Time) {
	ga := ex.ga
	ga.mu.Lock()
	defer ga.mu.Unlock()
	backlog := ga.pool.Backlog(ex.service)
	ex.choice = modelChoice{
		state: cascade.State{
			Remaining: ex.request.Target.Sub(now), Target: ex.route.Target, Priority: ex.priority(),
			Backlog: backlog, SmoothedBacklog: ga.backlogTrend(ex.service).Update(backlog, now),
		},
		options: make([]cascade.Option, len(ex.request.Models)),
	}
	reference := ex.referenceReadTime()
	for i, model := range ex.request.Models {
		op := &ex.choice.options[i]
		if i > 0 {
			op.ConfidenceGain = ga.modelGains.Estimate(ex.modelKey(model))
		}
		if i <= index {
			continue
		}
		op.Price, op.TimeToHead = ex.relativeCost(i), noServerDelay
		if sel, ok := ga.pool.Pick(ex.poolQuery(model, nil, now), 0, now); ok {
			op.TimeToHead = sel.TimeToHead()
			op.RelativeWork = sel.PrefillTime().Seconds() / reference.Seconds()
		}
	}
}

// backlogTrend returns the trend of a service's backlog. The lock is held.
func (ga *Gateway) backlogTrend(service string) *latency.Smoother {
	tr := ga.backlogTrends[service]
	if tr == nil {
		tr = &latency.Smoother{}
		ga.backlogTrends[service] = tr
	}
	return tr
}

// relativeCost returns the cost of a response of the model at an index, as a fraction of the value
// of a good response. If the operators give no figures, the cost increases linearly with the index.
func (ex *exchange) relativeCost(index int) float64 {
	models := ex.request.Models
	if most := ex.cost(models[len(models)-1]); most > 0 {
		return largestModelCost * ex.cost(models[index]) / most
	}
	return largestModelCost * float64(index) / float64(max(1, len(models)-1))
}

// cost returns the operators' cost figure of a model, zero if there is none.
func (ex *exchange) cost(model string) float64 {
	if sv := ex.table.Service(ex.service); sv != nil {
		return sv.Costs[model]
	}
	return 0
}

// referenceReadTime returns how long the largest model takes to read a prompt of a reference size:
// the geometric mean of the service's mean size and a size between this prompt's own and the mean of
// its route. Larger prompts have more value, but each kind of request counts alike. The lock is
// held.
func (ex *exchange) referenceReadTime() time.Duration {
	ga, models := ex.ga, ex.request.Models
	weighted := promptSizeWeight*float64(ex.rq.PromptTokens) + (1-promptSizeWeight)*ga.promptSizes.means[ex.route.Name]
	tokens := math.Sqrt(max(1, weighted) * max(1, ga.promptSizes.means[ex.service]))
	return max(time.Microsecond, ga.pool.PrefillTime(ex.prompt(models[len(models)-1]), tokens))
}

// promptSizeWeight is the fraction of a prompt's value that grows with its size, by the users'
// rules.
const promptSizeWeight = 0.7

// prompt returns the prompt that a model reads, the zero value for a plain service.
func (ex *exchange) prompt(model string) pool.Prompt {
	rq := ex.rq
	start, shared := rq.sharedPrefix()
	if start == "" {
		return pool.Prompt{}
	}
	pr := pool.Prompt{
		Model: ex.modelKey(model), PrefillPerToken: ex.timePerToken(model), PrefixID: start,
		PrefixTokens: shared, SuffixTokens: max(0, rq.PromptTokens-shared), SizeKB: float64(ex.body.Len()) / 1000,
	}
	if n := len(rq.Prompt); n > 1 {
		pr.FullID = rq.Prompt[n-1].ID
	}
	return pr
}

// modelKey returns the key of a service's model in the statistics on models.
func (ex *exchange) modelKey(model string) string { return ex.service + "\x00" + model }

// timePerToken returns the assumed reading time per token of a model until it has been measured.
func (ex *exchange) timePerToken(model string) time.Duration {
	if len(ex.route.Models) == 0 {
		return defaultTimePerToken
	}
	least, cost := ex.cost(ex.route.Models[0]), ex.cost(model)
	if least <= 0 || cost <= 0 {
		return defaultTimePerToken
	}
	return time.Duration(cost / least * float64(defaultTimePerToken))
}
