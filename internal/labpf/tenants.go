package labpf

import (
	"maps"
	"slices"
	"strings"
)

// Tenant is an entry of the list of tenants in a configuration.
type Tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s,omitempty"`
	Burst float64  `json:"burst,omitempty"`
}

// Statement is a statement of a caller that a member received.
type Statement struct {
	Member string
	// Connected is the name with which the connection was opened.
	Connected string
	// ID is the caller's identifier of its request.
	ID   string
	Text string
	// Access and Shape are those of the prepared statement which was executed, or empty.
	Access string
	Shape  string
	// Values are the session values that were in force on the connection.
	Values map[string]string
}

// Request returns the text without the position that a proxy may have set before it.
func (st Statement) Request() string {
	if rest, after := strings.CutPrefix(st.Text, "AFTER "); after {
		_, text, _ := strings.Cut(rest, " ")
		return text
	}
	return st.Text
}

// noteStatement records a statement of a caller, or passes it on. Statements with the ID "-" are
// the proxy's own.
func (s *session) noteStatement(id, text string) {
	if id == "-" {
		return
	}
	noted := Statement{Member: s.name, Connected: s.connected, ID: id, Text: text, Values: maps.Clone(s.values)}
	if rest, executes := strings.CutPrefix(noted.Request(), "EXECUTE "); executes {
		name, _, _ := strings.Cut(rest, " ")
		noted.Access, noted.Shape = s.prepared[name].access, s.prepared[name].shape
	}
	g := s.group
	if g.options.OnStatement != nil {
		g.options.OnStatement(noted)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statements = append(g.statements, noted)
}

func (s *session) noteOpened() {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened[s.connected]++
}

// Statements returns the statements of callers that members received so far.
func (g *Group) Statements() []Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.statements)
}

// Opened returns how many connections members accepted, by the name with which they were opened.
func (g *Group) Opened() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.opened)
}
