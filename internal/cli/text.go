package cli

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Printable returns a text of others so that it can be printed within a line: unchanged if it
// consists of printable characters and blanks and does not begin with a quotation mark, or else
// quoted as a Go string. The result contains no line end, no tab and no command of a terminal.
func Printable(text string) string {
	if strings.HasPrefix(text, `"`) || !utf8.ValidString(text) || strings.ContainsFunc(text, isControl) {
		return strconv.Quote(text)
	}
	return text
}

func isControl(r rune) bool { return !unicode.IsPrint(r) }
