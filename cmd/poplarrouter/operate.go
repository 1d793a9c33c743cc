package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/limit"
)

// operatorTimeout limits the time of one command to a proxy.
const operatorTimeout = 5 * time.Second

// OperatorError reports a command that a proxy rejected.
type OperatorError struct {
	Path   string
	Status int
	Text   string
}

// Error implements error.
func (e *OperatorError) Error() string {
	return fmt.Sprintf("operator command %s: got HTTP status %d: %s", e.Path, e.Status, e.Text)
}

// operate sends an HTTP request to the proxy that a settings file describes and returns
// the body of the response.
func operate(ctx context.Context, settingsPath, method, path string, query url.Values) ([]byte, error) {
	settings, err := readSettings(settingsPath)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: settings.OperatorAddress, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+settings.OperatorSecret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, &OperatorError{Path: path, Status: response.StatusCode, Text: string(body)}
	}
	return body, nil
}

func statusCommand() *cli.Command {
	var path string
	var raw bool
	return &cli.Command{
		CommandName: "status",
		Summary:     "show what a proxy believes",
		Text:        "poplarrouter status -settings FILE [-json]\n  Shows the sheet in force, databases, members, pools, queues, usage caps and peers.",
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&path, "settings", "", settingsUsage)
			f.BoolVar(&raw, "json", false, "print JSON instead of tables")
		},
		Run: func(ctx context.Context, _ []string) error {
			body, err := operate(ctx, path, http.MethodGet, app.PathStatus, nil)
			if err != nil {
				return err
			}
			if raw {
				_, err = os.Stdout.Write(body)
				return err
			}
			var s app.Status
			if err := json.Unmarshal(body, &s); err != nil {
				return err
			}
			return printStatus(os.Stdout, s)
		},
	}
}

// table writes aligned rows. Texts that would change the table or the terminal are quoted. Write
// errors are reported by Flush.
type table struct{ *tabwriter.Writer }

func (t table) row(cells ...any) {
	for _, cell := range cells {
		_, _ = fmt.Fprint(t, cli.Printable(fmt.Sprint(cell)), "\t")
	}
	_, _ = fmt.Fprintln(t)
}

func newTable(out io.Writer) table {
	const padding = 2
	return table{tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)}
}

func printStatus(out io.Writer, s app.Status) error {
	t := newTable(out)
	t.row("HOST", "DATA CENTRE", "REGION", "CALLERS", "DRAINING")
	t.row(s.Host, s.DataCentre, s.Region, s.Callers, s.Draining)
	t.row()
	t.row("RANK", "ROOM FOR CALLERS")
	for _, r := range s.Room {
		t.row(r.Rank, r.Room)
	}
	t.row()
	t.row("SHEET", "LOADED BY", "LOADED AT")
	t.row(s.Sheet.Serial, s.Sheet.LoadedBy, s.Sheet.LoadedAt.Format(time.RFC3339))
	t.row()
	if p := s.KeyProof; p != nil {
		t.row("KEYS ACCEPTED", "PROOF AGE MS", "PROOF FROM", "READS THE STORE")
		t.row(p.Recent, p.AgeMs, p.Source, p.Reader)
		t.row()
	}
	t.row("DATABASE", "MEMBER", "REGION", "ROLE", "TERM", "FENCE", "RECEIVED", "APPLIED", "AGE MS", "SILENT")
	for _, d := range s.Databases {
		for _, m := range d.Members {
			t.row(d.Name, m.Name, m.Region, m.Role, m.Term, m.Fence, m.Received, m.Applied, m.AgeMs, m.Silent)
		}
	}
	t.row()
	t.row("POOL", "MEMBER", "LENT", "IDLE")
	for _, p := range s.Pools {
		t.row(p.Database, p.Address, p.Lent, p.Idle)
	}
	t.row()
	t.row("QUEUE", "FREE SLOTS", "WAITING")
	for _, q := range s.Queues {
		t.row(q.Member, q.Free, q.Waiting)
	}
	printCaps(t, s.Caps)
	t.row()
	t.row("PEERS", s.Peers)
	return t.Flush()
}

// printCaps prints the customers with usage caps, and the buckets that the proxy coordinates.
func printCaps(t table, s limit.Status) {
	if len(s.Customers) == 0 {
		return
	}
	t.row()
	t.row("CUSTOMER", "CAP/S", "BURST", "ARRIVED/S", "USED/S", "WAITING", "BEYOND CAP", "COORDINATOR")
	for _, c := range s.Customers {
		t.row(c.Customer, c.Rate, c.Burst, rounded(c.Arrived), rounded(c.Used), c.Waiting, c.BeyondCap, c.Coordinator)
	}
	if len(s.Coordinated) == 0 {
		return
	}
	t.row()
	t.row("BUCKET", "TOKENS", "DEMAND/S", "DELEGATIONS", "SHARE")
	for _, p := range s.Coordinated {
		for _, b := range p.Buckets {
			t.row(b.Customer, rounded(b.Tokens), rounded(b.Demand), p.Delegations, rounded(p.Share))
		}
	}
}

func rounded(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }

func drainCommand() *cli.Command {
	var path string
	return &cli.Command{
		CommandName: "drain",
		Summary:     "make a proxy leave without cutting off a request",
		Text:        "poplarrouter drain -settings FILE\n  Returns at once; the proxy exits when its transactions have ended.",
		Flags:       func(f *flag.FlagSet) { f.StringVar(&path, "settings", "", settingsUsage) },
		Run: func(ctx context.Context, _ []string) error {
			_, err := operate(ctx, path, http.MethodPost, app.PathDrain, nil)
			return err
		},
	}
}

func switchoverCommand() *cli.Command {
	var path string
	return &cli.Command{
		CommandName: "switchover",
		Summary:     "make another member the primary of a database",
		Text:        "poplarrouter switchover -settings FILE DATABASE MEMBER\n  Orders a planned change. Writes wait for the new primary; none is refused.",
		Flags:       func(f *flag.FlagSet) { f.StringVar(&path, "settings", "", settingsUsage) },
		Run: func(ctx context.Context, args []string) error {
			const argCount = 2
			if len(args) != argCount {
				return &cli.UsageError{Detail: "want a database and a member"}
			}
			query := url.Values{"Database": {args[0]}, "Member": {args[1]}}
			_, err := operate(ctx, path, http.MethodPost, app.PathSwitchover, query)
			return err
		},
	}
}
