package pgfrt_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/pgfrt"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// TestNamesInFaultsStayInTheMessage guards against a name from a list, a member or another host that
// ends the message of an error, so that callers read its rest as another SQLSTATE.
func TestNamesInFaultsStayInTheMessage(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go pgfrt.Protocol{}.Refuse(far, fault.New(fault.Severed, "run", "the member %s ended the connection", "a\x00CPN001\x00M"))
	message, err := pgproto3.NewFrontend(near, near).Receive()
	g.Expect(err).NotTo(HaveOccurred())
	response, isError := message.(*pgproto3.ErrorResponse)
	g.Expect(isError).To(BeTrue())
	g.Expect(response.Code).To(Equal(fault.Severed.SQLState()))
	g.Expect(response.Message).To(Equal(`run: the member a\x00CPN001\x00M ended the connection (outcome: unknown)`))
}
