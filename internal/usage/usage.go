// Package usage limits the operations of customers over all hosts together.
//
// Customers are hashed to a few partitions. Each partition has a coordinator, the first host
// in weighted rendezvous order that a host considers reachable. It keeps an account
// of the recent grants of each customer, and hosts request from it a token for each operation.
// Tokens expire soon, so that they cannot be saved up for a later window.
//
// The authority to grant tokens is divided without consensus. Each of N hosts owns 1/N of
// every cap and delegates it to one coordinator of a partition at a time, for a period that
// the coordinator measures with its own clock: from the ticket, its clock reading in an
// earlier answer, which the host returns. A host that changes its coordinator waits until the
// former delegation must have expired, and so does a process that has just started. What all
// coordinators may grant together is thus never more than a window permits, in any partition of
// the network.
//
// Host and Coordinator are the state machines of the two sides. They have no sockets,
// goroutines or clocks. Times are readings of one clock of their process, which also counts
// the time for which the machine is suspended and does not go back.
package usage

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of partitions. It must be the same on all hosts. Each partition
// costs a host a message and its answer every RenewInterval; with more partitions the loss of
// a coordinator affects fewer customers.
const Partitions = 4

const (
	// DelegationTime is how long a delegation is valid after its ticket was issued. It bridges
	// one lost renewal, and is about how long no tokens are granted after a coordinator fails.
	DelegationTime = time.Second
	// RenewInterval is the time between renewals of a delegation.
	RenewInterval = 400 * time.Millisecond
)

// Policy specifies by how much the operations in a window may exceed a cap.
type Policy struct {
	// Window is the length of the windows in which operations are counted.
	Window time.Duration
	// Overage is the share by which the operations in a window may exceed the cap, and Slack
	// the number of operations by which they may exceed it in addition.
	Overage float64
	Slack   float64
}

// minTokenLife leaves time for a round trip between regions where Overage is very small.
const minTokenLife = 100 * time.Millisecond

// TokenLife returns how long after its request a token may be used. Operations in a window
// can use the tokens that were granted up to TokenLife earlier, so it takes most of the
// overage; the remainder covers clocks that differ in speed and lists of hosts that differ.
func (p Policy) TokenLife() time.Duration {
	const part = 0.8
	return max(minTokenLife, time.Duration(part*p.Overage*float64(p.Window)))
}

// Ask requests tokens of a partition's coordinator and renews the delegation to it.
type Ask struct {
	// ID grows with each ask of a process, and Boot identifies the process.
	ID        uint64
	Boot      uint32
	Partition uint32
	// Ticket is that of the coordinator's last grant. An ask without a ticket leaves the
	// delegation as it is.
	Ticket int64
	// Hosts is the number of hosts that share the caps: 1/Hosts of each is delegated. Zero
	// withdraws the delegation.
	Hosts uint32
	// Tokens is the number of wanted tokens by customer, and Again the part of it that was
	// already requested by an earlier ask.
	Tokens map[string]uint32
	Again  map[string]uint32
}

// Grant answers an Ask.
type Grant struct {
	ID        uint64
	Partition uint32
	// Ticket is the coordinator's clock reading at the time of the answer, in milliseconds. It
	// is 0 if the ask had no effect because it was repeated or overtaken by a later one.
	Ticket int64
	// Tokens is the number of granted tokens by customer.
	Tokens map[string]uint32
	// Beyond lists the customers that ask for more than their cap, so that operations without
	// a token are refused. Operations of other customers wait for a later grant.
	Beyond []string
}

// PartitionOf returns the partition of a customer.
func PartitionOf(customer string) uint32 {
	return uint32(xxhash.Sum64String(customer) % Partitions)
}
