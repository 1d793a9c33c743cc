package pgmem

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"poplarrouter.example/poplarrouter/internal/member"
	"poplarrouter.example/poplarrouter/pkg/group"
)

// StatusQuery queries a member's state. The result is one row with one text column of
// space-separated words: role, term, fence, entry term, received position, applied position,
// number of active connections, holder of the slot lease ("-" for none) and the starts of terms
// ("-" for none). A single short column keeps the frequent answer small.
const StatusQuery = "SELECT poplar_status()"

const statusWords = 9

// ControlConn is a member.SlotControl over one connection, opened on demand and closed
// after any failure. It is not for concurrent use.
type ControlConn struct {
	address string
	login   Login
	conn    *pgconn.PgConn
	status  *pgconn.StatementDescription
}

var _ member.SlotControl = (*ControlConn)(nil)

// NewControlConn returns a control connection to the member at address (IP:port).
func NewControlConn(address string, login Login) *ControlConn {
	return &ControlConn{address: address, login: login}
}

// Ask implements member.Control. The query is prepared once for each connection, so that its answer
// contains no row description.
func (c *ControlConn) Ask(ctx context.Context, _ bool) (group.State, error) {
	if err := c.connect(ctx); err != nil {
		return group.State{}, err
	}
	if c.status == nil {
		prepared, err := c.conn.Prepare(ctx, "s", StatusQuery, nil)
		if err != nil {
			c.Close()
			return group.State{}, err
		}
		c.status = prepared
	}
	result := c.conn.ExecStatement(ctx, c.status, nil, nil, nil).Read()
	if result.Err != nil {
		c.Close()
		return group.State{}, result.Err
	}
	text, err := oneText(result)
	if err != nil {
		return group.State{}, err
	}
	return ParseState(text)
}

// Fence implements member.Control.
func (c *ControlConn) Fence(ctx context.Context, attempt member.PromotionAttempt) (group.State, error) {
	return c.query(ctx, "poplar_fence", attempt.Term, attempt.Promoter)
}

// Promote implements member.Control.
func (c *ControlConn) Promote(ctx context.Context, attempt member.PromotionAttempt) (group.State, error) {
	return c.query(ctx, "poplar_promote", attempt.Term, attempt.Promoter)
}

// Follow implements member.Control.
func (c *ControlConn) Follow(ctx context.Context, term group.Term, primary string, starts []group.Start) (group.State, error) {
	return c.query(ctx, "poplar_follow", term, primary, group.FormatStarts(starts))
}

// AcquireSlotLease implements member.SlotControl. It returns *LiteralError for a host that the text
// form of a state cannot name.
func (c *ControlConn) AcquireSlotLease(ctx context.Context, host string) (group.State, error) {
	if words := strings.Fields(host); len(words) != 1 || words[0] != host || host == none {
		return group.State{}, &LiteralError{Got: host, Want: "a name of one word other than " + strconv.Quote(none)}
	}
	return c.query(ctx, "poplar_lead", host)
}

// Evict implements member.SlotControl.
func (c *ControlConn) Evict(ctx context.Context, host string) (group.State, error) {
	return c.query(ctx, "poplar_evict", host)
}

// Busy implements member.SlotControl.
func (c *ControlConn) Busy(ctx context.Context, host string) (int, error) {
	text, err := c.queryText(ctx, "poplar_busy", host)
	if err != nil {
		return 0, err
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		return 0, &member.StatusError{Got: strconv.Quote(text), Want: "a number"}
	}
	return count, nil
}

// Running implements member.SlotControl.
func (c *ControlConn) Running(ctx context.Context, processIDs []uint32) ([]uint32, error) {
	var words []string
	for _, id := range processIDs {
		words = append(words, strconv.FormatUint(uint64(id), 10))
	}
	text, err := c.queryText(ctx, "poplar_running", strings.Join(words, " "))
	if err != nil {
		return nil, err
	}
	var running []uint32
	for _, word := range strings.Fields(text) {
		id, err := strconv.ParseUint(word, 10, 32)
		if err != nil {
			return nil, &member.StatusError{Got: strconv.Quote(word), Want: "a process ID"}
		}
		running = append(running, uint32(id))
	}
	return running, nil
}

// Close implements member.Control.
func (c *ControlConn) Close() {
	if c.conn != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = c.conn.Close(ctx)
		c.conn, c.status = nil, nil
	}
}

