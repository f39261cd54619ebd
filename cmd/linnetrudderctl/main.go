// Command linnetrudderctl is the command-line client for operators. It shows and changes the
// configuration and state of the system through the admin API of the entries.
package main

import "os"

func main() {
	os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr))
}
