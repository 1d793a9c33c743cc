package wire

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
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
	setPattern   = regexp.MustCompile(`(?i)^\s*SET\s+(?:SESSION\s+)?(poplarrouter\.kind|poplarrouter\.floor)\s*(?:=|\bTO\b)\s*'?([^';]*?)'?\s*;?\s*$`)
	showPattern  = regexp.MustCompile(`(?i)^\s*SHOW\s+(poplarrouter\.kind|poplarrouter\.floor)\s*;?\s*$`)
	beginPattern = regexp.MustCompile(`(?i)^\s*(?:BEGIN|START\s+TRANSACTION)\b[^;]*\bREAD\s+ONLY\b`)
)

// parseLocal returns the statement that the proxy answers itself, or nil for any other text.
func parseLocal(text string) *LocalStatement {
	if !mayBeLocal(text) {
		return nil
	}
	if match := setPattern.FindStringSubmatch(text); match != nil {
		return &LocalStatement{Setting: strings.ToLower(match[1]), Value: match[2]}
	}
	if match := showPattern.FindStringSubmatch(text); match != nil {
		return &LocalStatement{Setting: strings.ToLower(match[1]), Show: true}
	}
	return nil
}

// mayBeLocal reports whether a text begins like SET or SHOW.
func mayBeLocal(text string) bool {
	i := 0
	for i < len(text) && (text[i] == ' ' || (text[i] >= '\t' && text[i] <= '\r')) {
		i++
	}
	return i < len(text) && (text[i] == 's' || text[i] == 'S') &&
		(strings.EqualFold(text[i:min(i+len("SET"), len(text))], "SET") || strings.EqualFold(text[i:min(i+len("SHOW"), len(text))], "SHOW"))
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