func (c *ControlConn) query(ctx context.Context, function string, args ...any) (group.State, error) {
	answer, err := c.queryText(ctx, function, args...)
	if err != nil {
		return group.State{}, err
	}
	return ParseState(answer)
}

// queryText calls a function of the member whose result is a single text value. The arguments are
// terms and texts.
func (c *ControlConn) queryText(ctx context.Context, function string, args ...any) (string, error) {
	if err := c.connect(ctx); err != nil {
		return "", err
	}
	escapes := c.conn.ParameterStatus("standard_conforming_strings") == "off"
	literals := make([]string, 0, len(args))
	for _, arg := range args {
		literal := fmt.Sprint(arg)
		if text, isText := arg.(string); isText {
			var err error
			if literal, err = quote(text, escapes); err != nil {
				return "", err
			}
		}
		literals = append(literals, literal)
	}
	text := "SELECT " + function + "(" + strings.Join(literals, ", ") + ")"
	results, err := c.conn.Exec(ctx, text).ReadAll()
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		return "", &member.RefusedError{Member: c.address, Text: refusal.Message}
	}
	if err != nil {
		c.Close()
		return "", err
	}
	if len(results) != 1 {
		return "", &member.StatusError{Got: fmt.Sprintf("%d results", len(results)), Want: "one"}
	}
	return oneText(results[0])
}

// LiteralError reports a text that cannot be an argument of an order to a member.
type LiteralError struct {
	Got  string
	Want string
}

// Error implements error.
func (e *LiteralError) Error() string {
	return fmt.Sprintf("order member: got %q, want %s", e.Got, e.Want)
}

// quote returns a text as an SQL literal. escapes tells that the member reads backslashes in
// literals as escapes.
func quote(text string, escapes bool) (string, error) {
	if strings.ContainsRune(text, 0) {
		return "", &LiteralError{Got: text, Want: "a text without NUL"}
	}
	if escapes {
		text = strings.ReplaceAll(text, `\`, `\\`)
	}
	return "'" + strings.ReplaceAll(text, "'", "''") + "'", nil
}

func oneText(result *pgconn.Result) (string, error) {
	if len(result.Rows) != 1 || len(result.Rows[0]) != 1 {
		return "", &member.StatusError{Got: "no row", Want: "one row of one column"}
	}
	return string(result.Rows[0][0]), nil
}

func (c *ControlConn) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	config, err := c.login.config(c.address)
	if err != nil {
		return err
	}
	c.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

// none represents an empty word in the text form of a state.
const none = "-"

// FormatState returns the text form of a state, as in a member's answer to StatusQuery.
func FormatState(s group.State) string {
	return fmt.Sprintf("%s %d %d %d %d %d %d %s %s", s.Role, s.Term, s.Fence, s.EntryTerm, s.Received, s.Applied, s.Active,
		cmp.Or(s.LeaseHolder, none), cmp.Or(group.FormatStarts(s.Starts), none))
}

// ParseState parses the text form of a state that FormatState returns.
func ParseState(text string) (group.State, error) {
	words := strings.Fields(text)
	if len(words) != statusWords {
		return group.State{}, &member.StatusError{Got: fmt.Sprintf("%d words", len(words)), Want: fmt.Sprint(statusWords)}
	}
	s := group.State{}
	if words[7] != none {
		s.LeaseHolder = words[7]
	}
	switch words[0] {
	case "primary":
		s.Role = group.Primary
	case "replica":
		s.Role = group.Replica
	default:
		return group.State{}, &member.StatusError{Got: strconv.Quote(words[0]), Want: "primary or replica"}
	}
	var numbers [6]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(words[i+1], 10, 63)
		if err != nil {
			return group.State{}, &member.StatusError{Got: strconv.Quote(words[i+1]), Want: "a number"}
		}
		numbers[i] = n
	}
	s.Term, s.Fence, s.EntryTerm = group.Term(numbers[0]), group.Term(numbers[1]), group.Term(numbers[2])
	s.Received, s.Applied = group.Position(numbers[3]), group.Position(numbers[4])
	s.Active = int(numbers[5]) //nolint:gosec // parsed as 63 bits
	if words[8] == none {
		return s, nil
	}
	starts, err := group.ParseStarts(words[8])
	s.Starts = starts
	return s, err
}
