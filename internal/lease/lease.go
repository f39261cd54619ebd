// Package lease defines the leases of the platform's key-value service.
package lease

import "github.com/rotisserie/eris"

// ID identifies a lease, zero for none.
type ID int64

// ErrExpired means that a lease expired before it was renewed.
var ErrExpired = eris.New("the lease has expired")
