package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"

	"poplarrouter.example/poplarrouter/internal/event"
)

// fate is what a caller was told of a write.
type fate uint8

const (
	// unknown means that no answer came, or one that promises nothing.
	unknown fate = iota
	// kept means that the write was acknowledged.
	kept
	// refused means that the caller was told, or may conclude, that nothing is kept.
	refused
)

// ledger holds what callers were told of their writes.
type ledger struct {
	mu sync.Mutex
	// fates are those of all values, each of which is written by one write at most.
	fates map[string]fate
	// pairs are values that one transaction writes together.
	pairs [][2]string
	// latest is the number of the last acknowledged value of each key.
	latest map[string]int
	keys   []string
}

func newLedger() *ledger { return &ledger{fates: make(map[string]fate), latest: make(map[string]int)} }

// value names the write of a number to a key, with a phrase that follows from the number.
func value(key string, number int) string {
	return fmt.Sprintf("%s=%d %s", key, number, phrases[number%len(phrases)])
}

// missing is the row of a key without a value.
const missing = "-"

// numberOf returns the number of the value of a key, or 0 for a key without a value.
func numberOf(key, row string) (int, bool) {
	if row == missing {
		return 0, true
	}
	text, _, _ := strings.Cut(strings.TrimPrefix(row, key+"="), " ")
	number, err := strconv.Atoi(text)
	return number, err == nil && row == value(key, number)
}

// note takes what a caller was told of a value.
func (l *ledger) note(key string, number int, f fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fates[value(key, number)] = f
	if f != kept {
		return
	}
	if _, known := l.latest[key]; !known {
		l.keys = append(l.keys, key)
	}
	l.latest[key] = max(l.latest[key], number)
}

// pair takes two values that a transaction wrote.
func (l *ledger) pair(a, b string, f fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fates[a], l.fates[b] = f, f
	l.pairs = append(l.pairs, [2]string{a, b})
}

// some returns a key that somebody has written, by a number, and what a read of it must
// show at least. It returns false while there is none.
func (l *ledger) some(n int) (key string, least int, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys) == 0 {
		return "", 0, false
	}
	// Keys that are still written to are the last ones.
	recent := l.keys[max(0, len(l.keys)-16):]
	key = recent[n%len(recent)]
	return key, l.latest[key], true
}

// audit compares what callers were told with what the database holds.
func (r *run) audit() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for v, f := range r.ledger.fates {
		count := r.platform.Count(v)
		switch {
		case count > 1:
			r.broken("a write runs at most once", "%s was written %d times", v, count)
		case f == kept && count == 0:
			r.broken("an acknowledged write is kept", "%s is not there", v)
		case f == refused && count > 0:
			r.broken("what is refused as not run has not run", "%s is there", v)
		}
	}
	for _, p := range r.ledger.pairs {
		if a, b := r.platform.Count(p[0]), r.platform.Count(p[1]); a != b {
			r.broken("a transaction is kept whole or not at all", "%s is there %d times, %s %d times", p[0], a, p[1], b)
		}
	}
	if lost := r.platform.Outcome().Lost; lost > 0 {
		r.broken("an acknowledged write is kept", "promoted members lacked %d acknowledged entries", lost)
	}
	for _, p := range r.proxies {
		log, err := os.ReadFile(p.log)
		if err != nil {
			r.broken("the run itself works", "%s", err)
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, brokenEvent) {
				r.broken("a proxy reports no broken invariant", "%s: %s", p.settings.Host, strings.TrimSpace(line))
			}
		}
	}
}

// brokenEvent is part of the lines with which proxies report broken invariants.
var brokenEvent = fmt.Sprintf(`"Event":%d,`, event.InvariantBroken)
