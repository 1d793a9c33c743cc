package labdb

import (
	"strconv"
	"strings"
)

// opaqueEnd returns the end of the literal, quoted name or comment that begins at text[i], or i if
// none does. A doubled quote is read as two that follow one another.
func opaqueEnd(text string, i int) int {
	var begin, end string
	switch rest := text[i:]; {
	case rest[0] == '\'' || rest[0] == '"':
		begin, end = rest[:1], rest[:1]
	case strings.HasPrefix(rest, "--"):
		begin, end = "--", "\n"
	case strings.HasPrefix(rest, "/*"):
		begin, end = "/*", "*/"
	default:
		return i
	}
	inside := i + len(begin)
	at := strings.Index(text[inside:], end)
	if at < 0 {
		return len(text)
	}
	return inside + at + len(end)
}

// split cuts a query string at semicolons outside literals, quoted names and comments.
func split(text string) []string {
	var list []string
	from := 0
	add := func(to int) {
		if p := strings.TrimSpace(text[from:to]); p != "" {
			list = append(list, p)
		}
		from = to + 1
	}
	for i := 0; i < len(text); {
		if end := opaqueEnd(text, i); end > i {
			i = end
			continue
		}
		if text[i] == ';' {
			add(i)
		}
		i++
	}
	add(len(text))
	return list
}

// placeholders rewrites $1 to ?1, but in literals, quoted names and comments. highest is the
// greatest number of a parameter, or 0 if there is none.
func placeholders(text string) (rewritten string, highest int) {
	var out strings.Builder
	for i := 0; i < len(text); {
		if end := opaqueEnd(text, i); end > i {
			out.WriteString(text[i:end])
			i = end
			continue
		}
		digits := i + 1
		for text[i] == '$' && digits < len(text) && text[digits] >= '0' && text[digits] <= '9' {
			digits++
		}
		if number, err := strconv.Atoi(text[i+1 : digits]); err == nil {
			out.WriteByte('?')
			out.WriteString(text[i+1 : digits])
			highest = max(highest, number)
		} else {
			out.WriteString(text[i:digits])
		}
		i = digits
	}
	return out.String(), highest
}
