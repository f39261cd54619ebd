// Command linnetrudder is the daemon. It runs an entry, which serves callers, an agent, which controls
// access to one backend server, or a gateway, which serves callers on the users' platform.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
