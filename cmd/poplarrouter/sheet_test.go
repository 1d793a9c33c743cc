package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// TestDiffShowsWhatTheSheetMeans guards against a diff that shows all rows as changed, because a
// spreadsheet ends its lines with CR LF, and against one in which a cell is a command of the terminal.
func TestDiffShowsWhatTheSheetMeans(t *testing.T) {
	g := NewWithT(t)
	diff := func(from, to string) string {
		var out strings.Builder
		printDiff(&out, from, to)
		return out.String()
	}
	g.Expect(diff("head\na,1\nb,2\n", "head\r\na,1\r\nb,3\r\n")).To(Equal("-b,2\n+b,3\n"))
	g.Expect(diff("head\na,1\n", "head\na,\x1b[2J1\n")).To(Equal("-a,1\n+\"a,\\x1b[2J1\"\n"))
}

// TestCheckedSheetCanBeLoaded guards against a sheet that the command check calls valid and that
// cannot be loaded, because it is longer as it is stored.
func TestCheckedSheetCanBeLoaded(t *testing.T) {
	g := NewWithT(t)
	const row = `"s","d","c","SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy","%07d","read","yes","1","1000","5","0"` + "\n"
	csv := strings.Join(sheet.Columns, ",") + "\n"
	for i := 0; len(csv)+len(row) <= sheet.MaxBytes; i++ {
		var rows strings.Builder
		for range 1000 {
			if len(csv)+rows.Len()+len(row) > sheet.MaxBytes {
				break
			}
			_, _ = fmt.Fprintf(&rows, row, i)
			i++
		}
		csv += rows.String()
	}
	_, loadErr := book.Load(t.Context(), labkv.New(), "anna", csv, time.Now())
	file := filepath.Join(t.TempDir(), "sheet.csv")
	g.Expect(os.WriteFile(file, []byte(csv), 0o600)).To(Succeed())
	g.Expect(loadErr).To(BeAssignableToTypeOf(&store.SizeError{}))
	g.Expect(checkSheet(file)).To(BeAssignableToTypeOf(&store.SizeError{}))
}
