package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// routeQuestion holds the flags with which a proxy is asked where a request would go.
type routeQuestion struct {
	settings, customer, caller, kind string

	write, raw bool
}

func (q *routeQuestion) flags(f *flag.FlagSet) {
	f.StringVar(&q.settings, "settings", "", settingsUsage)
	f.BoolVar(&q.write, "write", false, "ask for a write instead of a read")
	f.StringVar(&q.customer, "customer", "", "name of the customer whose key the caller presents")
	f.StringVar(&q.caller, "caller", "", "name of the caller")
	f.StringVar(&q.kind, "kind", "", "kind of work")
	f.BoolVar(&q.raw, "json", false, "print JSON instead of tables")
}

// run asks the proxy and prints its answer.
func (q *routeQuestion) run(ctx context.Context, out io.Writer, args []string) error {
	if len(args) != 1 {
		return &cli.UsageError{Detail: "want a service"}
	}
	access := sheet.Read
	if q.write {
		access = sheet.Write
	}
	query := url.Values{"Service": {args[0]}, "Access": {string(access)}, "Customer": {q.customer}, "Caller": {q.caller}, "Kind": {q.kind}}
	body, err := operate(ctx, q.settings, http.MethodGet, app.PathExplain, query)
	if err != nil {
		return err
	}
	if q.raw {
		_, err = out.Write(body)
		return err
	}
	var e chain.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return err
	}
	return printExplanation(out, e)
}

func printExplanation(out io.Writer, e chain.Explanation) error {
	t := newTable(out)
	t.row("DATABASE", "KIND", "RANK", "FLOOR", "RULE", "CHOICE", "MAX WAIT MS")
	t.row(e.Database, e.Kind, e.Rank, e.Floor, e.FloorRule, e.Choice, e.MaxWaitMs)
	if e.Refusal != "" {
		t.row()
		t.row("REFUSED", e.Refusal)
	}
	if len(e.Owners) > 0 {
		t.row()
		t.row("OWNER", "REGION", "IN FLIGHT", "REPORTED", "AGE MS", "SLOWNESS", "CORES", "")
	}
	for _, o := range e.Owners {
		t.row(o.Host, o.Region, o.InFlight, reported(o.Reported), o.ReportAgeMs, o.Slowness, o.Capacity, verdict(o.Chosen, o.Why))
	}
	if len(e.Members) > 0 {
		t.row()
		t.row("MEMBER", "REGION", "DATA CENTRE", "ROLE", "APPLIED", "AGE MS", "DISTANCE", "OWN", "OTHERS", "REPORT MS", "SPARE", "")
	}
	for _, m := range e.Members {
		t.row(m.Name, m.Region, m.DataCentre, m.Role, m.Applied, m.AgeMs, m.Distance, m.Own, m.Others, m.ReportAgeMs, m.Spare, verdict(m.Chosen, m.Why))
	}
	return t.Flush()
}

// reported returns the work that a host reported, or a dash if it is unknown.
func reported(work *float64) any {
	if work == nil {
		return "-"
	}
	return *work
}

func verdict(chosen bool, why string) string {
	if chosen {
		return "chosen"
	}
	return why
}
