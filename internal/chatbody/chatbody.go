// Package chatbody reads the bodies of chat requests, and replaces some of their fields, in memory that does not grow
// with the number of fields or messages.
package chatbody

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/poison"
)

// chatForm holds the fields of a chat request that are validated or used. The type name appears in the texts of
// decoding errors that callers receive.
type chatForm struct {
	Model         string      `json:"model"`
	Messages      messageList `json:"messages"`
	Stream        bool        `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// messageList holds the ids of those messages of a list that other requests may share.
type messageList struct {
	count int
	parts []string
}

// UnmarshalJSON reads a list of messages.
func (ml *messageList) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	if data[0] != '[' {
		return eris.New("messages: must be a list")
	}
	var parts poison.PartCollector
	ml.count = 0
	elements(data, func(message []byte) {
		ml.count++
		parts.Add(message)
	})
	ml.parts = parts.Shared()
	return nil
}

// The fields that are replaced.
const (
	fieldModel         = "model"
	fieldPriority      = "priority"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
)

// Body is the body of a chat request.
type Body struct {
	data []byte
	form chatForm
	// streams is set if the field stream, with exactly this name, is true.
	streams bool
}

// Parse reads and validates a body, which must not be changed afterwards.
func Parse(data []byte) (*Body, error) {
	bo := &Body{data: data}
	if err := json.Unmarshal(data, &bo.form); err != nil {
		return nil, err //nolint:wrapcheck // callers receive the text
	}
	if bo.form.Model == "" {
		return nil, eris.New("model: missing")
	}
	if bo.form.Messages.count == 0 {
		return nil, eris.New("messages: must not be empty")
	}
	members(data, func(name, _, value []byte) {
		if string(name) == fieldStream {
			bo.streams = string(value) == "true"
		}
	})
	return bo, nil
}

// Model returns the requested model.
func (bo *Body) Model() string { return bo.form.Model }

// Parts returns the ids of the messages that other requests may share.
func (bo *Body) Parts() []string { return bo.form.Messages.parts }

// HidesUsage reports whether the caller asked for a stream, and not for the usage at its end.
func (bo *Body) HidesUsage() bool {
	return bo.form.Stream && (bo.form.StreamOptions == nil || !bo.form.StreamOptions.IncludeUsage)
}

// With returns the body for a model. A priority of zero leaves that of the body. Streams report their usage.
func (bo *Body) With(model string, priority int) []byte {
	quoted, _ := json.Marshal(model) // a string can always be encoded
	set := []string{fieldModel}
	out := make([]byte, 0, len(bo.data)+len(model)+128)
	out = append(append(out, `{"model":`...), quoted...)
	if priority > 0 {
		set = append(set, fieldPriority)
		out = strconv.AppendInt(append(out, `,"priority":`...), int64(priority), 10)
	}
	if bo.streams {
		set = append(set, fieldStreamOptions)
		out = append(out, `,"stream_options":{"include_usage":true}`...)
	}
	members(bo.data, func(name, member, _ []byte) {
		if !slices.Contains(set, string(name)) {
			out = append(append(out, ','), member...)
		}
	})
	return append(out, '}')
}
