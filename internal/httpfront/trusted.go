package httpfront

import (
	"net/http"
	"time"
)

const (
	// TrustedHeaderTimeout is the time limit of a request header from trusted clients.
	TrustedHeaderTimeout = 10 * time.Second
	// trustedIdleTimeout is the time limit between the requests of a connection, trustedHeaderBytes the maximum size
	// of a request header.
	trustedIdleTimeout = 2 * time.Minute
	trustedHeaderBytes = 64 << 10
)

// NewTrustedServer returns a server for operators, other processes of the system and the platform, whose connections
// aren't counted.
func NewTrustedServer(ha http.Handler) *http.Server {
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: TrustedHeaderTimeout, IdleTimeout: trustedIdleTimeout, MaxHeaderBytes: trustedHeaderBytes,
	}
}
