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

// RowError reports an invalid cell or row of a sheet.
type RowError struct {
	// Row is the number of the row. The header is row 1.
	Row int
	// Column is the name of the column, or empty if the whole row is invalid.
	Column string
	// Got describes what the sheet contains.
	Got string
	// Want describes what was expected.
	Want string
}

// Error implements error.
func (e *RowError) Error() string {
	if e.Column == wholeRow {
		return fmt.Sprintf("row %d: got %s, want %s", e.Row, e.Got, e.Want)
	}
	return fmt.Sprintf("row %d, column %s: got %s, want %s", e.Row, e.Column, e.Got, e.Want)
}

// Errors lists all errors in a sheet.
type Errors []*RowError

// Error returns one line for each error in the sheet.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, rowErr := range e {
		lines = append(lines, rowErr.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse parses a sheet in the CSV format of the package documentation. If the sheet has
// any errors, Parse returns them all as Errors and no rows, so that an invalid sheet is
// never applied in part.
func Parse(r io.Reader) (Sheet, error) {
	p := &parser{reader: csv.NewReader(io.LimitReader(r, MaxBytes+1))}
	p.reader.FieldsPerRecord = -1
	p.readHeader()
	for len(p.errors) == 0 || p.row > 1 {
		if !p.readRow() {
			break
		}
	}
	if p.reader.InputOffset() > MaxBytes {
		p.fail(wholeRow, fmt.Sprintf("more than %d bytes", MaxBytes), "a smaller sheet")
	}
	p.checkRows()
	if len(p.errors) > 0 {
		return Sheet{}, p.errors
	}
	return Sheet{rows: p.rows}, nil
}

type parser struct {
	reader *csv.Reader
	// row is the number of the row that errors refer to.
	row int
	// rowNumbers are the row numbers of rows.
	rowNumbers []int
	cells      []string
	rows       []Row
	errors     Errors
}

func (p *parser) fail(column, got, want string) {
	p.errors = append(p.errors, &RowError{Row: p.row, Column: column, Got: got, Want: want})
}

// next reads the next record into p.cells and reports whether there was one that could be
// split into cells.
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
		if len(p.errors) == 0 {
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
	p.rowNumbers = append(p.rowNumbers, p.row)
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

// secret returns the cell if it is a verifier. The error does not contain the cell, which
// may be a password.
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

func (p *parser) number(column, minimum, maximum int) int {
	n, err := strconv.Atoi(p.cells[column])
	if err != nil || n < minimum || n > maximum {
		p.fail(Columns[column], strconv.Quote(p.cells[column]), fmt.Sprintf("a number from %d to %d", minimum, maximum))
	}
	return n
}

func (p *parser) millis(column, minimum int, maximum time.Duration) time.Duration {
	return time.Duration(p.number(column, minimum, int(maximum/time.Millisecond))) * time.Millisecond
}

type kindKey struct{ service, caller, kind string }

// checkRows finds rows that contradict earlier rows: a service with two databases, a caller
// with two verifiers, or a kind of work that is listed twice.
func (p *parser) checkRows() {
	databases := make(map[string]string)
	secrets := make(map[string]string)
	kinds := make(map[kindKey]int)
	for i, r := range p.rows {
		p.row = p.rowNumbers[i]
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
