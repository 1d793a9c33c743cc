//go:build review

package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of what was sent, answered and run.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	// txs holds the statements that ran in each transaction, by its number.
	txs map[int][]Ran
}

// Ran is a statement that ran in a transaction.
type Ran struct{ ID, Text string }

// NewRecord opens a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{start: time.Now(), file: file, txs: make(map[int][]Ran)}, err
}

// Addf adds a line.
func (r *Record) Addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) ran(tx int, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.txs[tx] = append(r.txs[tx], Ran{ID: id, Text: text})
}

// Transactions returns the statements that ran in each transaction.
func (r *Record) Transactions() map[int][]Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[int][]Ran, len(r.txs))
	for tx, list := range r.txs {
		all[tx] = append([]Ran(nil), list...)
	}
	return all
}

const shown = 70

// short returns the beginning of a text.
func short(text string) string {
	if len(text) <= shown {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:shown], len(text))
}
