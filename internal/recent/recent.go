// Package recent decides whether a host's list of keys is recent enough to accept a key, and
// what the host does to keep it so.
//
// A proof states that the sheet in force was the store's newest at a time E. A key that the
// sheet contains was not removed before E, so it may be accepted until E plus the time within
// which removed keys must be refused. When another sheet comes into force, the proof still
// counts if that sheet adds no key, since each of its keys was in the proven sheet; otherwise a
// new one is needed. Serials alone do not order sheets: after the store was restored from an
// older copy, a host may receive a sheet from before whose keys were removed since. E is never later than the truth: for an answer of the
// store it is when the request was sent, and for the answer of a peer when the query was sent,
// less the age of the peer's own proof. All times are readings of one clock of the host that
// starts with it and also counts the time for which the host is suspended.
//
// A State is immutable and holds no clock: each step takes the time.
package recent

import (
	"slices"
	"time"
)

// Version identifies a sheet and its keys.
type Version struct {
	Serial uint64
	// Keys is the fingerprint of the sheet's customers and their keys. It tells apart sheets
	// to which operators gave the same serial, before and after the store was restored from
	// an older copy.
	Keys uint64
}

// Proof states that the store's newest sheet had a version at a time.
type Proof struct {
	Version
	// At is when the request that led to the proof was sent, or an earlier time.
	At time.Duration
	// Source is the host that gave the proof, or one of the sources below.
	Source string
}

// The sources of proofs that come from the store itself.
const (
	SourceRead  = "store"
	SourceWatch = "store (watch)"
)

// State is what a host knows about the recency of its list of keys. It is immutable.
type State struct {
	rules Rules
	plan  plan

	sheet Version
	// active is set while the sheet has customers.
	active bool
	// proof is the latest one that counts. Its version is not that of the sheet in force if
	// that one has replaced it and added no key. Without a proof, neededSince is when the need
	// for one arose.
	proof       Proof
	proven      bool
	neededSince time.Duration
	// pending is a proof of a sheet that is not in force yet, or zero.
	pending Proof

	queries []query
	nextID  uint64
	// round is the number of rounds of queries since the proof was young, and queriedAt when
	// the last one was sent, if any was.
	round       int
	queriedAt   time.Duration
	everQueried bool
	// preferred is the index of the parent that is queried first.
	preferred int

	// reading is set while a read is in progress, and readAt is when the last one was sent, if
	// any was. failures counts those that failed since the last success.
	reading  bool
	readAt   time.Duration
	everRead bool
	failures int
	seed     uint64
}

// query is a query that was sent to a peer and not answered yet.
type query struct {
	id     uint64
	host   string
	sentAt time.Duration
}

// maxQueries is the number of unanswered queries that are remembered. Older ones could prove
// nothing recent any more.
const maxQueries = 64

// New returns the state of a host that has no sheet and no proof. The seed should differ
// between hosts and between starts of a host: it spreads the reads and numbers the queries.
func New(rules Rules, seed uint64) State {
	return State{rules: rules, seed: seed, nextID: seed}
}

// WithSheet returns the state after a sheet came into force. customers reports whether it has
// any, and subset whether each of its keys belonged to the same customer in the sheet before.
func (s State) WithSheet(now time.Duration, v Version, customers, subset bool) State {
	if !subset || !s.active {
		// The next plan queries the peers, and on a reader reads the store, at once.
		s.proof, s.proven, s.neededSince = Proof{}, false, now
		s.round, s.everQueried, s.everRead = 0, false, false
	}
	s.sheet, s.active = v, customers
	if pending := s.pending; pending.Serial <= v.Serial {
		s.pending = Proof{}
		s = s.WithProof(now, pending)
	}
	return s
}

// WithProof returns the state after a proof was obtained. It counts if it is of the sheet in
// force. One of a newer sheet counts once that sheet is in force. One of an older sheet proves
// nothing: the store may have been restored from an older copy.
func (s State) WithProof(now time.Duration, p Proof) State {
	switch {
	case p.At > now || p.Serial == 0:
	case p.Version == s.sheet:
		if !s.proven || p.At > s.proof.At {
			s.proof, s.proven = p, true
		}
		if s.proofAge(now) < s.queryAge() {
			s.round = 0
		}
	case p.Serial > s.sheet.Serial && p.At >= s.pending.At:
		s.pending = p
	}
	return s
}

// WithRead returns the state after the read that Plan demanded at the time sentAt was answered
// with a version.
func (s State) WithRead(now, sentAt time.Duration, v Version) State {
	s.reading, s.failures = false, 0
	return s.WithProof(now, Proof{Version: v, At: sentAt, Source: SourceRead})
}

// WithFailedRead returns the state after the read that Plan demanded failed.
func (s State) WithFailedRead() State {
	s.reading = false
	s.failures++
	return s
}

// WithAnswer returns the state after a peer answered a query: the age before it sent the
// answer, its sheet was proven to be the store's newest. An answer to no query of this process
// is ignored.
func (s State) WithAnswer(now time.Duration, host string, id uint64, v Version, age time.Duration) State {
	i := slices.IndexFunc(s.queries, func(q query) bool { return q.id == id && q.host == host })
	if i < 0 || age < 0 {
		return s
	}
	sentAt := s.queries[i].sentAt
	s.queries = slices.Delete(slices.Clone(s.queries), i, i+1)
	p := Proof{Version: v, At: sentAt - age, Source: host}
	s = s.WithProof(now, p)
	if i := slices.Index(s.plan.parents, host); i >= 0 && s.proof == p {
		s.preferred = i
	}
	return s
}

// Recent reports whether a key of the sheet in force can be accepted.
func (s State) Recent(now time.Duration) bool {
	return s.proven && now-s.proof.At <= s.rules.Limit
}

// Sheet returns the version of the sheet in force.
func (s State) Sheet() Version { return s.sheet }

// Expired reports whether keys are refused because there was no proof for too long.
func (s State) Expired(now time.Duration) bool {
	return s.active && !s.Recent(now) && (s.proven || now-s.neededSince > s.rules.Limit)
}

// Proof returns the proof that counts, and whether there is one.
func (s State) Proof() (Proof, bool) { return s.proof, s.proven }

// Active reports whether the sheet in force has customers, so that proofs are needed.
func (s State) Active() bool { return s.active }

// Reader reports whether this host is one of those that read the store for their region.
func (s State) Reader() bool { return s.plan.reader }

// Answer returns what a peer that queries this host is told: the version of the sheet in force
// and the age of its proof. It returns false if the proof is of no use.
func (s State) Answer(now time.Duration) (Version, time.Duration, bool) {
	if !s.active || !s.Recent(now) {
		return Version{}, 0, false
	}
	return s.sheet, now - s.proof.At, true
}

// Expiry returns when the proof becomes too old, and whether there is one.
func (s State) Expiry() (time.Duration, bool) { return s.proof.At + s.rules.Limit, s.proven }

// proofAge returns the age of the proof that determines what to do next. Before there is one,
// the host queries its peers at once and has the usual time until it reads the store.
func (s State) proofAge(now time.Duration) time.Duration {
	if !s.proven {
		return now - s.neededSince + s.queryAge()
	}
	return now - s.proof.At
}
