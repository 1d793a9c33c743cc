// Command poplarrouter is a database proxy with session consistency, and the
// tool by which operators drive it.
package main

import (
	"os"

	"poplarrouter.example/poplarrouter/internal/cli"
)

func main() {
	os.Exit(cli.Main(serveCommand(), sheetCommand(), statusCommand(), drainCommand(), switchoverCommand(), replayCommand(), settingsCommand(), versionCommand()))
}
