package httpfront

import "net"

// HostName returns a request's host without the port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
