package labdb_test

import (
	"io/fs"
	"net"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/labdb"
)

// TestMemberListensOnceItsRowsAreOpen guards against a member that looks like a silent one: while it
// opens its rows, which may take seconds, the system accepts connections that nobody answers.
func TestMemberListensOnceItsRowsAreOpen(t *testing.T) {
	g := NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = taken.Close() }()
	t.Setenv("TMPDIR", filepath.Join(t.TempDir(), "missing"))
	// Neither the rows nor the address can be had. The error is that of the first step.
	_, _, err = labdb.New(labdb.Options{Address: taken.Addr().String()})
	g.Expect(err).To(MatchError(fs.ErrNotExist))
}
