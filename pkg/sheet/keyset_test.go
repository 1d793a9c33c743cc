package sheet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// TestKeysAreCompared guards against two sheets that are taken for one another although a key
// was removed, added or given to another customer.
func TestKeysAreCompared(t *testing.T) {
	g := NewWithT(t)
	of := func(list ...sheet.Customer) sheet.Sheet { return sheet.Sheet{}.WithCustomers(list) }
	both := of(sheet.Customer{Name: "a", KeyDigests: []string{"1", "2"}}, sheet.Customer{Name: "b", KeyDigests: []string{"3"}})
	fewer := of(sheet.Customer{Name: "a", KeyDigests: []string{"1"}, Rate: 7}, sheet.Customer{Name: "b", KeyDigests: []string{"3"}})
	moved := of(sheet.Customer{Name: "a", KeyDigests: []string{"1"}}, sheet.Customer{Name: "b", KeyDigests: []string{"3", "2"}})
	g.Expect(fewer.KeysWithin(both)).To(BeTrue())
	g.Expect(both.KeysWithin(fewer)).To(BeFalse())
	g.Expect(moved.KeysWithin(both)).To(BeFalse())
	g.Expect(sheet.Sheet{}.KeysWithin(both)).To(BeTrue())
	g.Expect(both.KeysWithin(sheet.Sheet{})).To(BeFalse())
	prints := map[uint64]bool{}
	for _, s := range []sheet.Sheet{{}, both, fewer, moved} {
		prints[s.KeysFingerprint()] = true
	}
	g.Expect(prints).To(HaveLen(4))
	g.Expect(of(fewer.Customers()...).KeysFingerprint()).To(Equal(fewer.KeysFingerprint()))
}

// TestFingerprintsOfJoinedTextsDiffer guards against two sheets that give a key to different customers
// and have the same fingerprint, because texts that are joined read the same.
func TestFingerprintsOfJoinedTextsDiffer(t *testing.T) {
	g := NewWithT(t)
	prints := map[uint64]bool{}
	for _, list := range [][]sheet.Customer{
		{{Name: "a", KeyDigests: []string{"1", "2"}}},
		{{Name: "a", KeyDigests: []string{"1\x002"}}},
		{{Name: "a\x001", KeyDigests: []string{"2"}}},
		{{Name: "a", KeyDigests: []string{"1"}}, {Name: "b", KeyDigests: []string{"2"}}},
		{{Name: "a", KeyDigests: []string{"1", "\x01b", "2"}}},
	} {
		prints[sheet.Sheet{}.WithCustomers(list).KeysFingerprint()] = true
	}
	g.Expect(prints).To(HaveLen(5))
}
