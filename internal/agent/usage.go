package agent

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// usageBody holds the fields of a model engine's response that are needed for metering.
type usageBody struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   *struct {
		Prompt     int64 `json:"prompt_tokens"`
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
	// Confidence is the engine's own confidence estimate, if it reports one.
	Confidence float64 `json:"confidence"`
}

var (
	dataPrefix  = []byte("data: ")
	doneLine    = []byte("data: [DONE]")
	usageMarker = []byte(`"usage":{`)
)

// maxBufferedBodyBytes is the maximum length of a response that is buffered to read its usage if it
// is not streamed. A longer response is still forwarded, and billed by its length.
const maxBufferedBodyBytes = 4 << 20

// maxLineBytes is the maximum length of a line of a stream. A longer one is no event.
const maxLineBytes = 128 << 10

// meterBytes is the memory that all responses of an agent use for their metering.
const meterBytes = 32 << 20

// bytesPerToken is the approximate token length that is used to bill responses without usage.
const bytesPerToken = 4

// meter extracts the token usage from a response while it is forwarded.
type meter struct {
	// streamed is set if the response is a stream of server-sent events.
	streamed bool
	// hideUsage drops the event that carries only usage.
	hideUsage bool

	// memory is the memory that all meters share. It may be nil.
	memory *buffer.Pool

	// pending is the incomplete last line of a stream, or the body so far, nil before the first chunk. overlong is set if
	// the body did not fit.
	pending   *buffer.Body
	overlong  bool
	bytesSeen int64
	usage     *wire.Usage
	sawDone   bool
	// skipBlank is set from a dropped event until the blank line that terminates it, which may be
	// in a later chunk.
	skipBlank bool
}

// process reads a chunk of the response and returns the bytes to forward. It returns false if a line of a stream is
// too long.
func (me *meter) process(chunk []byte) ([]byte, bool) {
	me.bytesSeen += int64(len(chunk))
	if me.pending == nil {
		me.pending = me.memory.New()
	}
	if !me.streamed {
		if !me.overlong && !me.pending.Append(chunk, maxBufferedBodyBytes) {
			me.overlong = true
			me.release()
		}
		return bytes.Clone(chunk), true
	}
	end := bytes.LastIndexByte(chunk, '\n') + 1
	if end == 0 {
		return nil, me.pending.Append(chunk, maxLineBytes)
	}
	lines := slices.Concat(me.pending.Bytes(), chunk[:end])
	me.release()
	return me.filter(lines), me.pending.Append(chunk[end:], maxLineBytes)
}

// release releases the pending bytes.
func (me *meter) release() {
	if me.pending != nil {
		me.pending.Release()
	}
	me.pending = me.memory.New()
}

// filter reads complete lines and drops the usage event if the caller did not request it.
func (me *meter) filter(lines []byte) []byte {
	if bytes.Contains(lines, doneLine) {
		me.sawDone = true
	}
	if !me.skipBlank && !bytes.Contains(lines, usageMarker) {
		return lines
	}
	out := make([]byte, 0, len(lines))
	for line := range bytes.Lines(lines) {
		blank := len(bytes.TrimSpace(line)) == 0
		if me.skipBlank && blank {
			me.skipBlank = false
			continue
		}
		if bytes.Contains(line, usageMarker) && me.readUsage(bytes.TrimPrefix(line, dataPrefix)) && me.hideUsage {
			me.skipBlank = true
			continue
		}
		out = append(out, line...)
	}
	return out
}

// readUsage reads the usage from an event or body. It reports whether the event carries nothing but
// usage.
func (me *meter) readUsage(body []byte) bool {
	var ub usageBody
	if json.Unmarshal(body, &ub) != nil || ub.Usage == nil {
		return false
	}
	me.usage = &wire.Usage{Prompt: ub.Usage.Prompt, Completion: ub.Usage.Completion, Confidence: ub.Confidence}
	return len(ub.Choices) == 0
}

// finish returns the remaining bytes to forward, the usage, and whether the response was complete.
func (me *meter) finish() ([]byte, *wire.Usage, bool) {
	complete := !me.streamed || me.sawDone
	defer me.release()
	var remaining []byte
	switch {
	case me.pending == nil:
	case me.streamed:
		remaining = me.pending.Bytes()
	case !me.overlong:
		me.readUsage(me.pending.Bytes())
	}
	if me.usage == nil {
		me.usage = &wire.Usage{Completion: me.bytesSeen / bytesPerToken}
	}
	return remaining, me.usage, complete
}
