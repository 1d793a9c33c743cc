package labdb_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestLiteralsAreKept guards against a stand-in that changes the text of a statement inside quotes
// or comments, or cuts it there.
func TestLiteralsAreKept(t *testing.T) {
	g := NewWithT(t)
	conn := connect(t)
	for literal, text := range map[string]string{
		"'costs $5'": "costs $5", "'o''brien; $1'": "o'brien; $1", "'a;b'": "a;b", `"'" || '$2;'`: "'$2;",
	} {
		results, err := conn.Exec(t.Context(), "SELECT "+literal).ReadAll()
		g.Expect(err).NotTo(HaveOccurred(), literal)
		g.Expect(results).To(HaveLen(1), literal)
		g.Expect(string(results[0].Rows[0][0])).To(Equal(text), literal)
	}
	for text, want := range map[string]string{
		`SELECT 1 AS "a;b$1"`: "1", "SELECT 1 /* it's; $1 */ + 1": "2", "SELECT 1 -- it's; $1": "1",
	} {
		results, err := conn.Exec(t.Context(), text).ReadAll()
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(results).To(HaveLen(1), text)
		g.Expect(string(results[0].Rows[0][0])).To(Equal(want), text)
		g.Expect(results[0].FieldDescriptions[0].Name).NotTo(ContainSubstring("?"), text)
	}
	result := conn.ExecParams(t.Context(), `SELECT $1 || '$1' || $2`, [][]byte{[]byte("a"), []byte("b")}, nil, nil, nil).Read()
	g.Expect(result.Err).NotTo(HaveOccurred())
	g.Expect(string(result.Rows[0][0])).To(Equal("a$1b"))
}
