package event

import (
	"bufio"
	"bytes"
	"io"
	"iter"

	"github.com/cockroachdb/errors"
)

// Lines returns the lines of a log without their ends. A line may be of any length, and is valid
// until the next one. An error of the reader is the last element.
func Lines(log io.Reader) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		r := bufio.NewReader(log)
		for {
			line, err := r.ReadBytes('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				yield(nil, err)
				return
			}
			if len(line) > 0 && !yield(bytes.TrimRight(line, "\r\n"), nil) || err != nil {
				return
			}
		}
	}
}
