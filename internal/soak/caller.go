package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// errRefused reports a session that was not let in.
var errRefused = errors.New("session refused")

// session is a connection of a caller to a proxy.
type session struct {
	net.Conn
	answers *bufio.Reader
	proxy   string
	route   string
	// inside tells that a transaction is open. values and prepared are those that the proxy
	// acknowledged.
	inside   bool
	values   map[string]string
	prepared map[string]prepared
}

// prepared is a prepared statement of a session.
type prepared struct{ access, shape string }

// answerTime is how long a caller awaits an answer: the time limit of a statement, and as
// much again for the way.
const answerTime = 4 * time.Second

func enter(p *proxy, route string) (*session, error) {
	conn, err := p.dial()
	if err != nil {
		return nil, err
	}
	s := &session{
		Conn: conn, answers: bufio.NewReader(conn), proxy: p.settings.Host, route: route, values: make(map[string]string), prepared: make(map[string]prepared),
	}
	_ = conn.SetDeadline(time.Now().Add(answerTime))
	if _, err = fmt.Fprintf(conn, "STARTUP %s soak\r\n", route); err == nil {
		var line string
		if line, err = s.answers.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY I") {
			err = errRefused
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// lost is the code of a statement whose connection ended without an answer.
const lost = "Lost"

// ask runs a statement and returns its first row and the code of its error: empty for
// success, or lost.
func (s *session) ask(id, text string) (row, code string) {
	_ = s.SetDeadline(time.Now().Add(answerTime))
	if _, err := fmt.Fprintf(s, "QUERY %s %s\r\n", id, text); err != nil {
		return "", lost
	}
	for {
		line, err := s.answers.ReadString('\n')
		if err != nil {
			return "", lost
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			row = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			s.inside = !strings.HasPrefix(rest, "I")
			return row, code
		}
	}
}

// promises are the codes that tell that nothing of the caller's attempt is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "CONNLIMIT": true}

func fateOf(code string) fate {
	switch {
	case code == "":
		return kept
	case promises[code]:
		return refused
	default:
		return unknown
	}
}

// caller is one caller of a run.
type caller struct {
	*run
	name   string
	random *rand.Rand
	// key is the caller's own. After a write of unknown outcome, which may still take
	// effect, it takes another one.
	key    string
	keys   int
	number int
	asked  int
	// seen is what a read in the present session must show at least.
	seen int
}

// call is the duty of a caller: it uses a session until that ends, and then another one.
func (r *run) call(ctx context.Context, i int) {
	c := &caller{run: r, name: fmt.Sprint("c", i), random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)+1))} //nolint:gosec // as above
	c.renew()
	for ctx.Err() == nil {
		p := r.proxies[c.random.IntN(len(r.proxies))]
		s, err := enter(p, []string{labpf.Session, labpf.Session, labpf.Latest}[c.random.IntN(3)])
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.seen = 0
		n := c.random.IntN(60)
		if c.random.IntN(3) == 0 {
			// The caller uses the session until that ends.
			n = math.MaxInt
		}
		for ; n >= 0 && ctx.Err() == nil && c.step(s); n-- {
			time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
		}
		_ = s.Close()
	}
}

func (c *caller) renew() {
	c.keys++
	c.key, c.number, c.seen = fmt.Sprintf("%sk%d", c.name, c.keys), 0, 0
}

// ask runs a statement under a name of its own, and counts the answer.
func (c *caller) ask(s *session, text string) (row, code string) {
	c.asked++
	id := fmt.Sprintf("%sq%d", c.name, c.asked)
	var executed prepared
	if rest, executes := strings.CutPrefix(text, "EXECUTE "); executes {
		name, _, _ := strings.Cut(rest, " ")
		executed = s.prepared[name]
	}
	st := newStatement(text, executed.access, executed.shape, s.values)
	st.inside = s.inside
	c.sent.note(id, st)
	row, code = s.ask(id, text)
	told := code
	if told == "" {
		told = "OK"
	}
	c.answered(told)
	return row, code
}

// step does one piece of work, and tells whether the session goes on.
func (c *caller) step(s *session) bool {
	switch c.random.IntN(9) {
	case 0, 1:
		return c.write(s)
	case 2, 3:
		return c.readOwn(s)
	case 4:
		return c.readOther(s)
	case 5:
		return c.readNothing(s)
	case 6, 7:
		return c.setUp(s)
	default:
		return c.transact(s)
	}
}

func (c *caller) write(s *session) bool {
	c.number++
	_, code := c.ask(s, c.either(s, "WRITE", c.key+" "+value(c.key, c.number)))
	f := fateOf(code)
	c.ledger.note(c.key, c.number, f)
	switch f {
	case kept:
		c.seen = c.number
	case unknown:
		c.renew()
	case refused:
	}
	return code != lost
}

