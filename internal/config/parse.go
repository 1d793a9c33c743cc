package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"poplarrouter.example/poplarrouter/internal/name"
)

// Fault reports one invalid value or unknown key.
type Fault struct {
	// Path is the path of the key from the top-level object, joined by dots.
	Path string
	Got  string
	Want string
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("%s: got %s, want %s", f.Path, f.Got, f.Want) }

// Faults lists all errors in a settings file.
type Faults []*Fault

// Error implements error, with one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse decodes settings on top of the defaults. If any key or value is invalid, it
// returns empty settings and the error is of type Faults.
func Parse(raw []byte) (Settings, error) {
	s := Default()
	var faults Faults
	decodeObject(raw, reflect.ValueOf(&s).Elem(), "", &faults)
	if len(faults) == 0 {
		faults = s.check()
	}
	if len(faults) > 0 {
		return Settings{}, faults
	}
	s.Timing = s.Timing.WithGrace()
	return s, nil
}

// decodeObject decodes a JSON object into a struct, key by key, so that every fault
// is reported with its path.
func decodeObject(raw []byte, into reflect.Value, path string, faults *Faults) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		*faults = append(*faults, &Fault{Path: displayPath(path), Got: err.Error(), Want: "a JSON object"})
		return
	}
	for _, key := range sortedKeys(object) {
		decodeKey(object[key], into, path, key, faults)
	}
}

func decodeKey(raw json.RawMessage, into reflect.Value, path, key string, faults *Faults) {
	keyPath := strings.TrimPrefix(path+"."+key, ".")
	field, found := into.Type().FieldByName(key)
	if !found || field.Anonymous {
		*faults = append(*faults, &Fault{Path: keyPath, Got: "an unknown key", Want: "a key of the settings"})
		return
	}
	target := into.FieldByName(key)
	if target.Kind() == reflect.Struct {
		decodeObject(raw, target, keyPath, faults)
		return
	}
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, target.Addr().Interface()) != nil {
		got := string(raw)
		if field.Tag.Get(tagConfig) == tagSecret {
			got = "another value"
		}
		*faults = append(*faults, &Fault{Path: keyPath, Got: got, Want: typeName(target.Kind())})
	}
}

// A field with this tag is a secret. No fault contains its value.
const (
	tagConfig = "config"
	tagSecret = "secret"
)

// typeName describes the JSON value that is expected for a Go kind.
func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Map:
		return "an object of strings"
	case reflect.Slice:
		return "a list of strings"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// displayPath returns path, or "settings" for the top-level object.
func displayPath(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

func sortedKeys(object map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

const minSecretLength = 16 // in bytes

func (s Settings) check() Faults {
	c := checker{}
	c.host(s.Host)
	c.name("DataCentre", s.DataCentre)
	c.name("Region", s.Region)
	c.address("CallerAddress", s.CallerAddress)
	c.address("PeerAddress", s.PeerAddress)
	c.address("OperatorAddress", s.OperatorAddress)
	c.address("StoreAddress", s.StoreAddress)
	c.protocol(s)
	c.secret("PeerSecret", s.PeerSecret)
	c.secret("OperatorSecret", s.OperatorSecret)
	c.header("OperatorSecret", s.OperatorSecret)
	c.share("ProcessorShare", s.ProcessorShare)
	c.share("ProcessorSpeed", s.ProcessorSpeed)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("Seeds.%d", i), seed)
	}
	c.name("MemberUser", s.MemberUser)
	c.share("Customers.CapOverage", s.Customers.CapOverage)
	c.share("Customers.CapSlack", s.Customers.CapSlack)
	c.positive("Customers.RevokeMs", int64(s.Customers.RevokeMs))
	c.positive("Customers.CapWindowMs", int64(s.Customers.CapWindowMs))
	c.numbers("Limits", reflect.ValueOf(s.Limits))
	c.numbers("Timing", reflect.ValueOf(s.Timing))
	c.pollBounds(s.Timing)
	return c.faults
}

// checker collects the faults of decoded settings.
type checker struct{ faults Faults }

func (c *checker) fail(path, got, want string) {
	c.faults = append(c.faults, &Fault{Path: path, Got: got, Want: want})
}

func (c *checker) name(path, value string) {
	if strings.TrimSpace(value) == "" {
		c.fail(path, "nothing", "a name")
	}
}

// host checks the name of the host.
func (c *checker) host(value string) {
	c.name("Host", value)
	if strings.TrimSpace(value) != "" && !name.Valid(value) {
		c.fail("Host", strconv.Quote(value), name.Want)
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, fmt.Sprintf("%q", value), "an IP number and a port")
	}
}

// protocol checks the settings that the protocol of callers and members requires.
func (c *checker) protocol(s Settings) {
	switch s.Protocol {
	case PostgreSQL:
	case Lines:
		c.address("PromoteAddress", s.PromoteAddress)
		if peer, err := netip.ParseAddrPort(s.PeerAddress); err == nil && (!peer.Addr().Is4() || peer.Addr().IsUnspecified()) {
			// Promotions are told apart by the address of the proxy that orders them.
			c.fail("PeerAddress", strconv.Quote(s.PeerAddress), "an IPv4 address that no other proxy has")
		}
		if s.Regions[s.DataCentre] == "" {
			c.fail("Regions", "no region of "+strconv.Quote(s.DataCentre), "the region of each data centre")
		}
	default:
		c.fail("Protocol", strconv.Quote(s.Protocol), PostgreSQL+" or "+Lines)
	}
}

// secret checks the length of a secret. The fault does not contain the secret itself.
func (c *checker) secret(path, value string) {
	if len(value) < minSecretLength {
		c.fail(path, fmt.Sprintf("%d characters", len(value)), fmt.Sprintf("at least %d characters", minSecretLength))
	}
}

// header checks that an HTTP header can carry a secret. The fault does not contain the secret.
func (c *checker) header(path, value string) {
	if strings.TrimSpace(value) != value || strings.ContainsFunc(value, unicode.IsControl) {
		c.fail(path, "blanks at an end or control characters", "none")
	}
}

func (c *checker) share(path string, value float64) {
	if value < 0 {
		c.fail(path, fmt.Sprint(value), "a number of at least 0")
	}
}

// unlimited are the names of numbers that may be 0: GraceMs, which means that the process
// is not killed, and limits of the machine that may be unknown.
var unlimited = []string{"GraceMs", "MemoryMB", "Descriptors"}

// numbers checks that each field of a group is positive, or 0 if the field is one of
// unlimited.
func (c *checker) numbers(path string, group reflect.Value) {
	for i := range group.NumField() {
		name := group.Type().Field(i).Name
		if n := group.Field(i).Int(); n != 0 || !slices.Contains(unlimited, name) {
			c.positive(path+"."+name, n)
		}
	}
}

func (c *checker) positive(path string, n int64) {
	if n < 1 {
		c.fail(path, fmt.Sprint(n), "a number above 0")
	}
}

// pollBounds checks that a primary can miss one status query without being suspected.
func (c *checker) pollBounds(t Timing) {
	if t.SuspectMs < 2*t.PollMs {
		c.fail("Timing.SuspectMs", fmt.Sprint(t.SuspectMs), "at least twice Timing.PollMs")
	}
}
