// Package config holds the settings of one proxy.
//
// Settings are one JSON object with Pascal-case keys. Durations are whole
// milliseconds and their keys end in Ms. A file is checked as a whole: every
// unknown key and every bad value is reported by its path.
package config

import (
	"encoding/json"
	"time"
)

// Millis is a duration in whole milliseconds, as settings write it.
type Millis int

// UnmarshalJSON implements json.Unmarshaler. Besides a whole number it takes a text
// with a unit, such as "1.5s".
func (m *Millis) UnmarshalJSON(raw []byte) error {
	var number int
	if json.Unmarshal(raw, &number) == nil {
		*m = Millis(number)
		return nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	*m = Millis(d.Milliseconds())
	return err
}

// Duration returns the value as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Place is where a host stands.
type Place struct {
	// Host is the name of the host in the platform's host list.
	Host string
	// DataCentre is the name of the host's data centre.
	DataCentre string
	// Region is the name of the host's region.
	Region string
}

// Settings are the settings of one proxy.
type Settings struct {
	Place
	// Protocol is what callers and members speak: PostgreSQL or Lines.
	Protocol string
	// CallerAddress is the IP and port on which callers connect.
	CallerAddress string
	// PeerAddress is the IP and port on which other proxies connect.
	PeerAddress string
	// OperatorAddress is the IP and port of health, metrics and orders.
	OperatorAddress string
	// Seeds are the peer addresses of other proxies, which are asked for the
	// documents while neither the store nor a list of hosts can be read.
	Seeds []string
	// StoreAddress is the IP and port of the platform's store.
	StoreAddress string
	// PromoteAddress is the IP and port at which the platform takes orders for
	// promotions, where members do not take them themselves.
	PromoteAddress string
	// Regions gives the region of each data centre, where the lists of members do not.
	Regions map[string]string `json:",omitempty"`
	// ProcessorShare is the share of a core that the host may use, and ProcessorSpeed how
	// many times as fast as others its cores are; 0 if the host does not tell.
	ProcessorShare float64 `json:",omitempty"`
	ProcessorSpeed float64 `json:",omitempty"`
	// PeerSecret authenticates proxies to one another.
	PeerSecret string
	// OperatorSecret authenticates operators' orders.
	OperatorSecret string
	// MemberUser and MemberPassword log the proxy in at members.
	MemberUser     string
	MemberPassword string
	// Limits bound what the proxy holds.
	Limits Limits
	// Timing sets the proxy's periods and timeouts.
	Timing Timing
	// TraceElections tells that each step of each election machine is logged.
	TraceElections bool
}

// The protocols that callers and members speak.
const (
	PostgreSQL = "PostgreSQL"
	Lines      = "Lines"
)

// Limits bound what one proxy holds.
type Limits struct {
	// CallerConnections is how many callers may be connected.
	CallerConnections int
	// InFlight is how many requests may be under way, besides those of open
	// transactions.
	InFlight int
	// MemberConnections is how many pooled connections to each member the
	// proxy opens, for reads and for writes together.
	MemberConnections int
	// Queue is how many requests may wait for each member.
	Queue int
	// HeldAnswerBytes bounds the part of an answer that is held back until the
	// write is confirmed.
	HeldAnswerBytes int
	// RequestBytes bounds one request of a caller.
	RequestBytes int
}

// Timing sets the periods and timeouts of one proxy.
type Timing struct {
	// PollMs is the period between questions to each member.
	PollMs Millis
	// AskTimeoutMs ends a question to a member.
	AskTimeoutMs Millis
	// SuspectMs is how long a primary must be silent before it is suspected.
	SuspectMs Millis
	// ConfirmMs is how long a write waits for its confirmation.
	ConfirmMs Millis
	// BeatMs is the period between heartbeats to each peer.
	BeatMs Millis
	// WatchMs is how long the store holds a watch.
	WatchMs Millis
	// DrainMs is how long a leaving proxy waits for open transactions.
	DrainMs Millis
	// GraceMs is how long after SIGTERM the process is killed, or 0 if it is not. The
	// times of a drain then follow from it.
	GraceMs Millis
	// LingerMs is how long a leaving proxy still serves, so that the balancer can
	// learn of it.
	LingerMs Millis
	// OpenMs is how long open transactions may go on in a leaving proxy.
	OpenMs Millis
	// IdleCheckMs is how long a connection may idle before it is checked.
	IdleCheckMs Millis
}

// WithGrace returns the timing with the times of a drain that fit into GraceMs: open
// transactions may go on for half of it, and the last tenth is left for the end.
func (t Timing) WithGrace() Timing {
	if t.GraceMs == 0 {
		return t
	}
	t.DrainMs = t.GraceMs * 9 / 10
	t.OpenMs = t.GraceMs / 2
	t.LingerMs = min(t.LingerMs, t.GraceMs*4/10)
	return t
}

// Default returns the settings that a file need not give.
func Default() Settings {
	return Settings{
		Protocol:   PostgreSQL,
		MemberUser: "poplarrouter",
		Limits: Limits{
			CallerConnections: 10_000,
			InFlight:          2_000,
			MemberConnections: 4,
			Queue:             1_000,
			HeldAnswerBytes:   1 << 20,
			RequestBytes:      1 << 20,
		},
		Timing: Timing{
			PollMs:       250,
			AskTimeoutMs: 500,
			SuspectMs:    1_000,
			ConfirmMs:    5_000,
			BeatMs:       1000,
			WatchMs:      20_000,
			DrainMs:      20_000,
			GraceMs:      0,
			LingerMs:     1,
			OpenMs:       20_000,
			IdleCheckMs:  5_000,
		},
	}
}
