// Command poplarlab runs the stand-ins for what surrounds a proxy: a store, a
// database member, callers under load, and a demonstration of all of them.
package main

import (
	"os"

	"poplarrouter.example/poplarrouter/internal/cli"
)

func main() {
	os.Exit(cli.Main(storeCommand(), memberCommand(), loadCommand(), demoCommand(), soakCommand()))
}
