package entry

import "github.com/linnetrudder/linnetrudder/internal/choice"

// maxPlans is the number of plans that are retained for the explain command.
const maxPlans = 2000

// planLog holds the plans of the most recent requests by request id.
type planLog struct {
	plans map[string]choice.Plan
	// ring holds the request ids in order of insertion. Once it is full, next is the index of the
	// oldest.
	ring []string
	next int
}

func (pl *planLog) get(request string) (choice.Plan, bool) {
	plan, ok := pl.plans[request]
	return plan, ok
}

func (pl *planLog) put(request string, plan choice.Plan) {
	if pl.plans == nil {
		pl.plans = map[string]choice.Plan{}
	}
	pl.plans[request] = plan
	if len(pl.ring) < maxPlans {
		pl.ring = append(pl.ring, request)
		return
	}
	delete(pl.plans, pl.ring[pl.next])
	pl.ring[pl.next] = request
	pl.next = (pl.next + 1) % maxPlans
}
