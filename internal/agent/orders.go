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

// reconcileInterval is how often the server's loaded versions are compared with the configuration.
const reconcileInterval = 500 * time.Millisecond

// ordersPath is the path at which a model engine accepts orders and reports its loaded versions.
const ordersPath = "/orders"

// orderBody is the JSON body of an order to the engine.
type orderBody struct {
	Do      order.ActionKind `json:"do"`
	Version string           `json:"version"`
	Fence   uint64           `json:"fence"`
}

// loadedBody is the engine's report of its loaded versions.
type loadedBody struct {
	Versions []string `json:"versions"`
}

// reconcileVersions keeps the loaded versions of the backend server in line with the configuration,
// if the configuration enables orders for the server.
func (ag *Agent) reconcileVersions(ctx context.Context) error {
	return node.Every(ctx, reconcileInterval, func(time.Time) {
		for ag.reconcileOnce(ctx) {
		}
	})
}

// reconcileOnce executes the next action, if any. It reports whether there may be another.
func (ag *Agent) reconcileOnce(ctx context.Context) bool {
	sn := ag.Node.Snapshot()
	if sn == nil {
		return false
	}
	se := sn.Server(ag.Node.Settings.Server.Name)
	if se == nil || !se.Orders || ag.Node.Stopping() {
		return false
	}
	ac, ok := ag.nextAction(se)
	if ok {
		ag.execute(ctx, ac)
	}
	return ok
}

// nextAction returns the next action for the server, if any. A server that announced its shutdown
// gets no orders.
func (ag *Agent) nextAction(se *config.Server) (order.Action, bool) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.reconciler.SetDesired(se.Versions)
	if ag.gate.ServerLeaving() {
		return order.Action{}, false
	}
	return ag.reconciler.Next(ag.isRunning, time.Now())
}

// isRunning reports whether an attempt on a version is queued or running. The caller holds ag.mu.
func (ag *Agent) isRunning(version string) bool {
	for _, st := range ag.streams {
		if st.at.Version == version {
			return true
		}
	}
	return false
}

func (ag *Agent) execute(ctx context.Context, ac order.Action) {
	key := order.Prefix + ag.Node.Settings.Server.Name
	switch ac.Kind() {
	case order.ListVersions:
		loaded, err := ag.loadedVersions(ctx)
		ag.mu.Lock()
		defer ag.mu.Unlock()
		ag.reconciler.HandleList(loaded, err, time.Now())
		if err == nil {
			ag.gate.SetLoaded(loaded)
		}
	case order.ReadLease:
		pair, err := ag.Store.Get(ctx, key)
		var lease order.Lease
		if err == nil && len(pair.Value) > 0 {
			err = eris.Wrap(json.Unmarshal(pair.Value, &lease), "decode lease")
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
		err := ag.sendOrder(ctx, ac)
		ag.Node.Record(timeline.Entry{Event: event.OrderGiven, Version: ac.Version(), Detail: string(ac.Kind()) + orderOutcome(err)})
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

// loadedVersions asks the server for its loaded versions.
func (ag *Agent) loadedVersions(ctx context.Context) ([]string, error) {
	var loaded loadedBody
	err := ag.callOrders(ctx, http.MethodGet, nil, &loaded)
	return loaded.Versions, err
}

// sendOrder sends the server an order to load or unload a version.
func (ag *Agent) sendOrder(ctx context.Context, ac order.Action) error {
	body, err := json.Marshal(orderBody{Do: ac.Kind(), Version: ac.Version(), Fence: ac.Lease().Fence})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	return ag.callOrders(ctx, http.MethodPost, body, nil)
}

func (ag *Agent) callOrders(ctx context.Context, method string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, ag.Node.Settings.Platform.Timeout())
	defer cancel()
	url := "http://" + ag.Node.Settings.Server.Address + ordersPath
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create orders request")
	}
	resp, err := ag.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "send orders request")
	}
	defer resp.Body.Close()
	ag.applySelfReport(resp)
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("orders request: unexpected status %s", resp.Status)
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode orders response")
}
