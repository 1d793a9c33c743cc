package sheet_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

const (
	header = "Service,Database,Caller,Secret,Kind,Access,Idempotent,Rank,DeadlineMs,Worth,AcceptedAgeMs"
	secret = "SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy"
)

// TestRows parses the rows in testdata/rows.txt. Each line holds a row, an arrow, and the
// errors that a sheet of the header and this row has, or "ok". \n in a row begins another
// row, and SECRET stands for a verifier.
func TestRows(t *testing.T) {
	file, err := os.Open(filepath.Join("testdata", "rows.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		row, want, _ := strings.Cut(line, " -> ")
		t.Run(row, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.ReplaceAll(row, "SECRET", secret)
			_, err := sheet.Parse(strings.NewReader(header + "\n" + strings.ReplaceAll(text, `\n`, "\n")))
			if want == "ok" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(strings.ReplaceAll(err.Error(), "\n", "; ")).To(Equal(want))
		})
	}
}

// TestInvalidHeaderIsRejected checks the errors for a wrong and for a missing header.
func TestInvalidHeaderIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := sheet.Parse(strings.NewReader("Service,Caller\n"))
	g.Expect(err).To(MatchError(ContainSubstring(`row 1: got "Service,Caller"`)))
	_, err = sheet.Parse(strings.NewReader(""))
	g.Expect(err).To(MatchError("row 1: got an empty sheet, want a header row"))
}

// TestErrorsOmitTheSecret guards against showing a password in an error text when the
// Secret column holds one instead of a verifier.
func TestErrorsOmitTheSecret(t *testing.T) {
	g := NewWithT(t)
	_, err := sheet.Parse(strings.NewReader(header + "\ns,d,c,hunter2,k,read,yes,1,1,1,0\n"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
}

func ExampleRowForLabel() {
	csv := header + "\n" +
		"restock,stock,vendor," + secret + ",order,write,no,1,2000,50,0\n" +
		"restock,stock,vendor," + secret + ",count,read,yes,2,3000,10,5000\n"
	s, err := sheet.Parse(strings.NewReader(csv))
	if err != nil {
		fmt.Println(err)
		return
	}
	rows, _ := s.RowsFor("restock", "vendor")
	labelled, _ := sheet.RowForLabel(rows, "count")
	unlabelled, _ := sheet.RowForLabel(rows, "")
	_, listed := sheet.RowForLabel(rows, "refund")
	fmt.Println(labelled.Access, labelled.StalenessBound)
	fmt.Println(unlabelled.Access, unlabelled.Idempotent, unlabelled.Rank)
	fmt.Println(listed)
	// Output:
	// read 5s
	// write false 2
	// false
}

// FuzzParse checks that Parse returns all errors as sheet.Errors and then no rows.
func FuzzParse(f *testing.F) {
	f.Add(header + "\ns,d,c," + secret + ",k,read,yes,1,1,1,0\n")
	f.Add("\"")
	f.Add(header + "\n\"a\nb\",,,,,,,,,,\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := sheet.Parse(strings.NewReader(text))
		var parseErrors sheet.Errors
		if err != nil && !errors.As(err, &parseErrors) {
			t.Fatalf("got error %T, want sheet.Errors", err)
		}
		if err != nil && len(s.Rows()) > 0 {
			t.Fatal("a sheet with errors has rows")
		}
	})
}
