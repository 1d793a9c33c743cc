package chain

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarrouter.example/poplarrouter/internal/even"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/group"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Question asks where a request would go now.
type Question struct {
	Service string
	Access  sheet.Access
	// Caller, Kind and Customer may be empty: any caller, the least urgent kind, no key.
	Caller   string
	Kind     string
	Customer string
}

// Explanation tells where a request would go now and why. Nothing is sent to find it, so that
// a floor which a member or the primary would be asked for is the last known one.
type Explanation struct {
	Database string
	Kind     string
	Rank     sheet.Rank
	// Refusal is the fault with which the request would end, or empty.
	Refusal string
	// Owners are the hosts to which the request would be relayed, the first one first. It is
	// empty if this host serves the request itself.
	Owners []OwnerChoice
	// Floor is the position that the members must have reached, and FloorRule how it is
	// determined.
	Floor     string
	FloorRule string
	// Members are the members of the database as this host knows them, the first choice
	// first. It is empty if this host does not watch the database.
	Members []MemberChoice
	// Choice is the rule that decided among the nearest members.
	Choice even.Reason
	// MaxWaitMs is how long the request may wait for a slot before it is refused.
	MaxWaitMs int64
}

// OwnerChoice is a host to which a request may be relayed.
type OwnerChoice struct {
	Host       string
	Region     string
	Substitute bool
	Chosen     bool
	// Why tells why the host is not chosen.
	Why string
	// InFlight is this host's work there, Reported the work that it reported ReportAgeMs ago,
	// and Slowness how many times the usual time its answers take, if they are known.
	InFlight    int
	Reported    *float64
	ReportAgeMs int64
	Slowness    float64
	Capacity    float64
}

// MemberChoice is a member of the database.
type MemberChoice struct {
	Name       string
	Region     string
	DataCentre string
	Role       string
	Chosen     bool
	// Why tells why the member is not chosen.
	Why string
	// Applied is the member's position, which it told AgeMs ago.
	Applied string
	AgeMs   int64
	// Distance is the cost by which members are ordered; 0 is the nearest.
	Distance int
	// Own is this host's work there, and Others that of others, reported ReportAgeMs ago.
	Own         int
	Others      float64
	ReportAgeMs int64
	// Spare is how many requests may begin without waiting, or minus how many wait.
	Spare int
}

// RouteExplainer is implemented by a Relay that can explain its order of hosts.
type RouteExplainer interface {
	// ExplainRoute describes the result of Route and changes nothing.
	ExplainRoute(database string, turn uint64) []OwnerChoice
}

// Explainer answers where requests would go.
type Explainer struct{ filters *filters }

// NewExplainer returns an Explainer for the handler with the same options. Balances must be
// set.
func NewExplainer(o Options) *Explainer { return &Explainer{filters: &filters{Options: o}} }

// Explain answers a question at the given time.
func (x *Explainer) Explain(q Question, now time.Time) Explanation {
	row, err := x.row(q)
	e := Explanation{Database: row.Database, Kind: row.Kind, Rank: row.Rank, MaxWaitMs: row.MaxQueueWait().Milliseconds()}
	if err == nil {
		err = x.admission(q, row)
	}
	if err != nil {
		e.Refusal = describe(err)
		return e
	}
	turn := xxhash.Sum64String(q.Customer)
	if routes, ok := x.filters.Relay.(RouteExplainer); ok {
		e.Owners = routes.ExplainRoute(row.Database, turn)
	}
	if controller, found := x.filters.Controllers.Get(row.Database); found {
		err = x.members(&e, controller.View(), row, turn, now)
	} else if len(e.Owners) == 0 {
		err = fault.New(fault.NoPrimary, "admit", "this host does not watch database %q", row.Database)
	}
	if err != nil && len(e.Owners) == 0 {
		e.Refusal = describe(err)
	}
	return e
}

func describe(err *fault.Error) string { return err.Kind.SQLState() + " " + err.Error() }

// row returns the sheet row of the request. Without a kind it is the least urgent one with the
// access, or else the one that applies to a request without a label.
func (x *Explainer) row(q Question) (sheet.Row, *fault.Error) {
	documents := x.filters.Documents.Book().Sheet()
	rows, listed := documents.RowsFor(q.Service, q.Caller)
	if q.Caller == "" {
		rows = slices.DeleteFunc(documents.Rows(), func(r sheet.Row) bool { return r.Service != q.Service })
		listed = len(rows) > 0
	}
	if !listed {
		return sheet.Row{}, fault.New(fault.Denied, "classify", "the sheet lists no caller %q on service %q", q.Caller, q.Service)
	}
	label := q.Kind
	for rank := sheet.Rank(0); label == "" && rank < sheet.MaxRank; rank++ {
		for _, r := range rows {
			if r.Access == q.Access && r.Rank == sheet.MaxRank-rank {
				label = r.Kind
			}
		}
	}
	row, found := sheet.RowForLabel(rows, label)
	if !found {
		return sheet.Row{}, fault.New(fault.Unlisted, "classify", "the sheet lists no kind %q on service %q", q.Kind, q.Service)
	}
	row.Access = q.Access
	return row, nil
}

