// Command poplarrouter runs a database proxy with session consistency, and provides the
// operators' commands for it.
package main

import (
	"os"

	"poplarrouter.example/poplarrouter/internal/cli"
)

func main() {
	os.Exit(cli.Main(serveCommand(), sheetCommand(), statusCommand(), drainCommand(), switchoverCommand(), replayCommand(), explainCommand(), settingsCommand(), versionCommand()))
}
