// Command linnetrudder is the daemon: an entry that callers reach, or an
// agent beside one backend server.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
