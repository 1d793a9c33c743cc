package sheet

import (
	"encoding/binary"

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
		writeText(d, c.Name)
		writeNumber(d, len(c.KeyDigests))
		for _, digest := range c.KeyDigests {
			writeText(d, digest)
		}
	}
	return d.Sum64()
}

// writeText adds a text with its length, so that texts which are added one after the other cannot be
// read as others.
func writeText(d *xxhash.Digest, text string) {
	writeNumber(d, len(text))
	_, _ = d.WriteString(text)
}

func writeNumber(d *xxhash.Digest, n int) {
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(n))) //nolint:gosec // a length is not negative
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
