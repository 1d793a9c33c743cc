package labdb

import (
	"context"
	"database/sql"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

func tagWord(text string) string {
	word := firstWord(text)
	if word == "CREATE" || word == "DROP" || word == "ALTER" {
		return word + " TABLE"
	}
	return word
}

func tag(word string, count int64) string {
	switch word {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", count)
	case "UPDATE", "DELETE", "SELECT":
		return fmt.Sprintf("%s %d", word, count)
	default:
		return word
	}
}

func (s *session) query(ctx context.Context, p portal, described bool, word string) error {
	text, _ := placeholders(p.text)
	rows, err := s.tx.QueryContext(ctx, text, values(p.args)...)
	if err != nil {
		return err
	}
	defer func() { _ = rows.Close() }()
	names, err := rows.Columns()
	if err != nil {
		return err
	}
	cells := make([]any, len(names))
	pointers := make([]any, len(names))
	for i := range cells {
		pointers[i] = &cells[i]
	}
	count := int64(0)
	for rows.Next() {
		if err := rows.Scan(pointers...); err != nil {
			return err
		}
		if count == 0 && described {
			s.backend.Send(&pgproto3.RowDescription{Fields: describeCells(names, cells, p.formats)})
		}
		count++
		s.sendRow(cells, p.formats)
		if count%rowsPerFlush == 0 {
			_ = s.backend.Flush()
		}
	}
	if count == 0 && described {
		s.backend.Send(&pgproto3.RowDescription{Fields: describeCells(names, cells, p.formats)})
	}
	if err := rows.Err(); err != nil {
		return err
	}
	s.complete(tag(word, count))
	return nil
}

const rowsPerFlush = 64

func (s *session) sendRow(cells []any, formats []int16) {
	row := make([][]byte, len(cells))
	for i, cell := range cells {
		row[i] = encode(cell, formatAt(formats, i))
	}
	s.backend.Send(&pgproto3.DataRow{Values: row})
}

func encode(cell any, format int16) []byte {
	switch v := cell.(type) {
	case nil:
		return nil
	case int64:
		if format == 1 {
			return binary.BigEndian.AppendUint64(nil, uint64(v))
		}
		return strconv.AppendInt(nil, v, 10)
	case float64:
		if format == 1 {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(v))
		}
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case []byte:
		return append([]byte{}, v...)
	case time.Time:
		return []byte(v.Format(time.RFC3339Nano))
	default:
		return fmt.Append(nil, v)
	}
}

func oidOf(cell any) uint32 {
	switch cell.(type) {
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	case []byte:
		return oidBytea
	default:
		return oidText
	}
}

func field(name string, oid uint32, format int16) pgproto3.FieldDescription {
	return pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1, Format: format}
}

func describeCells(names []string, cells []any, formats []int16) []pgproto3.FieldDescription {
	fields := make([]pgproto3.FieldDescription, len(names))
	for i, name := range names {
		fields[i] = field(name, oidOf(cells[i]), formatAt(formats, i))
	}
	return fields
}

// fieldsOf describes the columns of a query that was tried out: by the declared
// types where there are any, else by the first row.
func fieldsOf(rows *sql.Rows, formats []int16) ([]pgproto3.FieldDescription, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	names := make([]string, len(types))
	cells := make([]any, len(types))
	pointers := make([]any, len(types))
	for i := range cells {
		names[i], pointers[i] = types[i].Name(), &cells[i]
	}
	if rows.Next() {
		if err := rows.Scan(pointers...); err != nil {
			return nil, err
		}
	}
	for i, t := range types {
		switch strings.ToUpper(t.DatabaseTypeName()) {
		case "INTEGER", "INT", "BIGINT":
			cells[i] = int64(0)
		case "REAL", "DOUBLE":
			cells[i] = float64(0)
		case "TEXT":
			cells[i] = ""
		}
	}
	return describeCells(names, cells, formats), rows.Err()
}