// admission returns the fault with which the filters before the routing would refuse the
// request, or nil.
func (x *Explainer) admission(q Question, row sheet.Row) *fault.Error {
	if row.KeyRequired {
		if x.filters.Keys != nil && !x.filters.Keys.Recent() {
			return fault.New(fault.StaleKeys, "authenticate", "this proxy cannot prove that its list of keys is recent")
		}
		if _, found := x.filters.Documents.Book().Sheet().Customer(q.Customer); !found {
			return fault.New(fault.UnknownKey, "authenticate", "the service needs the key of a customer, and %q is none", q.Customer)
		}
	}
	if err := x.filters.refuse(&Request{Work: row}); err != nil {
		return fault.FromError(err)
	}
	return nil
}

// members describes the members in the order in which the request would try them.
func (x *Explainer) members(e *Explanation, v view.View, row sheet.Row, turn uint64, now time.Time) *fault.Error {
	floor, known := group.Floor{}, true
	// Where a primary proves in its answers that it leads, a read that must be fresh goes there.
	atPrimary := row.Access == sheet.Write || (row.StalenessBound == 0 && x.filters.LeadershipLease > 0)
	switch {
	case atPrimary:
		e.FloorRule = "primary"
	case row.StalenessBound > 0:
		e.FloorRule = "accepted age"
		floor, known = v.StalenessFloor(now.Add(-row.StalenessBound))
	default:
		e.FloorRule = "barrier"
		floor, known = v.ReadIndex(time.Time{})
	}
	e.Floor = floor.String()
	finder := x.filters.finder()
	finder.Choose = func(w ReadRequirement, equal []view.Member) (int, even.Reason) {
		list := x.filters.loads(w.Database, equal)
		choice := x.filters.Balances.Peek(w.Database, list, w.Rotation, even.Mix(turn), lightLoad(list), now)
		return choice.Index, choice.Reason
	}
	var order []view.Member
	primary, writable := v.Writable()
	switch {
	case atPrimary && writable:
		order = []view.Member{primary}
	case !atPrimary && known:
		order, e.Choice = finder.sort(v, ReadRequirement{Database: row.Database, Rotation: turn}, v.Readers(floor))
		order = x.filters.byCapacity(row.Database, order)
	}
	for i, m := range order {
		c := x.member(v, m, row, finder, now)
		if c.Chosen = i == 0; i > 0 {
			c.Why = "farther, or another one has the turn or less work"
		}
		e.Members = append(e.Members, c)
	}
	for _, m := range v.Members() {
		if !slices.ContainsFunc(order, func(o view.Member) bool { return o.Name == m.Name }) {
			c := x.member(v, m, row, finder, now)
			c.Why = ruledOut(v, m, atPrimary, floor, known)
			e.Members = append(e.Members, c)
		}
	}
	switch {
	case len(order) > 0:
		return nil
	case atPrimary:
		return fault.New(fault.NoPrimary, "route write", "database %q has no serving primary at present", row.Database)
	default:
		return fault.New(fault.NoReader, "route read", "no member of database %q is proven fresh enough at present (%s)", row.Database, e.FloorRule)
	}
}

func (x *Explainer) member(v view.View, m view.Member, row sheet.Row, finder Finder, now time.Time) MemberChoice {
	load := x.filters.loads(row.Database, []view.Member{m})[0]
	c := MemberChoice{
		Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, Role: "unknown", Distance: finder.distance(v, m),
		Own: load.Own, Others: load.Others, ReportAgeMs: load.Age.Milliseconds(), Spare: x.filters.Permits.SpareCapacity(row.Database, m),
	}
	if r, reported := v.Report(m.Name); reported {
		c.Role, c.AgeMs = r.State.Role.String(), now.Sub(r.SentAt).Milliseconds()
		c.Applied = fmt.Sprintf("%d:%d", r.State.Term, r.State.Applied)
	}
	return c
}

// ruledOut tells why a member cannot serve a request.
func ruledOut(v view.View, m view.Member, atPrimary bool, floor group.Floor, known bool) string {
	_, reported := v.Report(m.Name)
	switch {
	case v.Silent(m.Name):
		return "does not answer"
	case !reported:
		return "has not answered yet"
	case m.Closed, m.Draining:
		return "draining"
	case atPrimary && isPrimary(v, m):
		return "has promised a later term"
	case atPrimary:
		return "not the primary"
	case !known:
		return "no position is proven that the read must see"
	default:
		return "has not reached " + floor.String()
	}
}
