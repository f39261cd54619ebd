package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

func (sy *system) getJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// storedConfig returns the configuration in the key-value service.
func (sy *system) storedConfig() (*config.Envelope, error) {
	var pairs []struct{ Value []byte }
	if err := sy.getJSON("http://"+sy.fleet.Store+"/v1/kv/"+config.StoreKey, &pairs); err != nil {
		return nil, err
	}
	return config.DecodeEnvelope(pairs[0].Value)
}

// putStore writes a value to the key-value service directly, bypassing the system.
func (sy *system) putStore(key string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+sy.fleet.Store+"/v1/kv/"+key, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
