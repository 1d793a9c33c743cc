package sheet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// TestCustomerOfKey guards against a key that admits a caller as the wrong customer, or
// that is still accepted after it was removed.
func TestCustomerOfKey(t *testing.T) {
	g := NewWithT(t)
	old, current := sheet.KeyDigest("old-key"), sheet.KeyDigest("new-key")
	s := sheet.FromRows(nil).WithCustomers([]sheet.Customer{
		{Name: "north", KeyDigests: []string{old, current}, Rate: 10, Burst: 5},
		{Name: "south", KeyDigests: []string{old}},
	})
	c, found := s.CustomerOfKey(old)
	g.Expect(found).To(BeTrue())
	g.Expect(c.Name).To(Equal("north"), "of two customers with one key, the first one has it")
	_, found = s.CustomerOfKey(sheet.KeyDigest("unknown"))
	g.Expect(found).To(BeFalse())
	_, found = s.CustomerOfKey("")
	g.Expect(found).To(BeFalse())
	removed := s.WithCustomers([]sheet.Customer{{Name: "north", KeyDigests: []string{current}}})
	_, found = removed.CustomerOfKey(old)
	g.Expect(found).To(BeFalse())
	_, found = s.CustomerOfKey(old)
	g.Expect(found).To(BeTrue(), "a sheet is immutable")
}
