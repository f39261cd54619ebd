// Package poison detects poison requests, which crash the backend servers that process them,
// together with all other work there. It tracks which requests were on a server when it crashed,
// counts the crashes per request over all gateways, and decides which requests are blocked. It does
// no I/O and reads no clock.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/rotisserie/eris"
)

// Fingerprint identifies the content of a request. Copies of a request have the same fingerprint
// whatever their request ids are: a caller's retry has an id of its own.
type Fingerprint [16]byte

// Request holds the parts of a request that its copies have in common. Its fields are exported
// because it is data without behaviour.
type Request struct {
	// Team is the name of the caller's team, empty on a public route. It is part of the fingerprint
	// so that no team can have another team's requests blocked.
	Team string
	// Method, Host and Target are the caller's, the target with its query. Host is empty where
	// requests are not routed by it, since copies may then use different hosts.
	Method, Host, Target string
	// Body is the body, nil if there is none.
	Body io.WriterTo
}

// FingerprintOf returns the fingerprint of a request. The hash is resistant to second preimages:
// blocking one caller's request must not block what others send.
func FingerprintOf(re Request) Fingerprint {
	ha := sha256.New()
	writeFields(ha, re.Team, re.Method, re.Host, re.Target)
	if re.Body != nil {
		_, _ = re.Body.WriteTo(ha)
	}
	return Fingerprint(ha.Sum(nil)[:len(Fingerprint{})])
}

// hashFields returns the fingerprint of a list of fields.
func hashFields(fields ...string) Fingerprint {
	ha := sha256.New()
	writeFields(ha, fields...)
	return Fingerprint(ha.Sum(nil)[:len(Fingerprint{})])
}

// writeFields writes each field with its length, so that lists of fields differ if any field does.
func writeFields(ha hash.Hash, fields ...string) {
	for _, field := range fields {
		var size [binary.MaxVarintLen64]byte
		ha.Write(binary.AppendUvarint(size[:0], uint64(len(field))))
		ha.Write([]byte(field))
	}
}

// IsZero reports whether the fingerprint is not known yet.
func (fp Fingerprint) IsZero() bool { return fp == Fingerprint{} }

// String returns the fingerprint in hex, or an empty string if it is not known.
func (fp Fingerprint) String() string {
	if fp.IsZero() {
		return ""
	}
	return hex.EncodeToString(fp[:])
}

// MarshalText returns the fingerprint in hex.
func (fp Fingerprint) MarshalText() ([]byte, error) { return []byte(fp.String()), nil }

// UnmarshalText parses the output of MarshalText.
func (fp *Fingerprint) UnmarshalText(text []byte) error {
	parsed, err := ParseFingerprint(string(text))
	*fp = parsed
	return err
}

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(Fingerprint{}) {
		return Fingerprint{}, eris.Errorf("%q is not a request fingerprint", text)
	}
	return Fingerprint(data), nil
}
