package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/order"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
)

// orderCheck is how often the server is compared with the configuration.
const orderCheck = 500 * time.Millisecond

// ordersPath is where a model engine takes orders and says what it holds.
const ordersPath = "/orders"

// orderBody is an order as the engine takes it.
type orderBody struct {
	Do      order.ActionKind `json:"do"`
	Version string           `json:"version"`
	Fence   uint64           `json:"fence"`
}

// heldBody is what the engine says that it holds.
type heldBody struct {
	Versions []string `json:"versions"`
}

// reconcileVersions lets the backend server hold what the configuration says, if
// the configuration leaves that to the system.
func (ag *Agent) reconcileVersions(ctx context.Context) error {
	return node.Every(ctx, orderCheck, func(time.Time) {
		for ag.orderOnce(ctx) {
		}
	})
}

// orderOnce does one thing. It reports whether there may be another.
func (ag *Agent) orderOnce(ctx context.Context) bool {
	sn := ag.Node.Snapshot()
	if sn == nil {
		return false
	}
	se := sn.Server(ag.Node.Settings.Server.Name)
	if se == nil || !se.Orders || ag.Node.Stopping() {
		return false
	}
	ac, ok := ag.nextOrder(se)
	if ok {
		ag.doOrder(ctx, ac)
	}
	return ok
}

// nextOrder returns what to do next for the server, if anything. One that announced its shutdown gets
// no orders.
func (ag *Agent) nextOrder(se *config.Server) (order.Action, bool) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.reconciler.SetDesired(se.Versions)
	if ag.gate.ServerLeaving() {
		return order.Action{}, false
	}
	return ag.reconciler.Next(ag.runs, time.Now())
}

// runs reports whether work of a version is in progress; the lock is held.
func (ag *Agent) runs(version string) bool {
	for _, st := range ag.streams {
		if st.at.Version == version {
			return true
		}
	}
	return false
}

func (ag *Agent) doOrder(ctx context.Context, ac order.Action) {
	key := order.Prefix + ag.Node.Settings.Server.Name
	switch ac.Kind() {
	case order.ListVersions:
		held, err := ag.look(ctx)
		ag.mu.Lock()
		defer ag.mu.Unlock()
		ag.reconciler.HandleList(held, err, time.Now())
		if err == nil {
			ag.gate.SetLoaded(held)
		}
	case order.ReadLease:
		pair, err := ag.Store.Get(ctx, key)
		var lease order.Lease
		if err == nil && len(pair.Value) > 0 {
			err = eris.Wrap(json.Unmarshal(pair.Value, &lease), "lease")
		}
		ag.mu.Lock()
		defer ag.mu.Unlock()
		ag.reconciler.HandleLease(lease, pair.Index, err, time.Now())
	case order.AcquireLease:
		value, err := json.Marshal(ac.Lease())
		if err == nil {
			_, err = ag.Store.Swap(ctx, key, value, ac.Index())
		}
		ag.mu.Lock()
		defer ag.mu.Unlock()
		ag.reconciler.HandleAcquire(err, time.Now())
	default:
		err := ag.send(ctx, ac)
		ag.Node.Note(timeline.Entry{Event: event.OrderGiven, Version: ac.Version(), Detail: string(ac.Kind()) + orderOutcome(err)})
		ag.mu.Lock()
		defer ag.mu.Unlock()
		ag.reconciler.HandleOrder(err, time.Now())
	}
}

func orderOutcome(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// look asks the server what it holds.
func (ag *Agent) look(ctx context.Context) ([]string, error) {
	var held heldBody
	err := ag.callOrders(ctx, http.MethodGet, nil, &held)
	return held.Versions, err
}

// send gives an order.
func (ag *Agent) send(ctx context.Context, ac order.Action) error {
	body, err := json.Marshal(orderBody{Do: ac.Kind(), Version: ac.Version(), Fence: ac.Lease().Fence})
	if err != nil {
		return eris.Wrap(err, "order")
	}
	return ag.callOrders(ctx, http.MethodPost, body, nil)
}

func (ag *Agent) callOrders(ctx context.Context, method string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, ag.Node.Settings.Platform.Timeout())
	defer cancel()
	url := "http://" + ag.Node.Settings.Server.Address + ordersPath
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "orders")
	}
	resp, err := ag.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "orders")
	}
	defer resp.Body.Close()
	ag.applySelfReport(resp)
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("orders: %s", resp.Status)
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "orders")
}
