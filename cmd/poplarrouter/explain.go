package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/trail"
)

func explainCommand() *cli.Command {
	var q routeQuestion
	return &cli.Command{
		CommandName: "explain",
		Summary:     "show the way of one request over all hosts, or where one would go now",
		Text: "poplarrouter explain REQUEST-ID [LOG...]\n  Reads the logs of hosts, or standard input, and prints the lines of a request in\n" +
			"  order of time: who took it, where it was relayed, what decided, and its outcome.\n" +
			"poplarrouter explain -settings FILE [-write] [-customer NAME] [-caller NAME] [-kind KIND] [-json] SERVICE\n" +
			"  Asks a proxy where a request would go now, and why. Nothing is sent to a member or host.",
		Flags: q.flags,
		Run: func(ctx context.Context, args []string) error {
			if q.settings != "" {
				return q.run(ctx, os.Stdout, args)
			}
			if len(args) == 0 {
				return &cli.UsageError{Detail: "want the ID of a request"}
			}
			return explain(os.Stdout, args[0], args[1:])
		},
	}
}

// UnknownRequestError reports that no log line names a request.
type UnknownRequestError struct{ Request string }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no line of the logs names request %q", e.Request)
}

// explain prints the trail of a request from the logs at the given paths, or from standard
// input if there are none.
func explain(w io.Writer, request string, paths []string) error {
	t := trail.New(request)
	var err error
	if len(paths) == 0 {
		t, err = t.WithLog("", os.Stdin)
	}
	for _, path := range paths {
		if err == nil {
			t, err = withFile(t, path)
		}
	}
	if err != nil {
		return err
	}
	if t.Skipped() > 0 {
		fmt.Fprintf(os.Stderr, "passed over %d lines that are not JSON\n", t.Skipped())
	}
	if len(t.Lines()) == 0 {
		return &UnknownRequestError{Request: request}
	}
	return t.Write(w)
}

// withFile adds the log at a path. Its name without the ending is the source of its lines.
func withFile(t trail.Trail, path string) (trail.Trail, error) {
	file, err := os.Open(path)
	if err != nil {
		return t, err
	}
	defer func() { _ = file.Close() }()
	name := filepath.Base(path)
	return t.WithLog(strings.TrimSuffix(name, filepath.Ext(name)), file)
}
