// Package cli holds what both command lines share: exit codes, error output and
// how a process waits for its end.
package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Command is a subcommand made of a function.
type Command struct {
	// CommandName is the word that selects it.
	CommandName string
	// Summary is one line for the list of commands.
	Summary string
	// Text is the usage.
	Text string
	// Flags declares the command's flags.
	Flags func(*flag.FlagSet)
	// Run runs the command with its arguments. A *UsageError shows the usage.
	Run func(ctx context.Context, args []string) error
}

var _ subcommands.Command = (*Command)(nil)

// UsageError reports a command line that cannot be understood.
type UsageError struct{ Detail string }

// Error implements error.
func (e *UsageError) Error() string { return "usage: " + e.Detail }

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.CommandName }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.Summary }

// Usage implements subcommands.Command.
func (c *Command) Usage() string { return c.Text + "\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	if c.Flags != nil {
		c.Flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.Run(ctx, f.Args())
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	if _, usage := err.(*UsageError); usage { //nolint:errorlint // usage errors are never wrapped
		fmt.Fprint(os.Stderr, c.Text, "\n")
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// Main runs the command line of a program and returns its exit code.
func Main(commands ...subcommands.Command) int {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(subcommands.Execute(ctx))
}
