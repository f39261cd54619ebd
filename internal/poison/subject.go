package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

const (
	// maxPartIDBytes is the maximum length of a part's id. Longer ones are replaced by their hash.
	maxPartIDBytes = 32
	// maxParts bounds the parts of one request that are tracked. Of a longer prompt the first and the
	// last half of them are.
	maxParts = 32
)

// Subject is a request as the detection of crashes sees it. Its fields are exported because it is
// data without behaviour.
type Subject struct {
	Fingerprint Fingerprint
	// RequestID is the caller's id of the request.
	RequestID string
	// Team is the name of the caller's team, empty on a public route. Service is the service whose
	// servers run the request.
	Team, Service string
	// Parts holds the ids of the parts of the prompt that other requests may share, in their order, as
	// SharedParts returns them.
	Parts []string
}

// SharedParts returns the ids of the parts of a prompt that other requests may share: all but the
// last, which is specific to the request or its session.
func SharedParts(ids []string) []string {
	if len(ids) < 2 {
		return nil
	}
	ids = ids[:len(ids)-1]
	if len(ids) > maxParts {
		ids = slices.Concat(ids[:maxParts/2], ids[len(ids)-maxParts/2:])
	}
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = shortenPartID(id)
	}
	return parts
}

// PartCollector collects the contents of the parts of a prompt in their order. It retains those that SharedParts
// would keep. The zero value is ready to use.
type PartCollector struct {
	first, last [][]byte
}

// Add adds the next part, which must not be changed afterwards.
func (pc *PartCollector) Add(content []byte) {
	if len(pc.first) < maxParts/2 {
		pc.first = append(pc.first, content)
		return
	}
	if len(pc.last) > maxParts/2 {
		pc.last = append(pc.last[:0], pc.last[1:]...)
	}
	pc.last = append(pc.last, content)
}

// Shared returns the ids of the parts that other requests may share, as SharedParts does.
func (pc *PartCollector) Shared() []string {
	var ids []string
	for _, content := range slices.Concat(pc.first, pc.last) {
		ids = append(ids, PartID(content))
	}
	return SharedParts(ids)
}

// PartID returns the id of a part of a prompt by its content.
func PartID(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:maxPartIDBytes/2])
}

// shortenPartID bounds the size of a part's id, which the caller chooses.
func shortenPartID(id string) string {
	if len(id) <= maxPartIDBytes {
		return id
	}
	return PartID([]byte(id))
}
