package group

import (
	"strings"
)

// FormatStarts returns a term history as text: each start in the form of Floor.String,
// joined by commas.
func FormatStarts(starts []Start) string {
	parts := make([]string, 0, len(starts))
	for _, s := range starts {
		parts = append(parts, Floor(s).String())
	}
	return strings.Join(parts, ",")
}

// ParseStarts parses the text that FormatStarts returns. It returns a *SyntaxError for
// any other text, and for terms that do not increase.
func ParseStarts(text string) ([]Start, error) {
	if text == "" {
		return nil, nil
	}
	var starts []Start
	for part := range strings.SplitSeq(text, ",") {
		floor, err := ParseFloor(part)
		if err != nil {
			return nil, err
		}
		if len(starts) > 0 && starts[len(starts)-1].Term >= floor.Term {
			return nil, &SyntaxError{Got: text, Want: "increasing terms"}
		}
		starts = append(starts, Start(floor))
	}
	return starts, nil
}
