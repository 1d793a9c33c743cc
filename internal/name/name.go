// Package name says which names of hosts can be used.
//
// The name of a host becomes a word of commands to members, a part of the path of an object in the
// store, an HTTP header and a key. None of these encodes it, so that a name must mean the same in
// all of them.
package name

// MaxBytes is the length of the longest name. PostgreSQL cuts longer application names, by which
// members tell hosts apart.
const MaxBytes = 63

// Want describes the valid names in an error text.
const Want = "a name of at most 63 bytes that begins with a letter or a digit and consists of ASCII letters, digits, dots, dashes and underscores"

// Valid reports whether a host may have a name.
func Valid(text string) bool {
	if text == "" || len(text) > MaxBytes {
		return false
	}
	for i, r := range text {
		switch {
		case 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9':
		case i > 0 && (r == '.' || r == '-' || r == '_'):
		default:
			return false
		}
	}
	return true
}
