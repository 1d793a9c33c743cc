// Package name says which names of hosts can be used.
//
// The name of a host becomes a word of commands to members, a part of the path of an object in the
// store, an HTTP header and a key. None of these encodes it, so that a name must mean the same in
// all of them.
package name

import (
	"unicode"
	"unicode/utf8"
)

// MaxBytes is the length of the longest name. The first frame between two hosts has room for it.
const MaxBytes = 255

// Want describes the valid names in an error text.
const Want = "a name of at most 255 bytes that begins with a letter or a digit and consists of letters, digits, dots, dashes and underscores"

// Valid reports whether a host may have a name.
func Valid(text string) bool {
	if text == "" || len(text) > MaxBytes || !utf8.ValidString(text) {
		return false
	}
	for i, r := range text {
		switch {
		case unicode.IsLetter(r) || unicode.IsDigit(r):
		case i > 0 && (r == '.' || r == '-' || r == '_'):
		default:
			return false
		}
	}
	return true
}
