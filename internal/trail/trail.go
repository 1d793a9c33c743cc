// Package trail collects the log lines of one request from the logs of all hosts.
//
// A trail holds the lines that name the request, in order of time, each with the log that
// it comes from. Lines that are not JSON objects are counted and passed over. What the lines
// say is not interpreted: a field that a newer version logs is shown as well.
package trail

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"poplarrouter.example/poplarrouter/internal/cli"
	"poplarrouter.example/poplarrouter/internal/event"
)

// Line is a log line about the request.
type Line struct {
	// Source is the log that the line comes from.
	Source string
	Time   time.Time
	Name   string
	// Fields are the other fields of the line, without those that all lines of a request
	// share.
	Fields map[string]any
}

// Trail holds the lines of one request. It is immutable.
type Trail struct {
	request string
	lines   []Line
	skipped int
}

// New returns an empty trail of a request.
func New(request string) Trail { return Trail{request: request} }

// Lines returns the lines of the request, the earliest first.
func (t Trail) Lines() []Line { return slices.Clone(t.lines) }

// Skipped returns the number of lines that were not JSON objects.
func (t Trail) Skipped() int { return t.skipped }

// WithLog returns the trail with the lines of another log. A text before the JSON object of
// a line, as log collectors add it, names the source of that line after the given one.
func (t Trail) WithLog(source string, log io.Reader) (Trail, error) {
	t.lines = slices.Clone(t.lines)
	var readErr error
	for raw, err := range event.Lines(log) {
		if err != nil {
			readErr = err
			break
		}
		line, found, err := t.parse(source, raw)
		switch {
		case err != nil:
			t.skipped++
		case found:
			t.lines = append(t.lines, line)
		}
	}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t, readErr
}

// hidden are the fields that are shown elsewhere or are the same in all lines.
var hidden = []string{"Event", "Level", "Name", "Request", "Time"}

// parse decodes a log line, and reports whether it is about the request.
func (t Trail) parse(source string, raw []byte) (Line, bool, error) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false, io.ErrUnexpectedEOF
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false, err
	}
	if fields["Request"] != t.request {
		return Line{}, false, nil
	}
	line := Line{Source: strings.TrimSpace(source + " " + string(bytes.TrimSpace(raw[:start]))), Fields: fields}
	line.Name, _ = fields["Name"].(string)
	if text, ok := fields["Time"].(string); ok {
		// A line without a valid time is shown first rather than left out.
		line.Time, _ = time.Parse(time.RFC3339Nano, text)
	}
	for _, name := range hidden {
		delete(fields, name)
	}
	return line, true, nil
}

// Write prints the lines: the time since the first one, the source, the name of the event,
// and the fields by name. Cause comes last, because it is the longest. Texts that could be taken for
// something else are quoted.
func (t Trail) Write(w io.Writer) error {
	for _, line := range t.lines {
		keys := slices.SortedFunc(maps.Keys(line.Fields), func(a, b string) int {
			return cmp.Or(cmp.Compare(order(a), order(b)), cmp.Compare(a, b))
		})
		words := make([]string, 0, len(keys))
		for _, key := range keys {
			words = append(words, cli.Printable(key)+"="+field(line.Fields[key]))
		}
		_, err := fmt.Fprintf(w, "%+8.3fs  %s  %s  %s\n", line.Time.Sub(t.lines[0].Time).Seconds(), cli.Printable(line.Source), cli.Printable(line.Name), strings.Join(words, " "))
		if err != nil {
			return err
		}
	}
	return nil
}

// field returns a value as it is printed after its name. One that could be read as another field is
// quoted.
func field(value any) string {
	text := fmt.Sprint(value)
	if strings.Contains(text, "=") {
		return strconv.Quote(text)
	}
	return cli.Printable(text)
}

func order(key string) int {
	if key == "Cause" {
		return 1
	}
	return 0
}
