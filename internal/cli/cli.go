// Package cli holds what the command lines of both programs share: subcommands,
// exit codes, error output and the handling of SIGINT and SIGTERM.
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

// Command is a subcommand that is implemented by a function.
type Command struct {
	// CommandName is the argument that selects the command.
	CommandName string
	// Summary is the line shown in the list of commands.
	Summary string
	// Text is the usage text.
	Text string
	// Flags registers the command's flags. It may be nil.
	Flags func(*flag.FlagSet)
	// Run runs the command with its arguments. If it returns a *UsageError, the usage
	// text is printed.
	Run func(ctx context.Context, args []string) error
}

var _ subcommands.Command = (*Command)(nil)

// UsageError reports an invalid command line.
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

// Main runs the subcommand that the command line selects and returns the exit code
// of the program. SIGINT and SIGTERM cancel the context of the subcommand.
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
