package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/config"
)

// adminClient changes the configuration through an entry's administration API.
type adminClient struct{ address string }

func (ac adminClient) applyConfig(doc *config.Document) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return ac.call(http.MethodPut, "/v1/config", body)
}

func (ac adminClient) call(method, path string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+ac.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, path, resp.Status)
	}
	return nil
}

// changePeriodically changes one version's share at a rate per second until the returned function
// is called.
func (ac adminClient) changePeriodically(rate float64, _ int) func() {
	if rate == 0 {
		return func() {}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ti := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ti.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ti.C:
				body := fmt.Sprintf(`{"state":"rolling-in","share":%.3f}`, float64(n%100)/1000)
				_ = ac.call(http.MethodPost, "/v1/versions/menu/v2", []byte(body))
			}
		}
	})
	return func() {
		close(stop)
		wg.Wait()
	}
}
