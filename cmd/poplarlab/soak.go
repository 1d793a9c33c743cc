package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/soak"
)

// InvariantError reports a soak test that found invariant violations.
type InvariantError struct {
	Seed  uint64
	Count int
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("soak with seed %d: got %d invariant violations, want none", e.Seed, e.Count)
}

func soakCommand() *cli.Command {
	o := soak.Options{Progress: os.Stdout}
	var minutes float64
	return &cli.Command{
		CommandName: "soak",
		Summary:     "run proxies as processes under faults, and check what callers see",
		Text:        "poplarlab soak -program FILE [-seed N] [-minutes M] [-proxies N] [-callers N] [-dir DIR]\n  Prints faults and broken promises. DIR keeps the proxies' logs and report.json.",
		Flags: func(f *flag.FlagSet) {
			const proxies, callers = 11, 24
			f.StringVar(&o.Program, "program", "bin/poplarrouter", "the program of the proxies")
			f.StringVar(&o.Dir, "dir", "", "folder for settings, logs and the report; by default a new one")
			f.Uint64Var(&o.Seed, "seed", 1, "seed of the faults and of the callers")
			f.Float64Var(&minutes, "minutes", 1, "time for which faults are injected")
			f.IntVar(&o.Proxies, "proxies", proxies, "proxies; more than nine do not all serve the database themselves")
			f.IntVar(&o.Callers, "callers", callers, "callers at a time")
		},
		Run: func(ctx context.Context, _ []string) error {
			o.Time = time.Duration(minutes * float64(time.Minute))
			if o.Dir == "" {
				dir, err := os.MkdirTemp("", "soak")
				if err != nil {
					return err
				}
				o.Dir = dir
			}
			report, err := soak.Run(ctx, o)
			if err != nil {
				return err
			}
			fmt.Printf("seed %d: %d faults, %d promotions, %d statements checked, answers %v, %d broken promises; logs in %s\n",
				o.Seed, len(report.Faults), report.Promotions, report.Statements, report.Answers, len(report.Broken), o.Dir)
			if len(report.Broken) > 0 {
				return &InvariantError{Seed: o.Seed, Count: len(report.Broken)}
			}
			return nil
		},
	}
}
