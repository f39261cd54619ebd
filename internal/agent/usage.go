package agent

import (
	"bytes"
	"encoding/json"

	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// usageBody is the part of an engine's answer that is read here.
type usageBody struct {
	Choices []json.RawMessage `json:"choices"`
	Usage   *struct {
		Prompt     int64 `json:"prompt_tokens"`
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
	// Confidence is an engine's own estimate, if it makes one.
	Confidence float64 `json:"confidence"`
}

var (
	dataPrefix = []byte("data: ")
	doneLine   = []byte("data: [DONE]")
	usageMark  = []byte(`"usage":{`)
)

// maxWhole bounds what is kept of an answer that is not streamed, to read its
// usage; a longer one is passed on and billed by its bytes.
const maxWhole = 4 << 20

// bytesPerToken is the rule of thumb for answers that report no usage.
const bytesPerToken = 4

// meter reads the usage out of an answer that passes through.
type meter struct {
	// stream is set for server-sent events.
	stream bool
	// hideUsage drops the event that only carries usage.
	hideUsage bool

	// rest is an incomplete line of a stream, or the whole body.
	rest  []byte
	size  int64
	usage *wire.Usage
	done  bool
	// skipBlank is set after a hidden event, until the blank line that ends it
	// has come, which may be in another part.
	skipBlank bool
}

// pass takes a part of the answer and returns what to pass on.
func (me *meter) pass(part []byte) []byte {
	me.size += int64(len(part))
	if !me.stream {
		if len(me.rest)+len(part) <= maxWhole {
			me.rest = append(me.rest, part...)
		}
		return bytes.Clone(part)
	}
	me.rest = append(me.rest, part...)
	end := bytes.LastIndexByte(me.rest, '\n') + 1
	lines := me.rest[:end]
	out := me.filter(lines)
	me.rest = append([]byte(nil), me.rest[end:]...)
	return out
}

// filter reads whole lines and drops the usage event where it was not asked
// for.
func (me *meter) filter(lines []byte) []byte {
	if bytes.Contains(lines, doneLine) {
		me.done = true
	}
	if !me.skipBlank && !bytes.Contains(lines, usageMark) {
		return lines
	}
	out := make([]byte, 0, len(lines))
	for line := range bytes.Lines(lines) {
		blank := len(bytes.TrimSpace(line)) == 0
		if me.skipBlank && blank {
			me.skipBlank = false
			continue
		}
		if bytes.Contains(line, usageMark) && me.read(bytes.TrimPrefix(line, dataPrefix)) && me.hideUsage {
			me.skipBlank = true
			continue
		}
		out = append(out, line...)
	}
	return out
}

// read takes the usage from an event or body. It reports whether the event
// carries nothing else.
func (me *meter) read(body []byte) bool {
	var ub usageBody
	if json.Unmarshal(body, &ub) != nil || ub.Usage == nil {
		return false
	}
	me.usage = &wire.Usage{Prompt: ub.Usage.Prompt, Completion: ub.Usage.Completion, Confidence: ub.Confidence}
	return len(ub.Choices) == 0
}

// finish returns what is left to pass on, the usage, and whether the answer
// was whole.
func (me *meter) finish() ([]byte, *wire.Usage, bool) {
	whole := !me.stream || me.done
	var left []byte
	if me.stream {
		left = me.rest
	} else {
		me.read(me.rest)
	}
	if me.usage == nil {
		me.usage = &wire.Usage{Completion: me.size / bytesPerToken}
	}
	return left, me.usage, whole
}
