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

// callTimeout bounds one call.
const callTimeout = 20 * time.Second

// client calls the administration API of the first entry that answers.
type client struct {
	admins        []string
	key, operator string
}

// get reads a path into a value.
func (cl *client) get(path string, into any) error {
	return cl.call(http.MethodGet, path, nil, into)
}

// call makes one call. A write carries one operation id over all entries that
// are tried, so that it is made once.
func (cl *client) call(method, path string, body []byte, into any) error {
	operation := uuid.NewString()
	if len(cl.admins) == 0 {
		return result.New(result.BadSettings, "--admin: name at least one entry")
	}
	var last error
	for _, admin := range cl.admins {
		last = cl.callOne(admin, method, path, operation, body, into)
		if !worthAnother(last) {
			return last
		}
	}
	return last
}

// worthAnother reports whether another entry may do better.
func worthAnother(err error) bool {
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
		return eris.Wrap(err, "call")
	}
	req.Header.Set("Authorization", "Bearer "+cl.key)
	req.Header.Set("Linnetrudder-Operation", operation)
	req.Header.Set("Linnetrudder-Operator", cl.operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	if resp.StatusCode != http.StatusOK {
		return problem(resp, data)
	}
	return eris.Wrap(json.Unmarshal(data, into), "answer")
}

func problem(resp *http.Response, data []byte) error {
	var pr node.ErrorBody
	if json.Unmarshal(data, &pr) != nil || pr.Error.Code == 0 {
		return eris.Errorf("%s: %s", resp.Status, data)
	}
	text := result.Of(pr.Error.Code).Text()
	_, detail, _ := strings.Cut(pr.Error.Message, text+": ")
	return result.New(pr.Error.Code, detail)
}

// everyone returns every box of the platform's list.
func (cl *client) everyone() ([]boxes.Box, error) {
	var list []boxes.Box
	err := cl.get("/v1/boxes", &list)
	return list, err
}

// askAll calls a path on every box and hands each answer over; a box that
// does not answer is handed over with its error.
func (cl *client) askAll(path string, into func() any, got func(bo boxes.Box, value any, err error)) error {
	list, err := cl.everyone()
	if err != nil {
		return err
	}
	for _, bo := range list {
		value := into()
		one := client{admins: []string{bo.Admin}, key: cl.key, operator: cl.operator}
		got(bo, value, one.get(path, value))
	}
	return nil
}
