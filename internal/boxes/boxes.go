// Package boxes reads the platform's list of live and leaving boxes, which
// lags behind reality.
package boxes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Role is what runs on a box.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is what the platform says of a box.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Box is one box as it stands in the list.
type Box struct {
	Name       string `json:"box"`
	Role       Role   `json:"role"`
	DataCentre string `json:"data_centre"`
	// Address is where the box's process is reached.
	Address string `json:"address"`
	// Admin is its admin port.
	Admin string `json:"admin"`
	// Server is the backend server beside an agent.
	Server string `json:"server,omitempty"`
	State  State  `json:"state"`
}

// maxList bounds the list in bytes.
const maxList = 8 << 20

// Client reads the list over HTTP. Its fields are set before use.
type Client struct {
	// Address is the IP number and port of the list.
	Address string
	// Timeout bounds one reading.
	Timeout time.Duration
	HTTP    *http.Client
}

// List reads the list. Boxes whose address is not an IP number and port are
// left out.
func (cl *Client) List(ctx context.Context) ([]Box, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.Timeout)
	defer cancel()
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, result.New(result.StoreDown, "list of boxes: "+err.Error())
	}
	return Decode(data)
}

// Decode reads a list and leaves out what cannot be reached.
func Decode(data []byte) ([]Box, error) {
	var all []Box
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, result.New(result.StoreDown, "list of boxes: "+err.Error())
	}
	good := all[:0]
	for _, bo := range all {
		if _, err := netip.ParseAddrPort(bo.Address); err == nil && bo.Name != "" {
			good = append(good, bo)
		}
	}
	return good, nil
}
