package sheet

import (
	"github.com/cespare/xxhash/v2"
)

// KeysFingerprint returns a hash of which key belongs to which customer. Two sheets with the
// same serial but different keys differ in it, as may happen if operators repeat a serial
// after the store was restored from an older copy.
func (s Sheet) KeysFingerprint() uint64 {
	d := xxhash.New()
	if s.customers == nil {
		return d.Sum64()
	}
	for _, c := range s.customers.list {
		_, _ = d.WriteString(c.Name)
		_, _ = d.Write([]byte{0})
		for _, digest := range c.KeyDigests {
			_, _ = d.WriteString(digest)
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write([]byte{1})
	}
	return d.Sum64()
}

// KeysWithin reports whether each key of the sheet belongs to the same customer in another
// sheet.
func (s Sheet) KeysWithin(other Sheet) bool {
	if s.customers == nil {
		return true
	}
	for digest, c := range s.customers.byKey {
		if was, found := other.CustomerOfKey(digest); !found || was.Name != c.Name {
			return false
		}
	}
	return true
}
