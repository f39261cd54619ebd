// Command linnetrudderctl is the operators' command: it changes and shows
// what the system does, through the administration API of the entries.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
