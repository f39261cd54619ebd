package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// Path is the URL path at which agents accept links.
const Path = "/link"

// maxHandshakeAge is the maximum difference between the time of a handshake according to the entry
// and the agent's clock. It allows for clock skew.
const maxHandshakeAge = 2 * time.Minute

const (
	headerBox   = "Linnetrudder-Box"
	headerDC    = "Linnetrudder-Data-Centre"
	headerTime  = "Linnetrudder-Time"
	headerNonce = "Linnetrudder-Nonce"
	headerProof = "Linnetrudder-Proof"
)

var errNotAuthenticated = eris.New("peer did not prove the shared key")

// Identity is the identity of a process, with the key that authenticates it to its peers. Its fields
// must be set before use.
type Identity struct {
	// Box and DataCentre identify the process.
	Box, DataCentre string
	// SharedKey is the secret that all processes of the system share.
	SharedKey string
}

// handshakeMAC returns a message authentication code for a process's role and identity, the time
// and the nonce of a handshake. It is not valid for any other handshake.
func (id Identity) handshakeMAC(role, box, dataCentre, at, nonce string) string {
	mac := hmac.New(sha256.New, []byte(id.SharedKey))
	for _, field := range []string{role, box, dataCentre, at, nonce} {
		mac.Write([]byte(field))
		mac.Write([]byte{0})
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// Dial opens a link to an agent. Both sides authenticate each other.
func Dial(ctx context.Context, address string, id Identity, now time.Time) (*Link, error) {
	at := strconv.FormatInt(now.Unix(), 10)
	nonce := rand.Text()
	he := http.Header{}
	he.Set(headerBox, id.Box)
	he.Set(headerDC, id.DataCentre)
	he.Set(headerTime, at)
	he.Set(headerNonce, nonce)
	he.Set(headerProof, id.handshakeMAC("entry", id.Box, id.DataCentre, at, nonce))
	conn, resp, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPHeader: he})
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	pe := Peer{box: resp.Header.Get(headerBox), dataCentre: resp.Header.Get(headerDC)}
	want := id.handshakeMAC("agent", pe.box, pe.dataCentre, at, nonce)
	if !hmac.Equal([]byte(want), []byte(resp.Header.Get(headerProof))) {
		_ = conn.CloseNow()
		return nil, errNotAuthenticated
	}
	return &Link{Conn: conn, Peer: pe}, nil
}

// Accept accepts a link from an entry. Both sides authenticate each other.
func Accept(w http.ResponseWriter, r *http.Request, id Identity, now time.Time) (*Link, error) {
	he := r.Header
	pe := Peer{box: he.Get(headerBox), dataCentre: he.Get(headerDC)}
	at := he.Get(headerTime)
	nonce := he.Get(headerNonce)
	sec, err := strconv.ParseInt(at, 10, 64)
	age := now.Sub(time.Unix(sec, 0)).Abs()
	want := id.handshakeMAC("entry", pe.box, pe.dataCentre, at, nonce)
	if err != nil || age > maxHandshakeAge || !hmac.Equal([]byte(want), []byte(he.Get(headerProof))) {
		http.Error(w, errNotAuthenticated.Error(), http.StatusUnauthorized)
		return nil, errNotAuthenticated
	}
	w.Header().Set(headerBox, id.Box)
	w.Header().Set(headerDC, id.DataCentre)
	w.Header().Set(headerProof, id.handshakeMAC("agent", id.Box, id.DataCentre, at, nonce))
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, eris.Wrap(err, "accept")
	}
	return &Link{Conn: conn, Peer: pe}, nil
}
