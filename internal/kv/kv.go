// Package kv is a client of the platform's key-value service, which has the HTTP API of Consul's
// key-value store. All calls are counted and rate-limited.
package kv

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/linnetrudder/linnetrudder/internal/jsonlist"
	"github.com/linnetrudder/linnetrudder/internal/metrics"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/stall"
)

// Pair is a key with its value. Index is the service's modify index, which compare-and-swap refers
// to; zero means that the key does not exist.
type Pair struct {
	Key   string
	Value []byte
	Index uint64
	// Err is why a key of a list could not be read, nil if it could.
	Err error
}

const (
	// maxListBytes bounds the response to a recursive read.
	maxListBytes = 64 << 20
	// maxValueBytes bounds the response to any other call. A value has a megabyte at the most, and is encoded.
	maxValueBytes = 4 << 20
)

// Client calls the service. Its exported fields are set before use; its methods are safe for
// concurrent use.
type Client struct {
	// Address is the IP number and port of the service.
	Address string
	// Token is sent with each call if it is not empty.
	Token string
	// Timeout is how long each call may make no progress, in addition to the wait of a watch.
	Timeout time.Duration
	// Limiter limits the calls to this process's share of the service's rate limit.
	Limiter *rate.Limiter
	// HTTP sends the requests.
	HTTP *http.Client
}

type wirePair struct {
	Key         string `json:"Key"`
	Value       string `json:"Value"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

// Get reads one key. A pair with index zero means that the key does not exist.
func (cl *Client) Get(ctx context.Context, key string) (Pair, error) {
	pairs, _, err := cl.read(ctx, key, url.Values{}, 0)
	return firstPair(key, pairs), err
}

// Watch waits until the key's index is higher than the given one or the wait is over, and returns
// the key's pair and the service's index.
func (cl *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Pair, uint64, error) {
	query := url.Values{}
	query.Set("index", strconv.FormatUint(after, 10))
	query.Set("wait", fmt.Sprintf("%dms", wait.Milliseconds()))
	pairs, index, err := cl.read(ctx, key, query, wait)
	return firstPair(key, pairs), index, err
}

// List reads all keys below a prefix in one call. Those that are malformed have an Err.
func (cl *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	query := url.Values{}
	query.Set("recurse", "true")
	pairs, _, err := cl.read(ctx, prefix, query, 0)
	return pairs, err
}

// Swap writes a value if the key's index is still the given one; zero means that the key must not
// exist. It reports whether the value was written. An error with the code result.StoreUnknown means
// that it may have been written.
func (cl *Client) Swap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	query := url.Values{}
	query.Set("cas", strconv.FormatUint(index, 10))
	body, _, err := cl.call(ctx, http.MethodPut, key, query, value, 0)
	if err != nil {
		return false, err
	}
	return string(bytes.TrimSpace(body)) == "true", nil
}

func firstPair(key string, pairs []Pair) Pair {
	if len(pairs) == 0 {
		return Pair{Key: key}
	}
	return pairs[0]
}

func (cl *Client) read(ctx context.Context, key string, query url.Values, wait time.Duration) ([]Pair, uint64, error) {
	body, index, err := cl.call(ctx, http.MethodGet, key, query, nil, wait)
	if err != nil || body == nil {
		return nil, index, err
	}
	var pairs []Pair
	malformed, err := jsonlist.Decode(body, func(raw json.RawMessage) error {
		pair := decodePair(raw)
		pairs = append(pairs, pair)
		return pair.Err
	})
	switch {
	case err != nil:
		return nil, 0, result.New(result.StoreDown, "malformed answer: "+err.Error())
	case malformed > 0 && query.Get("recurse") == "":
		// Without it, the only key that was asked for would seem not to exist.
		return nil, 0, result.New(result.StoreDown, "malformed value")
	}
	metrics.StoreCalls.Add("malformed", int64(malformed))
	return pairs, index, nil
}

// decodePair decodes one element of a response.
func decodePair(raw json.RawMessage) Pair {
	var wp wirePair
	if err := json.Unmarshal(raw, &wp); err != nil {
		return Pair{Key: wp.Key, Err: eris.Wrap(err, "decode key")}
	}
	value, err := base64.StdEncoding.DecodeString(wp.Value)
	if err != nil {
		return Pair{Key: wp.Key, Err: eris.Wrap(err, "decode value")}
	}
	return Pair{Key: wp.Key, Value: value, Index: wp.ModifyIndex}
}

// call sends one request. A nil body without an error means that the key does not exist.
func (cl *Client) call(ctx context.Context, method, key string, query url.Values, value []byte, wait time.Duration) ([]byte, uint64, error) {
	if err := cl.Limiter.Wait(ctx); err != nil {
		return nil, 0, result.New(result.StoreBudget, err.Error())
	}
	ctx, gu := stall.WithTimeout(ctx, wait+cl.Timeout)
	defer gu.Stop()
	req, err := cl.request(ctx, method, key, query, value)
	if err != nil {
		return nil, 0, err
	}
	metrics.StoreCalls.Add(method, 1)
	resp, err := cl.HTTP.Do(req)
	if err != nil {
		metrics.StoreCalls.Add("failed", 1)
		return nil, 0, CallError(method == http.MethodPut, err.Error())
	}
	defer resp.Body.Close()
	limit := int64(maxValueBytes)
	if query.Has("recurse") {
		limit = maxListBytes
	}
	body, err := gu.ReadAll(resp.Body, cl.Timeout, limit)
	if err != nil {
		metrics.StoreCalls.Add("failed", 1)
		return nil, 0, CallError(method == http.MethodPut, err.Error())
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	switch {
	case resp.StatusCode == http.StatusNotFound && method == http.MethodGet:
		return nil, index, nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, 0, result.New(result.StoreDown, "rate limited")
	case resp.StatusCode != http.StatusOK:
		metrics.StoreCalls.Add("failed", 1)
		return nil, 0, CallError(method == http.MethodPut, resp.Status)
	}
	return body, index, nil
}

func (cl *Client) request(ctx context.Context, method, key string, query url.Values, value []byte) (*http.Request, error) {
	ur := url.URL{Scheme: "http", Host: cl.Address, Path: "/v1/kv/" + key, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, ur.String(), bytes.NewReader(value))
	if err != nil {
		return nil, eris.Wrap(err, "key-value request")
	}
	if cl.Token != "" {
		req.Header.Set("X-Consul-Token", cl.Token)
	}
	return req, nil
}

// CallError returns the error of a call without a usable response. A write may have been made
// nonetheless; a read has no result.
func CallError(write bool, detail string) error {
	if write {
		return result.New(result.StoreUnknown, detail)
	}
	return result.New(result.StoreDown, detail)
}
