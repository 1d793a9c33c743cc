//go:build review2

// Command lab2 plays the cases of the second review that are scripts. It starts the project's program
// as separate processes, and stands in for consumers, databases and the platform.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	cases := map[string]func(r *record, dir string, trouble bool) (int, error){"lost": playLost, "quota": playQuota, "values": playValues}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "want a case and the path of the record")
		os.Exit(notPlayed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(r *record, dir string, trouble bool) (int, error), path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &record{file: file, begin: time.Now()}
	code, err := f(r, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.write("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	r.write("exit code %d", code)
	return code
}
