// Package poison finds requests under which backend servers end: each server that begins
// to run such a request fails, with all that runs there. It knows which requests were with
// a server when it ended, counts the ends of each over all gateways, and says which are not
// to be sent any more. It does no I/O and reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Fingerprint is a request's fingerprint. Copies of a request have the same, whoever names them
// anew: a caller's retry has an id of its own.
type Fingerprint [16]byte

// Request is what copies of a request have in common. Its fields are exported because it is
// data without behaviour.
type Request struct {
	// Team is the name of the caller's team, empty on a public route: nobody can have
	// another team's requests taken for copies of his own.
	Team string
	// Method, Host and Target are the caller's, the target with its query. Host is empty where
	// requests are not routed by it: copies may come by several then.
	Method, Host, Target string
	Body                 []byte
}

// FingerprintOf returns the fingerprint of a request. The hash is one that nobody can find a second
// request for: what is blocked for one caller must not block what others send.
func FingerprintOf(re Request) Fingerprint {
	ha := sha256.New()
	for _, part := range []string{re.Team, re.Method, re.Host, re.Target} {
		var size [binary.MaxVarintLen64]byte
		ha.Write(binary.AppendUvarint(size[:0], uint64(len(part))))
		ha.Write([]byte(part))
	}
	ha.Write(re.Body)
	return Fingerprint(ha.Sum(nil)[:len(Fingerprint{})])
}

// IsZero reports whether the fingerprint is not known yet.
func (pr Fingerprint) IsZero() bool { return pr == Fingerprint{} }

// String returns the fingerprint in hex, empty if it is not known.
func (pr Fingerprint) String() string {
	if pr.IsZero() {
		return ""
	}
	return hex.EncodeToString(pr[:])
}

// MarshalText returns the fingerprint in hex.
func (pr Fingerprint) MarshalText() ([]byte, error) { return []byte(pr.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (pr *Fingerprint) UnmarshalText(text []byte) error {
	read, err := ParseFingerprint(string(text))
	*pr = read
	return err
}

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(Fingerprint{}) {
		return Fingerprint{}, eris.Errorf("%q is no fingerprint of a request", text)
	}
	return Fingerprint(data), nil
}
