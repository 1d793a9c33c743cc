package wire

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// The names of the settings that callers give to the proxy, at the start of a
// connection or by SET.
const (
	// KindSetting names the kind of work that follows.
	KindSetting = "poplarrouter.kind"
	// FloorSetting is the token of the caller's last acknowledged write.
	FloorSetting = "poplarrouter.floor"
)

// LocalStatement is a statement that the proxy answers itself.
type LocalStatement struct {
	// Setting is LabelSetting or FloorSetting.
	Setting string
	// Value is what it is to be set to.
	Value string
	// Show tells that the value is asked for instead.
	Show bool
}

var (
	setPattern   = regexp.MustCompile(`(?i)^\s*SET\s+(?:SESSION\s+)?(poplarrouter\.kind|poplarrouter\.floor)\s*(?:=|\bTO\b)\s*'?([^';]*?)'?\s*;?\s*$`)
	showPattern  = regexp.MustCompile(`(?i)^\s*SHOW\s+(poplarrouter\.kind|poplarrouter\.floor)\s*;?\s*$`)
	beginPattern = regexp.MustCompile(`(?i)^\s*(?:BEGIN|START\s+TRANSACTION)\b[^;]*\bREAD\s+ONLY\b`)
)

func parseLocal(text string) *LocalStatement {
	if match := setPattern.FindStringSubmatch(text); match != nil {
		return &LocalStatement{Setting: strings.ToLower(match[1]), Value: match[2]}
	}
	if match := showPattern.FindStringSubmatch(text); match != nil {
		return &LocalStatement{Setting: strings.ToLower(match[1]), Show: true}
	}
	return nil
}

// BeginsReadOnly tells whether the batch opens a read-only transaction.
func (b *Batch) BeginsReadOnly() bool { return beginPattern.MatchString(b.FirstStatement) }

const oidText = 25

// AnswerLocal answers a batch that holds a local statement, with the setting's
// value where it is shown, in a session with the given transaction status.
func (b *Batch) AnswerLocal(w *Writer, value string, status byte) {
	if b.Simple {
		if b.Local.Show {
			w.Put(localRow(b.Local.Setting))
		}
		b.execLocal(w, value)
		w.Put(&pgproto3.ReadyForQuery{TxStatus: status})
		return
	}
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

// The type bytes of the messages that answerItem tells apart.
const (
	parseByte    = 'P'
	bindByte     = 'B'
	describeByte = 'D'
	executeByte  = 'E'
	closeByte    = 'C'
	// typeBytes is the length of a message's type byte and length, behind which
	// a Describe names the type of its object.
	typeBytes = 5
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
		if it.raw[typeBytes] == 'S' {
			w.Put(&pgproto3.ParameterDescription{})
		}
		if b.Local.Show {
			w.Put(localRow(b.Local.Setting))
		} else {
			w.Put(&pgproto3.NoData{})
		}
	case executeByte:
		b.execLocal(w, value)
	}
}

func (b *Batch) execLocal(w *Writer, value string) {
	tag := "SET"
	if b.Local.Show {
		w.Put(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
		tag = "SHOW"
	}
	w.Put(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// IsSingleExecution tells whether the batch is made of extended messages that run just one
// statement.
func (b *Batch) IsSingleExecution() bool { return !b.Simple && b.executions == 1 }

// RunsStatement tells whether a local batch runs its statement, rather than only
// preparing it.
func (b *Batch) RunsStatement() bool { return b.Simple || b.executions > 0 }
