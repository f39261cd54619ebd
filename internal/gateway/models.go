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
	// largestPrice is the cost of an answer of the largest model as a part of its value. The costs of
	// the others are in proportion to the operators' figures.
	largestModelCost = 0.15
	// smallestPerToken is how long the smallest model takes for a token until answers
	// tell: 5 to 8 us on the users' servers. Larger ones are taken to be slower as they
	// cost more.
	defaultTimePerToken = 10 * time.Microsecond
	// meanStep is the weight of the newest request in the usual size of a prompt.
	promptSizeSmoothing = 0.02
	// unreachable is the time to the head of a model that no server can run now.
	noServerDelay = time.Hour
)

// sizes knows the usual size of prompts by name, in tokens. The zero value knows none.
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

// modelChoice is what a model was last chosen by, for the log.
type modelChoice struct {
	state   cascade.State
	options []cascade.Option
}

// describe adds to a line of the log what a model was chosen by.
func (mc *modelChoice) addLogFields(le *zerolog.Event) *zerolog.Event {
	if len(mc.options) == 0 {
		return le
	}
	return le.Dur("left_ms", mc.state.Remaining).Dur("backlog_ms", mc.state.Backlog).
		Dur("largest_ms", mc.options[len(mc.options)-1].TimeToHead)
}

// First returns the model to ask first. A caller that resumes a stream may have
// a part of it from the largest model.
func (ex *exchange) First(time.Time) int {
	if ex.rq.LastEventID != "" {
		return len(ex.request.Models) - 1
	}
	return 0
}

// Next returns the model to ask instead of keeping an answer.
func (ex *exchange) Next(place, confidence int, now time.Time) (int, bool) {
	ex.observeGain(place, confidence)
	ex.evaluateModels(place, now)
	return ex.choice.state.Next(place, confidence, ex.choice.options)
}

// learnGain notes by how much an answer's confidence is above the smallest model's.
func (ex *exchange) observeGain(place, confidence int) {
	if place == 0 {
		ex.smallestConfidence = confidence
		return
	}
	ex.ga.mu.Lock()
	defer ex.ga.mu.Unlock()
	ex.ga.modelGains.Observe(ex.modelKey(ex.request.Models[place]), ex.smallestConfidence, confidence)
}

// considerModels takes what a model above the one at a place is chosen by now.
func (ex *exchange) evaluateModels(place int, now time.Time) {
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
	usual := ex.referenceReadTime()
	for i, model := range ex.request.Models {
		op := &ex.choice.options[i]
		if i > 0 {
			op.ConfidenceGain = ga.modelGains.Estimate(ex.modelKey(model))
		}
		if i <= place {
			continue
		}
		op.Price, op.TimeToHead = ex.relativeCost(i), noServerDelay
		if of, ok := ga.pool.Pick(ex.poolQuery(model, nil, now), 0, now); ok {
			op.TimeToHead = of.TimeToHead()
			op.RelativeWork = of.PrefillTime().Seconds() / usual.Seconds()
		}
	}
}

// backlog returns the trend of a service's backlog; the lock is held.
func (ga *Gateway) backlogTrend(service string) *latency.Smoother {
	tr := ga.backlogTrends[service]
	if tr == nil {
		tr = &latency.Smoother{}
		ga.backlogTrends[service] = tr
	}
	return tr
}

// price returns what an answer of the model at a place costs, as a part of what a good
// one is worth. Where the operators name no figures, larger models cost evenly more.
func (ex *exchange) relativeCost(place int) float64 {
	models := ex.request.Models
	if most := ex.cost(models[len(models)-1]); most > 0 {
		return largestModelCost * ex.cost(models[place]) / most
	}
	return largestModelCost * float64(place) / float64(max(1, len(models)-1))
}

// cost returns the operators' figure for what a model costs, zero if there is none.
func (ex *exchange) cost(model string) float64 {
	if sv := ex.table.Service(ex.service); sv != nil {
		return sv.Costs[model]
	}
	return 0
}

// usualRead returns how long the largest model reads a prompt between this one's size and the mean of
// its route. Larger prompts have more value, but each kind of request counts alike. The lock is held.
func (ex *exchange) referenceReadTime() time.Duration {
	ga, models := ex.ga, ex.request.Models
	own := promptSizeWeight*float64(ex.rq.PromptTokens) + (1-promptSizeWeight)*ga.promptSizes.means[ex.route.Name]
	tokens := math.Sqrt(max(1, own) * max(1, ga.promptSizes.means[ex.service]))
	return max(time.Microsecond, ga.pool.PrefillTime(ex.prompt(models[len(models)-1]), tokens))
}

// ownPart is the part of a prompt's worth that grows with its size, by the users' rules.
const promptSizeWeight = 0.7

// prompt returns what a model is to read, the zero value for a plain service.
func (ex *exchange) prompt(model string) pool.Prompt {
	as := ex.rq
	start, shared := as.sharedPrefix()
	if start == "" {
		return pool.Prompt{}
	}
	pr := pool.Prompt{
		Model: ex.modelKey(model), PrefillPerToken: ex.perToken(model), PrefixID: start,
		PrefixTokens: shared, SuffixTokens: max(0, as.PromptTokens-shared), SizeKB: float64(len(ex.body)) / 1000,
	}
	if n := len(as.Prompt); n > 1 {
		pr.FullID = as.Prompt[n-1].ID
	}
	return pr
}

// modelKey names a model of a service in what is known of models.
func (ex *exchange) modelKey(model string) string { return ex.service + "\x00" + model }

// perToken returns how long a model takes for a token as long as answers do not tell.
func (ex *exchange) perToken(model string) time.Duration {
	if len(ex.route.Models) == 0 {
		return defaultTimePerToken
	}
	least, cost := ex.cost(ex.route.Models[0]), ex.cost(model)
	if least <= 0 || cost <= 0 {
		return defaultTimePerToken
	}
	return time.Duration(cost / least * float64(defaultTimePerToken))
}
