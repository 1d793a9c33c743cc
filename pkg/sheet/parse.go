package sheet

import (
	"encoding/csv"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Columns are the names in a sheet's header row, in order.
var Columns = []string{
	"Service", "Database", "Caller", "Secret", "Kind", "Access",
	"Idempotent", "Rank", "DeadlineMs", "Worth", "AcceptedAgeMs",
}

const (
	columnSecret   = "Secret"
	columnDatabase = "Database"
	columnKind     = "Kind"
	wholeRow       = ""
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)
	secretPattern = regexp.MustCompile(`^SCRAM-SHA-256\$[0-9]+:[A-Za-z0-9+/=]+\$[A-Za-z0-9+/=]+:[A-Za-z0-9+/=]+$`)
)

// RowError reports one bad cell of a sheet. Row 1 is the header.
type RowError struct {
	Row    int
	Column string
	Got    string
	Want   string
}

// Error implements error.
func (e *RowError) Error() string {
	if e.Column == wholeRow {
		return fmt.Sprintf("row %d: got %s, want %s", e.Row, e.Got, e.Want)
	}
	return fmt.Sprintf("row %d, column %s: got %s, want %s", e.Row, e.Column, e.Got, e.Want)
}

// Errors lists every fault of a sheet.
type Errors []*RowError

// Error implements error, with one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, fault := range e {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a sheet. It returns Errors with all faults found, and then no
// sheet: a sheet is taken whole or not at all.
func Parse(r io.Reader) (Sheet, error) {
	p := &parser{reader: csv.NewReader(io.LimitReader(r, MaxBytes+1))}
	p.reader.FieldsPerRecord = -1
	p.readHeader()
	for len(p.faults) == 0 || p.row > 1 {
		if !p.readRow() {
			break
		}
	}
	if p.reader.InputOffset() > MaxBytes {
		p.fail(wholeRow, fmt.Sprintf("more than %d bytes", MaxBytes), "a smaller sheet")
	}
	p.checkRows()
	if len(p.faults) > 0 {
		return Sheet{}, p.faults
	}
	return Sheet{rows: p.rows}, nil
}

type parser struct {
	reader *csv.Reader
	row    int
	lines  []int
	cells  []string
	rows   []Row
	faults Errors
}

func (p *parser) fail(column, got, want string) {
	p.faults = append(p.faults, &RowError{Row: p.row, Column: column, Got: got, Want: want})
}

// next reads one record and tells whether there was one that could be split.
func (p *parser) next() bool {
	cells, err := p.reader.Read()
	if errors.Is(err, io.EOF) {
		return false
	}
	p.row++
	if err != nil {
		p.fail(wholeRow, err.Error(), "a CSV record")
		return false
	}
	p.cells = cells
	return true
}

func (p *parser) readHeader() {
	if !p.next() {
		if len(p.faults) == 0 {
			p.row = 1
			p.fail(wholeRow, "an empty sheet", "a header row")
		}
		return
	}
	if !slices.Equal(p.cells, Columns) {
		p.fail(wholeRow, strconv.Quote(strings.Join(p.cells, ",")), strconv.Quote(strings.Join(Columns, ",")))
	}
}

func (p *parser) readRow() bool {
	if !p.next() {
		return false
	}
	if len(p.cells) != len(Columns) {
		p.fail(wholeRow, fmt.Sprintf("%d cells", len(p.cells)), fmt.Sprintf("%d cells", len(Columns)))
		return true
	}
	p.rows = append(p.rows, p.parseRow())
	p.lines = append(p.lines, p.row)
	return true
}

func (p *parser) parseRow() Row {
	return Row{
		Service:        p.name(0),
		Database:       p.name(1),
		Caller:         p.name(2),
		Secret:         p.secret(3),
		Kind:           p.name(4),
		Access:         Access(p.choice(5, string(Read), string(Write))),
		Idempotent:     p.choice(6, "yes", "no") == "yes",
		Rank:           Rank(p.number(7, 1, MaxRank)),
		Deadline:       p.millis(8, 1, MaxDeadline),
		Worth:          p.number(9, 0, 1_000_000),
		StalenessBound: p.millis(10, 0, MaxStalenessBound),
	}
}

func (p *parser) name(column int) string {
	cell := p.cells[column]
	if !namePattern.MatchString(cell) {
		p.fail(Columns[column], strconv.Quote(cell), "a name of 1 to 63 letters, digits, dots, dashes or underscores")
	}
	return cell
}

// secret checks a verifier. The cell's text stays out of the error.
func (p *parser) secret(column int) string {
	cell := p.cells[column]
	if !secretPattern.MatchString(cell) {
		p.fail(Columns[column], fmt.Sprintf("%d characters", len(cell)), "a SCRAM-SHA-256 verifier")
	}
	return cell
}

func (p *parser) choice(column int, allowed ...string) string {
	cell := p.cells[column]
	if !slices.Contains(allowed, cell) {
		p.fail(Columns[column], strconv.Quote(cell), strings.Join(allowed, " or "))
	}
	return cell
}

func (p *parser) number(column, least, most int) int {
	n, err := strconv.Atoi(p.cells[column])
	if err != nil || n < least || n > most {
		p.fail(Columns[column], strconv.Quote(p.cells[column]), fmt.Sprintf("a number from %d to %d", least, most))
	}
	return n
}

func (p *parser) millis(column, least int, most time.Duration) time.Duration {
	return time.Duration(p.number(column, least, int(most/time.Millisecond))) * time.Millisecond
}

type kindKey struct{ service, caller, kind string }

// checkRows finds faults that lie between rows.
func (p *parser) checkRows() {
	databases := make(map[string]string)
	secrets := make(map[string]string)
	kinds := make(map[kindKey]int)
	for i, r := range p.rows {
		p.row = p.lines[i]
		if known, found := databases[r.Service]; found && known != r.Database {
			p.fail(columnDatabase, strconv.Quote(r.Database), strconv.Quote(known)+" as on the service's earlier rows")
		}
		databases[r.Service] = r.Database
		if known, found := secrets[r.Caller]; found && known != r.Secret {
			p.fail(columnSecret, "another verifier", "the one of the caller's earlier rows")
		}
		secrets[r.Caller] = r.Secret
		key := kindKey{r.Service, r.Caller, r.Kind}
		if earlier, found := kinds[key]; found {
			p.fail(columnKind, strconv.Quote(r.Kind), fmt.Sprintf("a kind not listed before, as it is in row %d", earlier))
		}
		kinds[key] = p.row
	}
}
