package wire

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"poplarrouter.example/poplarrouter/pkg/fault"
)

// The settings of the proxy. Callers set them in the start-up message or by SET.
const (
	// KindSetting is the kind of work of the requests that follow.
	KindSetting = "poplarrouter.kind"
	// FloorSetting is the token of the caller's last acknowledged write, which gives the read floor.
	FloorSetting = "poplarrouter.floor"
)

// LocalStatement is a SET or SHOW statement that the proxy answers itself.
type LocalStatement struct {
	// Setting is LabelSetting or FloorSetting.
	Setting string
	// Value is the new value.
	Value string
	// Show is set if the statement queries the value instead of setting it.
	Show bool
}

var (
	setPattern   = regexp.MustCompile(`(?i)^SET\s+(?:SESSION\s+)?(poplarrouter\.kind|poplarrouter\.floor)\s*(?:=|\bTO\b)\s*(?:'([^']*)'|([^\s';]+))\s*;?\s*$`)
	showPattern  = regexp.MustCompile(`(?i)^SHOW\s+(poplarrouter\.kind|poplarrouter\.floor)\s*;?\s*$`)
	ownPattern   = regexp.MustCompile(`(?i)^(?:SET\s+(?:SESSION\s+|LOCAL\s+)?|SHOW\s+)poplarrouter\.(?:kind|floor)\b`)
	beginPattern = regexp.MustCompile(`(?i)^\s*(?:BEGIN|START\s+TRANSACTION)\b(?:[\w\s,]|/\*[^*]*\*/)*\bREAD\s+ONLY\b`)
)

// parseLocal returns the statement that the proxy answers itself, or nil for any other text. It
// returns a Protocol fault for a statement about a setting of the proxy that is not of the form that
// it answers.
func parseLocal(text string) (*LocalStatement, error) {
	text = text[statementStart(text):]
	if !hasPrefixFold(text, "SET") && !hasPrefixFold(text, "SHOW") {
		return nil, nil //nolint:nilnil // most statements are not the proxy's
	}
	if match := setPattern.FindStringSubmatch(text); match != nil {
		return &LocalStatement{Setting: strings.ToLower(match[1]), Value: match[2] + match[3]}, nil
	}
	if match := showPattern.FindStringSubmatch(text); match != nil {
		return &LocalStatement{Setting: strings.ToLower(match[1]), Show: true}, nil
	}
	if ownPattern.MatchString(text) {
		return nil, fault.New(fault.Protocol, "read request", "got a statement about a setting of the proxy that it does not understand, want SET NAME = 'VALUE' or SHOW NAME alone")
	}
	return nil, nil //nolint:nilnil // as above
}

func hasPrefixFold(text, prefix string) bool {
	return len(text) >= len(prefix) && strings.EqualFold(text[:len(prefix)], prefix)
}

// statementStart returns where a text begins after white space and comments.
func statementStart(text string) int {
	for i := 0; i < len(text); {
		rest := text[i:]
		end := ""
		switch {
		case rest[0] == ' ' || (rest[0] >= '\t' && rest[0] <= '\r'):
			i++
			continue
		case strings.HasPrefix(rest, "--"):
			end = "\n"
		case strings.HasPrefix(rest, "/*"):
			end = "*/"
		default:
			return i
		}
		const begin = len("--")
		at := strings.Index(rest[begin:], end)
		if at < 0 {
			break
		}
		i += begin + at + len(end)
	}
	return len(text)
}

// BeginsReadOnly reports whether the batch begins a read-only transaction.
func (b *Batch) BeginsReadOnly() bool { return beginPattern.MatchString(b.FirstStatement) }

const oidText = 25

// AnswerLocal answers a batch that holds a local statement. value is the value of the setting, for
// SHOW, and status the transaction status of the session.
func (b *Batch) AnswerLocal(w *Writer, value string, status byte) {
	for _, it := range b.items {
		b.answerItem(w, it, value)
	}
	w.Put(&pgproto3.ReadyForQuery{TxStatus: status})
}

func localRow(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
	}}}
}

// The type bytes of the messages that answerItem distinguishes.
const (
	parseByte    = 'P'
	bindByte     = 'B'
	describeByte = 'D'
	executeByte  = 'E'
	closeByte    = 'C'
	queryByte    = 'Q'
	// headerBytes is the size of a message's type byte and length field. In a Describe message,
	// the type of the object follows them.
	headerBytes = 5
)

func (b *Batch) answerItem(w *Writer, it item, value string) {
	switch it.raw[0] {
	case parseByte:
		w.Put(&pgproto3.ParseComplete{})
	case bindByte:
		w.Put(&pgproto3.BindComplete{})
	case closeByte:
		w.Put(&pgproto3.CloseComplete{})
	case describeByte:
		if it.raw[headerBytes] == 'S' {
			w.Put(&pgproto3.ParameterDescription{})
		}
		if b.Local.Show {
			w.Put(localRow(b.Local.Setting))
		} else {
			w.Put(&pgproto3.NoData{})
		}
	case executeByte:
		b.executeLocal(w, value)
	case queryByte:
		if b.Local.Show {
			w.Put(localRow(b.Local.Setting))
		}
		b.executeLocal(w, value)
	}
}

func (b *Batch) executeLocal(w *Writer, value string) {
	tag := "SET"
	if b.Local.Show {
		w.Put(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		tag = "SHOW"
	}
	w.Put(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// IsSingleExecution reports whether the batch consists of extended-query messages that execute
// exactly one statement.
func (b *Batch) IsSingleExecution() bool { return !b.Simple && b.executions == 1 }

// RunsStatement reports whether a local batch runs its statement instead of only preparing it.
func (b *Batch) RunsStatement() bool { return b.Simple || b.executions > 0 }
