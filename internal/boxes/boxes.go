// Package boxes reads the platform's list of live and leaving boxes, which may lag behind the actual
// state of the boxes.
package boxes

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/jsonlist"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/stall"
)

// Role is the role of the process on a box.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is the state of a box according to the platform.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Box is an entry in the list of boxes.
type Box struct {
	Name       string `json:"box"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// Address is the IP address and port of the box's process.
	Address string `json:"address"`
	// Admin is the IP address and port of its admin API.
	Admin string `json:"admin"`
	// Server is the backend server on an agent's box.
	Server string `json:"server,omitempty"`
	State  State  `json:"state"`
}

// maxListBytes is the maximum size of the list.
const maxListBytes = 8 << 20

// Client reads the list over HTTP. Its fields are set before use.
type Client struct {
	// Address is the IP address and port of the service that provides the list.
	Address string
	// Timeout is how long a call may make no progress.
	Timeout time.Duration
	HTTP    *http.Client
}

// List returns the boxes in the list that have a name and a valid address.
func (cl *Client) List(ctx context.Context) ([]Box, error) {
	ctx, gu := stall.WithTimeout(ctx, cl.Timeout)
	defer gu.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cl.Address+"/v1/boxes", http.NoBody)
	if err != nil {
		return nil, result.New(result.BadSettings, "platform.boxes: "+err.Error())
	}
	resp, err := cl.HTTP.Do(req)
	if err != nil {
		return nil, result.New(result.StoreDown, "list of boxes: "+err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, result.New(result.StoreDown, "list of boxes: "+resp.Status)
	}
	data, err := gu.ReadAll(resp.Body, cl.Timeout, maxListBytes)
	if err != nil {
		return nil, result.New(result.StoreDown, "list of boxes: "+err.Error())
	}
	return Decode(data)
}

var errUnreachable = eris.New("box without a name or an address")

// Decode parses a list. It omits boxes that are malformed, have no name or whose address is not an IP address and
// port, since they can't be reached.
func Decode(data []byte) ([]Box, error) {
	var reachable []Box
	_, err := jsonlist.Decode(data, func(raw json.RawMessage) error {
		var bo Box
		if err := json.Unmarshal(raw, &bo); err != nil {
			return eris.Wrap(err, "decode box")
		}
		if ap, err := netip.ParseAddrPort(bo.Address); err != nil || ap.Port() == 0 || bo.Name == "" {
			return errUnreachable
		}
		reachable = append(reachable, bo)
		return nil
	})
	if err != nil {
		return nil, result.New(result.StoreDown, "list of boxes: "+err.Error())
	}
	return reachable, nil
}
