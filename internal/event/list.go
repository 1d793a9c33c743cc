package event

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is the number that identifies a kind of log line.
type Event int

// The events, grouped by their first digit: 1 process, 2 callers, 3 routing,
// 4 members, 5 failover, 6 sheets, 7 peers, 9 invariants.
const (
	Started            Event = 101
	Stopping           Event = 102
	Stopped            Event = 103
	StoreFailed        Event = 104
	HostRegistered     Event = 105
	SettingsReloaded   Event = 106
	CallerAccepted     Event = 201
	CallerDenied       Event = 202
	CallerClosed       Event = 203
	CancelSent         Event = 204
	TransactionExpired Event = 205
	CallerEvicted      Event = 207
	ReadRouted         Event = 301
	WriteRouted        Event = 302
	RequestRejected    Event = 303
	WriteConfirmed     Event = 304
	OutcomeUnknown     Event = 305
	MemberReached      Event = 401
	MemberLost         Event = 402
	ConnectionClosed   Event = 403
	MemberFollows      Event = 404
	PrimaryChanged     Event = 405
	RequestInterrupted Event = 406
	Suspected          Event = 501
	SuspicionEnded     Event = 502
	ClaimWon           Event = 503
	ClaimLost          Event = 504
	FenceAnswered      Event = 505
	Promoted           Event = 506
	PromotionFailed    Event = 507
	SlotLeaseTaken     Event = 508
	SlotLeaseEnded     Event = 509
	SlotLeaseEvicted   Event = 510
	ElectionStep       Event = 511
	SheetInForce       Event = 601
	SheetRefused       Event = 602
	DatabasesChanged   Event = 603
	EntryIgnored       Event = 604
	KeyProofExpired    Event = 611
	KeyProofRenewed    Event = 612
	PeerJoined         Event = 701
	PeerLeft           Event = 702
	PeerDenied         Event = 703
	NonOwnedServed     Event = 704
	RelayLost          Event = 705
	RelayChosen        Event = 307
	CapReached         Event = 801
	CapCoordinator     Event = 802
	InvariantBroken    Event = 901
)

// entry is the name and the log level of an event.
type entry struct {
	name  string
	level logrus.Level
}

var entries = map[Event]entry{
	Started:            {"started", logrus.InfoLevel},
	Stopping:           {"stopping", logrus.InfoLevel},
	Stopped:            {"stopped", logrus.InfoLevel},
	StoreFailed:        {"store-failed", logrus.WarnLevel},
	HostRegistered:     {"host-enrolled", logrus.InfoLevel},
	SettingsReloaded:   {"settings-reloaded", logrus.InfoLevel},
	CallerAccepted:     {"caller-accepted", logrus.InfoLevel},
	CallerDenied:       {"caller-denied", logrus.WarnLevel},
	CallerClosed:       {"caller-closed", logrus.InfoLevel},
	CancelSent:         {"cancel-sent", logrus.InfoLevel},
	TransactionExpired: {"transaction-expired", logrus.InfoLevel},
	CallerEvicted:      {"caller-evicted", logrus.WarnLevel},
	ReadRouted:         {"read-routed", logrus.InfoLevel},
	WriteRouted:        {"write-routed", logrus.InfoLevel},
	RequestRejected:    {"work-refused", logrus.WarnLevel},
	WriteConfirmed:     {"write-confirmed", logrus.InfoLevel},
	OutcomeUnknown:     {"outcome-unknown", logrus.ErrorLevel},
	MemberReached:      {"member-reached", logrus.InfoLevel},
	MemberLost:         {"member-lost", logrus.WarnLevel},
	ConnectionClosed:   {"connection-closed", logrus.InfoLevel},
	MemberFollows:      {"member-follows", logrus.InfoLevel},
	PrimaryChanged:     {"primary-changed", logrus.WarnLevel},
	RequestInterrupted: {"work-severed", logrus.WarnLevel},
	Suspected:          {"suspected", logrus.WarnLevel},
	SuspicionEnded:     {"suspicion-ended", logrus.InfoLevel},
	ClaimWon:           {"claim-won", logrus.WarnLevel},
	ClaimLost:          {"claim-lost", logrus.InfoLevel},
	FenceAnswered:      {"fence-answered", logrus.WarnLevel},
	Promoted:           {"promoted", logrus.WarnLevel},
	PromotionFailed:    {"promotion-failed", logrus.ErrorLevel},
	SlotLeaseTaken:     {"dispatch-begun", logrus.InfoLevel},
	SlotLeaseEnded:     {"dispatch-ended", logrus.WarnLevel},
	SlotLeaseEvicted:   {"dispatch-evicted", logrus.WarnLevel},
	ElectionStep:       {"election-step", logrus.InfoLevel},
	SheetInForce:       {"sheet-in-force", logrus.InfoLevel},
	SheetRefused:       {"sheet-refused", logrus.ErrorLevel},
	DatabasesChanged:   {"databases-changed", logrus.InfoLevel},
	EntryIgnored:       {"entry-ignored", logrus.WarnLevel},
	KeyProofExpired:    {"key-proof-expired", logrus.WarnLevel},
	KeyProofRenewed:    {"key-proof-renewed", logrus.InfoLevel},
	PeerJoined:         {"peer-joined", logrus.InfoLevel},
	PeerLeft:           {"peer-left", logrus.WarnLevel},
	PeerDenied:         {"peer-denied", logrus.WarnLevel},
	RelayChosen:        {"relay-chosen", logrus.InfoLevel},
	NonOwnedServed:     {"guest-served", logrus.InfoLevel},
	RelayLost:          {"relay-lost", logrus.WarnLevel},
	CapReached:         {"cap-reached", logrus.InfoLevel},
	CapCoordinator:     {"cap-coordinator", logrus.InfoLevel},
	InvariantBroken:    {"invariant-broken", logrus.ErrorLevel},
}

// All returns every event in numerical order.
func All() []Event {
	list := make([]Event, 0, len(entries))
	for e := range entries {
		list = append(list, e)
	}
	slices.Sort(list)
	return list
}

// String returns the event's name.
func (e Event) String() string { return entries[e].name }

func (e Event) level() logrus.Level { return entries[e].level }
