package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
)

func (si *site) getJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// putStore writes a value as another client of the key-value service would.
func (si *site) putStore(key string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+si.fleet.Store+"/v1/kv/"+key, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
