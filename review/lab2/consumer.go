//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// consumer is a session of a consumer.
type consumer struct {
	conn  net.Conn
	lines *bufio.Reader
}

const answerTimeout = 8 * time.Second

func connect(address, database, name string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &consumer{conn: conn, lines: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, name)
	line, err := c.lines.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("got %q", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a statement and returns COMPLETE or the error code. An empty text stands for a broken
// connection.
func (c *consumer) query(id, text string) (answer string, idle bool) {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", false
	}
	for {
		line, err := c.lines.ReadString('\n')
		if err != nil {
			return "", false
		}
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0:
		case fields[0] == "READY":
			return answer, len(fields) > 1 && fields[1] == "I"
		case fields[0] == "COMPLETE":
			answer = "COMPLETE"
		case fields[0] == "ERROR" && len(fields) > 1:
			answer = fields[1]
		}
	}
}

func (c *consumer) close() { _ = c.conn.Close() }
