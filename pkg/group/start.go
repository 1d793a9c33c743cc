package group

import (
	"strings"
)

// FormatStarts writes a term history as floors joined by commas.
func FormatStarts(starts []Start) string {
	parts := make([]string, 0, len(starts))
	for _, s := range starts {
		parts = append(parts, Floor(s).String())
	}
	return strings.Join(parts, ",")
}

// ParseStarts reads what FormatStarts writes. It returns a *SyntaxError for
// anything else, and for terms that do not grow.
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
			return nil, &SyntaxError{Got: text, Want: "growing terms"}
		}
		starts = append(starts, Start(floor))
	}
	return starts, nil
}
