package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// callTimeout is the timeout of one HTTP request.
const callTimeout = 20 * time.Second

// client calls the admin API of the entries. It tries the next entry if one does not respond or
// can't serve the call.
type client struct {
	admins        []string
	key, operator string
}

// get sends a GET request and decodes the response into a value.
func (cl *client) get(path string, into any) error {
	return cl.call(http.MethodGet, path, nil, into)
}

// call sends a request to the entries in turn until one serves it, and decodes the response into a
// value. All entries get the same operation ID, so that a write is applied once even if it is sent to
// several entries.
func (cl *client) call(method, path string, body []byte, into any) error {
	operation := uuid.NewString()
	if len(cl.admins) == 0 {
		return result.New(result.BadSettings, "--admin: give the address of at least one entry")
	}
	var lastErr error
	for _, admin := range cl.admins {
		lastErr = cl.callOne(admin, method, path, operation, body, into)
		if !shouldTryNext(lastErr) {
			return lastErr
		}
	}
	return lastErr
}

// shouldTryNext reports whether another entry may serve the request after this error.
func shouldTryNext(err error) bool {
	if err == nil {
		return false
	}
	var er *result.Error
	if !eris.As(err, &er) {
		return true
	}
	switch er.Code() {
	case result.StoreUnknown, result.StoreDown, result.NoConfiguration, result.UnknownRequest:
		return true
	}
	return false
}

func (cl *client) callOne(admin, method, path, operation string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+admin+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "call admin API")
	}
	req.Header.Set("Authorization", "Bearer "+cl.key)
	req.Header.Set("Linnetrudder-Operation", operation)
	req.Header.Set("Linnetrudder-Operator", cl.operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "call admin API")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "call admin API")
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp, data)
	}
	return eris.Wrap(json.Unmarshal(data, into), "decode response")
}

// decodeError returns the error that a response contains, with its result code if it has one.
func decodeError(resp *http.Response, data []byte) error {
	var pr node.ErrorBody
	if json.Unmarshal(data, &pr) != nil || pr.Error.Code == 0 {
		return eris.Errorf("%s: %s", resp.Status, data)
	}
	text := result.Lookup(pr.Error.Code).Text()
	_, detail, _ := strings.Cut(pr.Error.Message, text+": ")
	return result.New(pr.Error.Code, detail)
}

// listBoxes returns the platform's list of boxes.
func (cl *client) listBoxes() ([]boxes.Box, error) {
	var list []boxes.Box
	err := cl.get("/v1/boxes", &list)
	return list, err
}

// getFromAll gets a path from every box and decodes each response into a new value. It passes the
// value to handle, together with the error if the request failed.
func (cl *client) getFromAll(path string, newValue func() any, handle func(bo boxes.Box, value any, err error)) error {
	list, err := cl.listBoxes()
	if err != nil {
		return err
	}
	for _, bo := range list {
		value := newValue()
		single := client{admins: []string{bo.Admin}, key: cl.key, operator: cl.operator}
		handle(bo, value, single.get(path, value))
	}
	return nil
}
