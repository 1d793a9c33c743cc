//go:build review

package lab

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Consumer is a session of a consumer.
type Consumer struct {
	Name   string
	conn   net.Conn
	lines  *bufio.Reader
	number int
	record *Record
}

// Answer is what a consumer received for a query.
type Answer struct {
	// End is the COMPLETE or ERROR line, and State the state in the READY line.
	End   string
	Rows  []string
	State string
}

// Completed reports whether the query succeeded.
func (a Answer) Completed() bool { return strings.HasPrefix(a.End, "COMPLETE") }

// answerTimeout is a consumer's time limit.
const answerTimeout = 10 * time.Second

// Connect opens a session.
func Connect(r *Record, p *Proxy, database, name string) (*Consumer, error) {
	conn, err := net.Dial("tcp", p.Caller)
	if err != nil {
		return nil, err
	}
	c := &Consumer{Name: name, conn: conn, lines: bufio.NewReaderSize(conn, maxLine+1), record: r}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name)
	line, err := c.lines.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		_ = conn.Close()
		return nil, fmt.Errorf("%s at %s: STARTUP got %q: %w", name, p.Name, line, err)
	}
	r.Addf("%s connects to %s at %s", name, database, p.Name)
	return c, nil
}

// Query sends a query and reads the answer.
func (c *Consumer) Query(text string) (Answer, error) {
	c.number++
	id := fmt.Sprintf("%s-%d", c.Name, c.number)
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return Answer{}, err
	}
	var a Answer
	for {
		line, err := c.lines.ReadString('\n')
		if err != nil {
			c.record.Addf("%s sends %s -> %v", id, short(text), err)
			return a, err
		}
		line = strings.TrimRight(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE", "ERROR":
			a.End = line
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			c.record.Addf("%s sends %s -> %s | %s", id, short(text), a.End, line)
			return a, nil
		}
	}
}

// Close ends the session.
func (c *Consumer) Close() {
	_, _ = fmt.Fprint(c.conn, "TERMINATE\r\n")
	_ = c.conn.Close()
	c.record.Addf("%s ends its session", c.Name)
}
