package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/config"
)

// settingsVariable is the environment variable with the path of the settings file. It is
// used if the -settings flag is not given.
const settingsVariable = "POPLARROUTER_NODE_FILE"

const settingsUsage = "the settings file; by default the one that " + settingsVariable + " names"

// readSettings reads and validates a settings file.
func readSettings(path string) (config.Settings, error) {
	if path == "" {
		path = os.Getenv(settingsVariable)
	}
	if path == "" {
		return config.Settings{}, &cli.UsageError{Detail: "got no -settings, want a settings file"}
	}
	raw, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return config.Settings{}, err
	}
	return config.Parse(raw)
}

func serveCommand() *cli.Command {
	var path string
	return &cli.Command{
		CommandName: "serve",
		Summary:     "run a proxy until SIGTERM or an operator's drain",
		Text:        "poplarrouter serve -settings FILE\n  Runs a proxy. On SIGTERM it stops listening, lets transactions end, and exits.\n  The log goes to standard output, one JSON object for each event.",
		Flags:       func(f *flag.FlagSet) { f.StringVar(&path, "settings", "", settingsUsage) },
		Run: func(ctx context.Context, _ []string) error {
			settings, err := readSettings(path)
			if err != nil {
				return err
			}
			return serve(ctx, path, settings)
		},
	}
}

// DrainTimeoutError reports that the drain period ended before all callers had finished.
type DrainTimeoutError struct{ Interrupted int }

// Error implements error.
func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("drain: timed out, %d callers were disconnected", e.Interrupted)
}

// serve runs a proxy until ctx ends or an operator requests a drain, and then drains it.
// SIGHUP makes it compare the settings file with the settings in use.
func serve(ctx context.Context, path string, settings config.Settings) error {
	proxy, cleanUp, err := app.New(settings, os.Stdout)
	if err != nil {
		return err
	}
	defer cleanUp()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for draining := false; !draining; {
		select {
		case <-reloads:
			reloaded, err := readSettings(path)
			proxy.Reload(reloaded, err)
		case <-ctx.Done():
			draining = true
		case <-proxy.DrainRequested():
			draining = true
		}
	}
	if interrupted := proxy.Drain(); interrupted > 0 {
		return &DrainTimeoutError{Interrupted: interrupted}
	}
	return nil
}

func settingsCommand() *cli.Command {
	var path string
	return &cli.Command{
		CommandName: "settings",
		Summary:     "check a settings file",
		Text:        "poplarrouter settings -settings FILE check\n  Lists every unknown key and bad value by its path.",
		Flags:       func(f *flag.FlagSet) { f.StringVar(&path, "settings", "", settingsUsage) },
		Run: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] != "check" {
				return &cli.UsageError{Detail: "want the argument \"check\""}
			}
			settings, err := readSettings(path)
			if err != nil {
				return err
			}
			fmt.Printf("settings of host %s in %s, %s are valid\n", settings.Host, settings.DataCentre, settings.Region)
			return nil
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		CommandName: "version",
		Summary:     "print the version of the program",
		Text:        "poplarrouter version",
		Run: func(context.Context, []string) error {
			info, found := debug.ReadBuildInfo()
			if !found {
				fmt.Println("poplarrouter (unknown build)")
				return nil
			}
			fmt.Println("poplarrouter", info.Main.Version, info.GoVersion)
			return nil
		},
	}
}
