package crowd_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labpf"
	"poplarrouter.example/poplarrouter/internal/labset"
)

// newLinesSite starts a proxy that serves typed statements. The stand-in of the platform runs
// in the process of the test.
func newLinesSite(t *testing.T) *site {
	s := newSite(t)
	platform, cleanUp, err := labpf.New(labpf.Options{Members: 3, Connections: 40})
	s.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(cleanUp)
	settings := limit(labset.SettingsOf("front-1", platform.StoreAddress()))
	settings.DataCentre, settings.Regions = labpf.DataCentre(0), labpf.Regions()
	settings.Region = settings.Regions[settings.DataCentre]
	settings.Protocol, settings.PromoteAddress = config.Lines, platform.CloudAddress()
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = s.free(), s.free(), s.free()
	settings.Timing.PollMs, settings.Timing.WatchMs = 50, 1000
	s.startProxy(settings)
	s.Eventually(s.readItem).Should(Succeed(), "an ordinary request is answered before the crowd comes")
	return s
}

// linesCaller is a session of a caller of typed statements.
type linesCaller struct {
	net.Conn
	answers *bufio.Reader
}

// enter starts a session.
func (s *site) enter() (*linesCaller, error) {
	conn, err := net.DialTimeout("tcp", s.settings.CallerAddress, callLimit)
	if err != nil {
		return nil, err
	}
	c := &linesCaller{Conn: conn, answers: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "STARTUP %s tester\r\n", labpf.Session); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := c.await(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// await reads up to the end of an answer. It returns an error if the answer is a refusal.
func (c *linesCaller) await() error {
	var refusal error
	for {
		_ = c.SetReadDeadline(time.Now().Add(callLimit))
		line, err := c.answers.ReadString('\n')
		if err != nil {
			return err
		}
		switch {
		case strings.HasPrefix(line, "READY"):
			return refusal
		case strings.HasPrefix(line, "ERROR"):
			refusal = fmt.Errorf("got %q", line)
		}
	}
}

func statement(text string) []byte { return []byte("QUERY q1 " + text + "\r\n") }

// readItem runs an ordinary request on a connection of its own.
func (s *site) readItem() error {
	c, err := s.enter()
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if !send(c, statement("READ item"), legalBytes) {
		return net.ErrClosed
	}
	return c.await()
}

// sessions runs a crowd of callers that have started a session.
func (s *site) sessions(count int, caller func(c *linesCaller)) {
	misbehave(count, func(int) {
		if c, err := s.enter(); err == nil {
			defer func() { _ = c.Close() }()
			caller(c)
		}
	})
}

// legalStatement is a statement of nearly the largest legal size.
func legalStatement() []byte {
	const rest = 64 // the text around the item
	return statement("READ " + filler(legalBytes-rest))
}

// TestLinesWholeMessages guards against memory that grows with the number of callers that send
// legal messages at the same time.
func TestLinesWholeMessages(t *testing.T) {
	s := newLinesSite(t)
	query := legalStatement()
	s.sessions(200, func(c *linesCaller) {
		for range 3 {
			if !send(c, query, len(query)) || c.await() != nil {
				return
			}
		}
	})
	s.check(s.readItem)
}

// TestLinesUnfinishedMessages guards against buffers that are kept for lines whose end never
// arrives.
func TestLinesUnfinishedMessages(t *testing.T) {
	s := newLinesSite(t)
	query := legalStatement()
	s.sessions(200, func(c *linesCaller) {
		if send(c, query[:len(query)-1], 1<<14) {
			drain(c, holdTime)
		}
	})
	s.check(s.readItem)
}

// TestLinesOversizeMessages guards against buffers for lines over the limit.
func TestLinesOversizeMessages(t *testing.T) {
	s := newLinesSite(t)
	large := statement("READ " + filler(16*legalBytes))
	s.sessions(100, func(c *linesCaller) {
		send(c, large, 1<<16)
		drain(c, time.Second)
	})
	s.check(s.readItem)
}

// TestLinesPipelinedMessages guards against memory for messages that are sent without reading
// the answers to those before.
func TestLinesPipelinedMessages(t *testing.T) {
	s := newLinesSite(t)
	query := legalStatement()
	s.sessions(100, func(c *linesCaller) {
		for range 20 {
			if !send(c, query, len(query)) {
				return
			}
		}
		time.Sleep(holdTime)
	})
	s.check(s.readItem)
}

// TestLinesUnreadAnswers guards against answers that are buffered for callers that do not read
// them.
func TestLinesUnreadAnswers(t *testing.T) {
	s := newLinesSite(t)
	s.Eventually(func() error {
		c, err := s.enter()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		if !send(c, statement("WRITE large "+filler(legalBytes*9/10)), legalBytes) {
			return net.ErrClosed
		}
		return c.await()
	}).Should(Succeed(), "the item is written")
	s.sessions(200, func(c *linesCaller) {
		for range 20 {
			if !send(c, statement("READ large"), legalBytes) {
				return
			}
		}
		time.Sleep(2 * holdTime)
	})
	s.check(s.readItem)
}

// TestLinesUnfinishedStarts guards against descriptors and buffers that are used up by sessions
// whose first message is never finished.
func TestLinesUnfinishedStarts(t *testing.T) {
	s := newLinesSite(t)
	start := []byte("STARTUP " + labpf.Session + " " + filler(legalBytes*9/10))
	misbehave(700, func(i int) {
		conn, err := net.DialTimeout("tcp", s.settings.CallerAddress, callLimit)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		message := start[:1]
		if i%3 == 0 {
			message = start
		}
		if send(conn, message, 1<<14) {
			drain(conn, 2*holdTime)
		}
	})
	s.check(s.readItem)
}

// TestLinesSessionValues guards against values and prepared statements of a session without
// end.
func TestLinesSessionValues(t *testing.T) {
	s := newLinesSite(t)
	const callers, names, length = 20, 150, 100_000
	text := filler(length)
	s.sessions(callers, func(c *linesCaller) {
		for i := range names {
			if !send(c, statement(fmt.Sprintf("SET name%d %s", i, text)), 2*length) || c.await() != nil {
				return
			}
		}
	})
	s.sessions(callers, func(c *linesCaller) {
		for i := range names {
			if !send(c, statement(fmt.Sprintf("PREPARE name%d READ %s", i, text)), 2*length) || c.await() != nil {
				return
			}
		}
	})
	s.check(s.readItem)
}

// TestLinesLargestMessage guards against a budget that is too small for a single message of the
// largest legal size, and for the answer that returns it, on the smallest host.
func TestLinesLargestMessage(t *testing.T) {
	s := newLinesSite(t)
	value := filler(legalBytes - 1 - len(statement("WRITE large ")))
	s.check(func() error {
		c, err := s.enter()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		for _, text := range []string{"WRITE large " + value, "READ large"} {
			if !send(c, statement(text), legalBytes) {
				return net.ErrClosed
			}
			if err := c.await(); err != nil {
				return err
			}
		}
		return nil
	})
}