func (c *caller) readOwn(s *session) bool {
	row, code := c.ask(s, c.either(s, "READ", c.key))
	if code == "" {
		c.check("a session reads its own writes", s, c.key, row, c.seen)
	}
	return code != lost
}

// readOther reads what any caller wrote. On the route of reads that must see everything,
// it shows what was acknowledged before.
func (c *caller) readOther(s *session) bool {
	key, least, found := c.ledger.some(c.random.IntN(1 << 16))
	if !found {
		return true
	}
	if s.route != labpf.Latest {
		least = 0
	}
	row, code := c.ask(s, c.either(s, "READ", key))
	if code == "" {
		c.check("a read sees what was acknowledged", s, key, row, least)
	}
	return code != lost
}

func (c *caller) check(promise string, s *session, key, row string, least int) {
	number, own := numberOf(key, row)
	if !own {
		c.broken("an answer is that of its own request", "%s at %s: read of %s got %q", c.name, s.proxy, key, row)
		return
	}
	if number < least {
		c.broken(promise, "%s at %s on route %s, request %sq%d: read of %s got number %d, want at least %d", c.name, s.proxy, s.route, c.name, c.asked, key, number, least)
	}
}

// transact writes two values in a transaction, at times with a rest, and commits it or not. A
// session whose transaction did not end does not go on: a write there would be no write of its own.
func (c *caller) transact(s *session) bool {
	c.asked++
	a, b := fmt.Sprintf("%sa%d", c.name, c.asked), fmt.Sprintf("%sb%d", c.name, c.asked)
	told := refused
	defer func() { c.ledger.pair(a, b, told) }()
	for _, item := range []string{"", a, b} {
		text := "BEGIN"
		if item != "" {
			if c.random.IntN(4) == 0 {
				if goesOn := c.setUp(s); !goesOn || !s.inside {
					return goesOn
				}
			}
			text = c.either(s, "WRITE", item+" "+item)
		}
		if _, code := c.ask(s, text); code != "" {
			if code != lost {
				_, code = c.ask(s, "ROLLBACK")
			}
			return code != lost && !s.inside
		}
		if c.random.IntN(8) == 0 {
			time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
		}
	}
	switch c.random.IntN(4) {
	case 0:
		_, code := c.ask(s, "ROLLBACK")
		return code != lost && !s.inside
	case 1:
		// The caller leaves in the middle of the transaction.
		return false
	default:
		_, code := c.ask(s, "COMMIT")
		told = fateOf(code)
		return code != lost && !s.inside
	}
}

// phrases are texts that a part of the way may take for something else than a text.
var phrases = []string{
	"q2f", "q2f READ memmg", "q2f  WRITE  q2f", "q2f ", " q2f", " ", "-", "0.0", "\tq2f", "q2f\r", "q2f\rREAD q2f", "\x00q2f", "\xffq2f", "q2f\u2028",
	"READ", "WRITE q2f q2f", "AFTER 1.1 READ q2f", "EXECUTE s1 q2f", "QUERY c1q1 READ q2f", "RESET", `"q2f`, "'; q2f --", `\q2f`, "%s%d", "{}",
}

// phrase returns one of the phrases, or at times a long text.
func (c *caller) phrase() string {
	const longest = 7 << 10
	if c.random.IntN(48) == 0 {
		return strings.Repeat("q2f READ ", 1+c.random.IntN(longest))
	}
	return phrases[c.random.IntN(len(phrases))]
}

// either returns the text of a statement, or that of an execution of a prepared statement of the
// same access, if the session has one.
func (c *caller) either(s *session, access, arguments string) string {
	name := c.preparedName()
	if s.prepared[name].access == access {
		return "EXECUTE " + name + " " + arguments
	}
	return access + " " + arguments
}

// preparedName returns a name that other callers use too.
func (c *caller) preparedName() string { return fmt.Sprint("s", c.random.IntN(4)) }

// setUp sets a value of the session, or prepares a statement, and tells whether the session goes on.
func (c *caller) setUp(s *session) bool {
	name, text := c.preparedName(), c.phrase()
	if c.random.IntN(2) == 0 {
		_, code := c.ask(s, "SET "+name+" "+text)
		if code == "" {
			s.values[name] = text
		}
		return code != lost
	}
	p := prepared{access: []string{"READ", "WRITE"}[c.random.IntN(2)], shape: text}
	_, code := c.ask(s, "PREPARE "+name+" "+p.access+" "+p.shape)
	if code == "" {
		s.prepared[name] = p
	}
	return code != lost
}

// readNothing reads what nobody writes.
func (c *caller) readNothing(s *session) bool {
	item := "nothing " + c.phrase()
	row, code := c.ask(s, c.either(s, "READ", item))
	if code == "" && row != missing {
		c.broken("an answer is that of its own request", "%s at %s: read of %s got %s, want no value", c.name, s.proxy, digestOf(item), digestOf(row))
	}
	return code != lost
}
