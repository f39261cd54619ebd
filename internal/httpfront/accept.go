package httpfront

import (
	"errors"
	"log"
	"net"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after an error of accept. It doubles with each error in a row.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// patientListener is a listener whose Accept tries again after errors that pass, such as a lack of file
// descriptors, which other connections will release.
type patientListener struct{ net.Listener }

// Accept returns the next connection.
func (pl patientListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		co, err := pl.Listener.Accept()
		if err == nil || !passes(err) {
			return co, err //nolint:wrapcheck // as returned by the listener
		}
		log.Printf("http: Accept error: %v; retrying in %v", err, pause)
		time.Sleep(pause)
	}
}

// passes reports whether an error of accept concerns one connection or a lack of resources.
func passes(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Temporary() //nolint:staticcheck // well-defined for accept, and used by net/http for it
}
