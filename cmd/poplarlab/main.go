// Command poplarlab runs test doubles of the systems around a proxy: a store, a
// database member and callers under load. It also runs a demonstration cluster and soak
// tests.
package main

import (
	"os"

	"poplarrouter.example/poplarrouter/internal/cli"
)

func main() {
	os.Exit(cli.Main(storeCommand(), memberCommand(), loadCommand(), demoCommand(), soakCommand()))
}
