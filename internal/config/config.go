// Package config holds the settings of one proxy.
//
// A settings file is one JSON object with Pascal-case keys. Durations are whole
// milliseconds and their keys end in Ms. The file is checked as a whole: every
// unknown key and every invalid value is reported with its path.
package config

import (
	"encoding/json"
	"time"
)

// Millis is a duration in whole milliseconds, as it is written in settings.
type Millis int

// UnmarshalJSON implements json.Unmarshaler. Besides a whole number it accepts a string
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

// Place is the location of a host.
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
	// Protocol is the protocol of callers and members: PostgreSQL or Lines.
	Protocol string
	// CallerAddress is the IP and port on which callers connect.
	CallerAddress string
	// PeerAddress is the IP and port on which other proxies connect.
	PeerAddress string
	// OperatorAddress is the IP and port that serve health, metrics and operators'
	// commands.
	OperatorAddress string
	// Seeds are the peer addresses of other proxies, from which the documents are
	// requested while neither the store nor a list of hosts is available.
	Seeds []string
	// StoreAddress is the IP and port of the platform's store.
	StoreAddress string
	// PromoteAddress is the IP and port at which the platform accepts promotion
	// commands, for members that do not accept them themselves.
	PromoteAddress string
	// Regions maps each data centre to its region, for membership lists that do not
	// contain regions.
	Regions map[string]string `json:",omitempty"`
	// ProcessorShare is the share of a core that the host may use, and ProcessorSpeed is
	// the speed of its cores relative to other hosts; 0 means unknown.
	ProcessorShare float64 `json:",omitempty"`
	ProcessorSpeed float64 `json:",omitempty"`
	// PromotionDeposes is set if the platform makes the former primary stop leading when it
	// promotes another member.
	PromotionDeposes bool `json:",omitempty"`
	// PeerSecret authenticates proxies to one another.
	PeerSecret string `config:"secret"`
	// OperatorSecret authenticates operators' commands.
	OperatorSecret string `config:"secret"`
	// MemberUser and MemberPassword are the proxy's credentials at members.
	MemberUser     string
	MemberPassword string `config:"secret"`
	// Customers sets the bounds within which keys and usage caps take effect.
	Customers Customers
	// Limits bound the proxy's use of connections, requests and memory.
	Limits Limits
	// Timing sets the proxy's periods and timeouts.
	Timing Timing
	// TraceElections enables a log line for each step of each election state machine.
	TraceElections bool
}

// The protocols that callers and members speak.
const (
	PostgreSQL = "PostgreSQL"
	Lines      = "Lines"
)

// Limits bound the use of connections, requests and memory by one proxy.
type Limits struct {
	// CallerConnections is the maximum number of connected callers.
	CallerConnections int
	// InFlight is the maximum number of requests in flight, not counting those of
	// open transactions.
	InFlight int
	// MemberConnections is the maximum number of pooled connections to each member,
	// for reads and writes together.
	MemberConnections int
	// Queue is the maximum number of requests that wait for each member.
	Queue int
	// HeldAnswerBytes is the maximum size of the part of an answer that is buffered
	// until the write is confirmed.
	HeldAnswerBytes int
	// RequestBytes is the maximum size of one request of a caller.
	RequestBytes int
	// MemoryMB is the memory that the process may use, in MB, and Descriptors the number of
	// file descriptors. 0 means that the machine does not limit them.
	MemoryMB    int
	Descriptors int
}

// Customers sets the bounds within which keys and usage caps take effect.
type Customers struct {
	// StrictRevocation is set if a proxy must refuse keys that it cannot prove to be valid.
	StrictRevocation bool
	// RevokeMs is the time after which a removed key must not be accepted by any host.
	RevokeMs Millis
	// CapWindowMs is the length of the windows in which usage is counted. CapOverage is the
	// share by which the operations in a window may exceed the cap, and CapSlack the number
	// by which they may exceed it besides.
	CapWindowMs Millis
	CapOverage  float64
	CapSlack    float64
}

// Timing sets the periods and timeouts of one proxy.
type Timing struct {
	// PollMs is the period between status queries to each member.
	PollMs Millis
	// AskTimeoutMs is the time-out of a status query to a member.
	AskTimeoutMs Millis
	// SuspectMs is how long a primary must be unresponsive before it is suspected.
	SuspectMs Millis
	// ConfirmMs is how long a write waits for its confirmation.
	ConfirmMs Millis
	// BeatMs is the period between heartbeats to each peer.
	BeatMs Millis
	// WatchMs is the longest time for which the store keeps a watch request open.
	WatchMs Millis
	// ApplyMs is the time within which a new sheet must be in force on every host.
	ApplyMs Millis
	// DrainMs is how long a draining proxy waits for open transactions.
	DrainMs Millis
	// GraceMs is the time between SIGTERM and the kill of the process, or 0 if it is
	// not killed. If it is set, the periods of a drain are derived from it.
	GraceMs Millis
	// LingerMs is how long a draining proxy still accepts callers, so that the load
	// balancer can detect the drain.
	LingerMs Millis
	// OpenMs is how long open transactions may continue in a draining proxy.
	OpenMs Millis
	// IdleCheckMs is how long a connection may be idle before it is checked.
	IdleCheckMs Millis
}

// WithGrace returns the timing with drain periods that fit into GraceMs: open
// transactions may continue for half of it, and the last tenth is reserved for the
// shutdown itself.
func (t Timing) WithGrace() Timing {
	if t.GraceMs == 0 {
		return t
	}
	t.DrainMs = t.GraceMs * 9 / 10
	t.OpenMs = t.GraceMs / 2
	t.LingerMs = min(t.LingerMs, t.GraceMs*4/10)
	return t
}

// StoreWait returns how long a watch of the store waits for a change. It leaves half of
// ApplyMs to notice that the connection of the watch went silent, to repeat the watch and to
// pass the sheet on to the hosts that do not watch the store.
func (t Timing) StoreWait() time.Duration { return min(t.WatchMs, t.ApplyMs/2).Duration() }

// Default returns the settings that apply to keys missing from a file.
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
		Customers: Customers{RevokeMs: 5_000, CapWindowMs: 5_000, CapOverage: 0.1, CapSlack: 20},
		Timing: Timing{
			PollMs:       250,
			AskTimeoutMs: 500,
			SuspectMs:    1_000,
			ConfirmMs:    5_000,
			BeatMs:       1000,
			WatchMs:      20_000,
			ApplyMs:      4_000,
			DrainMs:      20_000,
			GraceMs:      0,
			LingerMs:     1,
			OpenMs:       20_000,
			IdleCheckMs:  5_000,
		},
	}
}
