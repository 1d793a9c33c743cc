package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

const validSettings = `{
	"Host": "h", "DataCentre": "d", "Region": "r",
	"CallerAddress": "127.0.0.1:1", "PeerAddress": "127.0.0.1:2", "OperatorAddress": "[::1]:3", "StoreAddress": "127.0.0.1:4",
	"PeerSecret": "0123456789abcdef", "OperatorSecret": "0123456789abcdef"
}`

func TestDefaultsForMissingKeys(t *testing.T) {
	g := NewWithT(t)
	s, err := config.Parse([]byte(validSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Host).To(Equal("h"))
	g.Expect(s.Timing).To(Equal(config.Default().Timing))
}

func TestSettingsForLinesProtocol(t *testing.T) {
	g := NewWithT(t)
	keys := `"Protocol": "Lines", "PromoteAddress": "127.0.0.1:5", "Regions": {"d": "r"}, "Timing": {"GraceMs": "6s", "LingerMs": 2200, "WatchMs": "4000ms"}, "Host": "h"`
	s, err := config.Parse([]byte(strings.Replace(validSettings, `"Host": "h"`, keys, 1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Timing.WatchMs).To(BeEquivalentTo(4000))
	g.Expect([]config.Millis{s.Timing.DrainMs, s.Timing.OpenMs, s.Timing.LingerMs}).To(Equal([]config.Millis{5400, 3000, 2200}))
	encoded, err := json.Marshal(s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(encoded)).To(ContainSubstring(`"Protocol":"Lines"`))
	_, err = config.Parse([]byte(strings.Replace(validSettings, `"Host": "h"`, `"Host": "h", "Protocol": "Lines"`, 1)))
	g.Expect(err).To(MatchError(And(ContainSubstring("PromoteAddress"), ContainSubstring("Regions"))))
	_, err = config.Parse([]byte(strings.Replace(validSettings, `"Host": "h"`, `"Host": "h", "Protocol": "Letters", "Timing": {"PollMs": "soon"}`, 1)))
	g.Expect(err).To(MatchError(ContainSubstring("Timing.PollMs")))
}

func TestAllFaultsAreReportedByPath(t *testing.T) {
	g := NewWithT(t)
	_, err := config.Parse([]byte(strings.Replace(validSettings, `"Host": "h"`, `"Hots": "h", "Timing": {"PollMs": "soon", "Hurry": 1}, "Limits": {"Queue": null}`, 1)))
	g.Expect(err).To(MatchError(strings.Join([]string{
		`Hots: got an unknown key, want a key of the settings`,
		`Limits.Queue: got null, want a whole number`,
		`Timing.Hurry: got an unknown key, want a key of the settings`,
		`Timing.PollMs: got "soon", want a whole number`,
	}, "\n")))
	_, err = config.Parse([]byte(strings.NewReplacer(`"h"`, `""`, "127.0.0.1:1", "localhost:1", "0123456789abcdef", "short",
		`"Region": "r"`, `"Region": "r", "Limits": {"Queue": 0}, "Timing": {"SuspectMs": 300}`).Replace(validSettings)))
	g.Expect(err).To(MatchError(strings.Join([]string{
		`Host: got nothing, want a name`,
		`CallerAddress: got "localhost:1", want an IP number and a port`,
		`PeerSecret: got 5 characters, want at least 16 characters`,
		`OperatorSecret: got 5 characters, want at least 16 characters`,
		`Limits.Queue: got 0, want a number above 0`,
		`Timing.SuspectMs: got 300, want at least twice Timing.PollMs`,
	}, "\n")))
	_, err = config.Parse([]byte("{"))
	g.Expect(err).To(MatchError(ContainSubstring("settings: got")))
}

// TestExamples checks that the settings, sheets and documents in the examples folder are valid.
func TestExamples(t *testing.T) {
	root := filepath.Join("..", "..", "examples")
	for _, user := range []string{"perecpont", "magnolia"} {
		files, err := filepath.Glob(filepath.Join(root, user, "*.json"))
		if err != nil || len(files) < 3 {
			t.Fatal("the examples are missing", err)
		}
		for _, file := range files {
			t.Run(filepath.Join(user, filepath.Base(file)), func(t *testing.T) { checkExample(t, file) })
		}
		t.Run(user+"/sheet", func(t *testing.T) { checkSheet(t, filepath.Join(root, user)) })
	}
}

func checkExample(t *testing.T, file string) {
	g := NewWithT(t)
	raw, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	switch filepath.Base(file) {
	case "databases.json":
		_, err = book.ParseDoc(book.Databases, raw)
	case "hosts.json":
		_, err = book.ParseDoc(book.Hosts, raw)
	default:
		_, err = config.Parse(raw)
	}
	g.Expect(err).NotTo(HaveOccurred())
}

// checkSheet checks that a user's sheet names exactly the databases of the user's
// databases document.
func checkSheet(t *testing.T, dir string) {
	g := NewWithT(t)
	file, err := os.Open(filepath.Join(dir, "sheet.csv"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	s, err := sheet.Parse(file)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := os.ReadFile(filepath.Join(dir, "databases.json"))
	g.Expect(err).NotTo(HaveOccurred())
	var doc book.DatabasesDoc
	g.Expect(json.Unmarshal(raw, &doc)).To(Succeed())
	var names []string
	for _, d := range doc.Databases {
		names = append(names, d.Name)
	}
	g.Expect(s.Databases()).To(ConsistOf(names))
}

// TestFaultsContainNoSecret guards against a secret of the wrong type that is printed at the start
// and logged when the settings are read again.
func TestFaultsContainNoSecret(t *testing.T) {
	g := NewWithT(t)
	for _, key := range []string{"PeerSecret", "OperatorSecret", "MemberPassword"} {
		for _, value := range []string{"271828182845904523", `["271828182845904523"]`, `{"a": "271828182845904523"}`, "null"} {
			settings := strings.Replace(validSettings, `"`+key+`": "0123456789abcdef"`, `"Host": "h"`, 1)
			settings = strings.Replace(settings, `"Host": "h"`, `"Host": "h", "`+key+`": `+value, 1)
			_, err := config.Parse([]byte(settings))
			g.Expect(err).To(MatchError(And(ContainSubstring(key+": got another value, want a string"), Not(ContainSubstring("2718")))))
		}
	}
}

// TestOperatorSecretCanBeSent guards against a secret that an HTTP header cannot carry, so that a
// proxy starts but accepts no command of an operator.
func TestOperatorSecretCanBeSent(t *testing.T) {
	for _, bad := range []string{`0123456789abcdef\n`, `0123456789abcdef `, ` 0123456789abcdef`, `0123456789\u0000abcdef`, `0123456789abcdef\u007f`, "0123456789abcdef\\t"} {
		g := NewWithT(t)
		_, err := config.Parse([]byte(strings.Replace(validSettings, `"OperatorSecret": "0123456789abcdef"`, `"OperatorSecret": "`+bad+`"`, 1)))
		g.Expect(err).To(MatchError("OperatorSecret: got blanks at an end or control characters, want none"), bad)
	}
	for _, good := range []string{`0123456789 abcdef`, `Füße und Hände, "0123"`} {
		g := NewWithT(t)
		raw, err := json.Marshal(good)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = config.Parse([]byte(strings.Replace(validSettings, `"OperatorSecret": "0123456789abcdef"`, `"OperatorSecret": `+string(raw), 1)))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestHostNameThatCannotBeUsedIsRefused guards against a host that starts under a name that members
// or the store read as something else, for example as two words.
func TestHostNameThatCannotBeUsedIsRefused(t *testing.T) {
	for _, bad := range []string{"a b", "a/b", "..", "a'); SELECT 1; --", "a,b", "a:1", "a\r\nX: y", strings.Repeat("a", 1000)} {
		g := NewWithT(t)
		raw, err := json.Marshal(bad)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = config.Parse([]byte(strings.Replace(validSettings, `"Host": "h"`, `"Host": `+string(raw), 1)))
		g.Expect(err).To(MatchError(And(HavePrefix("Host: got "), ContainSubstring("begins with a letter or a digit"))), bad)
	}
}
