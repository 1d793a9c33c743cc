package relay_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/relay"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// TestOwnerChecksCustomerUnlessItsSheetIsOlder guards against a job that runs as a customer that
// does not hold the key, and against refusing a key that only the sender's newer sheet lists.
func TestOwnerChecksCustomerUnlessItsSheetIsOlder(t *testing.T) {
	g := NewWithT(t)
	const serial = 5
	body, err := json.Marshal(book.SheetDoc{
		Serial: serial,
		Rows: []sheet.Row{
			{Service: "closed", Database: "d", Caller: sheet.AnyCaller, KeyRequired: true}, {Service: "open", Database: "d", Caller: sheet.AnyCaller},
		},
		Customers: []sheet.Customer{{Name: "acme", KeyDigests: []string{"a"}}, {Name: "zenith", KeyDigests: []string{"z"}}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	doc, err := book.ParseDoc(book.Sheet, body)
	g.Expect(err).NotTo(HaveOccurred())
	documents, _, err := book.DocumentSet{}.With(doc)
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct {
		job     relay.Job
		refused bool
	}{
		{relay.Job{Service: "closed", Customer: "acme", KeyDigest: "a", SheetSerial: serial}, false},
		{relay.Job{Service: "closed", Customer: "acme", KeyDigest: "z", SheetSerial: serial}, true},
		{relay.Job{Service: "closed", Customer: "acme", KeyDigest: "removed", SheetSerial: serial - 1}, true},
		{relay.Job{Service: "closed", Customer: "new", KeyDigest: "added", SheetSerial: serial + 1}, false},
		{relay.Job{Service: "open", Customer: "acme", KeyDigest: "z", SheetSerial: serial}, true},
		{relay.Job{Service: "open", SheetSerial: serial}, false},
		{relay.Job{Service: "closed", SheetSerial: serial + 1}, true},
		{relay.Job{Service: "open", Work: sheet.Row{KeyRequired: true}, SheetSerial: serial}, true},
	} {
		err := relay.CheckCustomer(documents, c.job)
		g.Expect(err != nil).To(Equal(c.refused), "%+v", c.job)
		if c.refused {
			g.Expect(err.Kind).To(Equal(fault.UnknownKey))
			g.Expect(err.Kind.Outcome()).To(Equal(fault.NotRun))
		}
	}
}
