package relay

import (
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/internal/even"
)

var _ chain.RouteExplainer = (*Client)(nil)

// ExplainRoute implements chain.RouteExplainer.
func (c *Client) ExplainRoute(database string, turn uint64) []chain.OwnerChoice {
	list, local := c.all(database)
	if local {
		return nil
	}
	now := time.Now()
	choose := func(list []even.Candidate, turn, draw uint64, light float64, now time.Time) even.Choice {
		return c.options.Balances.Peek(database, list, turn, draw, light, now)
	}
	var choices []chain.OwnerChoice
	for i, host := range orderCandidates(choose, list, c.options.Region, turn, now) {
		at := slices.IndexFunc(list, func(c Candidate) bool { return c.Host == host })
		choice := list[at].explain(c.options.Region, now)
		if choice.Chosen = i == 0; i > 0 && choice.Why == "" {
			choice.Why = "another owner has the turn or less work"
		}
		choices = append(choices, choice)
	}
	return choices
}

// explain describes a candidate, and why it comes after others, if its state tells.
func (c Candidate) explain(region string, now time.Time) chain.OwnerChoice {
	choice := chain.OwnerChoice{Host: c.Host, Region: c.Region, Substitute: c.Substitute, InFlight: c.InFlight, Slowness: c.Slowness, Capacity: c.Capacity}
	if c.HasReport {
		choice.Reported, choice.ReportAgeMs = &c.Reported, c.ReportAge.Milliseconds()
	}
	switch {
	case now.Before(c.DrainingUntil):
		choice.Why = "draining"
	case now.Before(c.BackoffUntil):
		choice.Why = "in backoff after a failure"
	case c.Failing && c.InFlight > 0:
		choice.Why = "not answered since a failure, and one request tests it"
	case c.Substitute:
		choice.Why = "no owner of the database"
	case c.InFlight > 0 && now.Sub(c.OldestSent) > slowAnswer:
		choice.Why = "a request has had no answer for long"
	case c.Region != region:
		choice.Why = "in another region"
	}
	return choice
}
