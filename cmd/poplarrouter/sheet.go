package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/pgfrt"
	"poplarrouter.example/poplarrouter/internal/store"
)

const (
	storeTimeout = 10 * time.Second
	// storeWait is how long the store keeps a watch request open.
	storeWait = time.Second
)

type sheetFlags struct {
	store    string
	operator string
}

func sheetCommand() *cli.Command {
	var f sheetFlags
	return &cli.Command{
		CommandName: "sheet",
		Summary:     "check, load, show or compare the morning sheet",
		Text: "poplarrouter sheet check FILE\n" +
			"poplarrouter sheet -store IP:PORT -operator NAME load FILE\n" +
			"poplarrouter sheet -store IP:PORT show\n" +
			"poplarrouter sheet -store IP:PORT diff FILE\n" +
			"poplarrouter sheet verifier\n  Reads a password from standard input and prints its verifier for the Secret column.",
		Flags: func(set *flag.FlagSet) {
			set.StringVar(&f.store, "store", "", "the store's IP and port")
			set.StringVar(&f.operator, "operator", os.Getenv("USER"), "the operator's name, told to others who load a sheet")
		},
		Run: f.run,
	}
}

func (f *sheetFlags) run(ctx context.Context, args []string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	action, file := argument(args, 0), argument(args, 1)
	switch action {
	case "check":
		return checkSheet(file)
	case "verifier":
		return printVerifier(os.Stdin)
	case "load", "show", "diff":
	default:
		return &cli.UsageError{Detail: fmt.Sprintf("got %q, want check, load, show, diff or verifier", action)}
	}
	if f.store == "" {
		return &cli.UsageError{Detail: "got no -store, want the store's IP and port"}
	}
	client, cleanUp := store.New(f.store, storeWait)
	defer cleanUp()
	switch action {
	case "load":
		return f.load(ctx, client, file)
	case "show":
		return showSheet(ctx, client)
	default:
		return diffSheet(ctx, client, file)
	}
}

// argument returns the argument at index i, or "" if there is none.
func argument(args []string, i int) string {
	if i < len(args) {
		return args[i]
	}
	return ""
}

// scramIterations is the iteration count of a SCRAM verifier, PostgreSQL's default.
const scramIterations = 4096

// printVerifier reads a password and prints its SCRAM verifier.
func printVerifier(in io.Reader) error {
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return &cli.UsageError{Detail: "got no password on standard input"}
	}
	v, err := pgfrt.Verifier(password, rand.Text(), scramIterations)
	if err != nil {
		return err
	}
	fmt.Println(v)
	return nil
}

func checkSheet(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	parsed, err := book.Check(string(raw))
	if err != nil {
		return err
	}
	fmt.Printf("%d rows for %d databases are valid\n", len(parsed.Rows()), len(parsed.Databases()))
	return nil
}

func (f *sheetFlags) load(ctx context.Context, client store.Store, file string) error {
	if f.operator == "" {
		return &cli.UsageError{Detail: "got no -operator, want your name"}
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	doc, err := book.Load(ctx, client, f.operator, string(raw), time.Now())
	if err != nil {
		return err
	}
	fmt.Printf("sheet %d is loaded\n", doc.Serial)
	return nil
}

func showSheet(ctx context.Context, client store.Store) error {
	doc, _, err := book.Fetch(ctx, client)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "sheet %d, loaded by %s at %s\n", doc.Serial, cli.Printable(doc.LoadedBy), doc.LoadedAt.Format(time.RFC3339))
	fmt.Print(doc.CSV)
	return nil
}

// diffSheet prints the rows that loading the file would remove and add.
func diffSheet(ctx context.Context, client store.Store, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	doc, _, err := book.Fetch(ctx, client)
	if err != nil {
		return err
	}
	printDiff(os.Stdout, doc.CSV, string(raw))
	return nil
}

func printDiff(out io.Writer, from, to string) {
	current, proposed := lines(from), lines(to)
	printMissing(out, "-", current, proposed)
	printMissing(out, "+", proposed, current)
}

// lines returns the lines of a sheet, which may end in LF or CR LF.
func lines(text string) []string {
	return strings.Split(strings.ReplaceAll(strings.TrimSpace(text), "\r\n", "\n"), "\n")
}

// printMissing prints the elements of list that other does not contain, with a prefix.
func printMissing(out io.Writer, prefix string, list, other []string) {
	for _, line := range list {
		if !slices.Contains(other, line) {
			_, _ = fmt.Fprintln(out, prefix+cli.Printable(line))
		}
	}
}
