package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/trace"
)

func replayCommand() *cli.Command {
	var database string
	return &cli.Command{
		CommandName: "replay",
		Summary:     "replay what a proxy decided about a database's primary",
		Text: "poplarrouter replay -database NAME LOG\n  Reads the log of a proxy that ran with TraceElections, shows each step that\n" +
			"  led to an action, and fails if this version would have acted otherwise.",
		Flags: func(f *flag.FlagSet) { f.StringVar(&database, "database", "", "the name of the database") },
		Run: func(_ context.Context, args []string) error {
			if len(args) != 1 || database == "" {
				return &cli.UsageError{Detail: "want a database and the path of a log file"}
			}
			return replay(args[0], database)
		},
	}
}

// replay replays the election steps of a database from a log and prints each step that led
// to an action.
func replay(path, database string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	records, err := trace.Read(file, database)
	if err != nil {
		return err
	}
	out := newTable(os.Stdout)
	out.row("STEP", "AT", "ACTIONS", "INPUT")
	err = trace.Replay(records, func(r trace.Record) {
		if len(r.Actions) > 0 {
			out.row(r.Step, r.At.Format(time.RFC3339Nano), elect.FormatActions(r.Actions), asJSON(r.Input))
		}
	})
	if flushErr := out.Flush(); err == nil {
		err = flushErr
	}
	return err
}

// asJSON returns an input in the encoding of the log.
func asJSON(input trace.Input) string {
	raw, _ := json.Marshal(input)
	return string(raw)
}
