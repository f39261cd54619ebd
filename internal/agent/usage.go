package agent

import (
	"bytes"
	"encoding/json"

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

// bytesPerToken is the approximate token length that is used to bill responses without usage.
const bytesPerToken = 4

// meter extracts the token usage from a response while it is forwarded.
type meter struct {
	// streamed is set if the response is a stream of server-sent events.
	streamed bool
	// hideUsage drops the event that carries only usage.
	hideUsage bool

	// pending is the incomplete last line of a stream, or the body so far.
	pending   []byte
	bytesSeen int64
	usage     *wire.Usage
	sawDone   bool
	// skipBlank is set from a dropped event until the blank line that terminates it, which may be
	// in a later chunk.
	skipBlank bool
}

// process reads a chunk of the response and returns the bytes to forward.
func (me *meter) process(chunk []byte) []byte {
	me.bytesSeen += int64(len(chunk))
	if !me.streamed {
		if len(me.pending)+len(chunk) <= maxBufferedBodyBytes {
			me.pending = append(me.pending, chunk...)
		}
		return bytes.Clone(chunk)
	}
	me.pending = append(me.pending, chunk...)
	end := bytes.LastIndexByte(me.pending, '\n') + 1
	lines := me.pending[:end]
	out := me.filter(lines)
	me.pending = append([]byte(nil), me.pending[end:]...)
	return out
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
	var remaining []byte
	if me.streamed {
		remaining = me.pending
	} else {
		me.readUsage(me.pending)
	}
	if me.usage == nil {
		me.usage = &wire.Usage{Completion: me.bytesSeen / bytesPerToken}
	}
	return remaining, me.usage, complete
}
