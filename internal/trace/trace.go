// Package trace records the inputs of the election machine of a running proxy, and
// replays them.
//
// A proxy with TraceElections set logs every step of every machine as event 511. The
// first record of a database holds the initial state of its machine. Each further record
// holds the time, the input of the machine and its view, and the resulting actions. A
// machine has no clock and does no I/O, so the same records give the same actions on any
// host and at any time.
package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"poplarrouter.example/poplarrouter/internal/elect"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/view"
)

// Input is a change of the view, an event for the machine, or both. An input with no
// field set stands for the passing of time.
type Input struct {
	// Report is a member's answer.
	Report *view.Report `json:",omitempty"`
	// Silence names a member that did not answer a query.
	Silence string `json:",omitempty"`
	// Refusal names a member whose address refused a connection.
	Refusal string `json:",omitempty"`
	// Busy is the answer of a member that had no capacity for a query.
	Busy *view.Busy `json:",omitempty"`
	// Members is a new list of members.
	Members []view.Member `json:",omitempty"`
	// ListSerial is the serial of the list in Members.
	ListSerial uint64 `json:",omitempty"`
	// Voters is a new list of voters, in the order in which they may claim a term.
	Voters []string    `json:"Watchers,omitempty"`
	Event  elect.Event `json:",omitzero"`
}

// Apply returns the view after the input.
func (i Input) Apply(v view.View) view.View {
	if i.Report != nil {
		v = v.WithReport(*i.Report)
	}
	if i.Silence != "" {
		v = v.WithSilence(i.Silence)
	}
	if i.Refusal != "" {
		v = v.WithRefusal(i.Refusal)
	}
	if i.Busy != nil {
		v = v.WithBusy(*i.Busy)
	}
	if i.Members != nil {
		v = v.WithMembers(i.Members)
	}
	if i.Event.Rival != nil {
		v = v.WithClaim(i.Event.Rival.Announced())
	}
	return v
}

// Begin is the initial state of a machine.
type Begin struct {
	Host    string
	Rules   elect.Rules
	Members []view.Member
	Voters  []string `json:"Watchers"`
}

// Record is one step of a machine.
type Record struct {
	// Step counts the records of one machine from 1.
	Step uint64
	At   time.Time
	// Begin is set in the first record, which has no input.
	Begin   *Begin         `json:",omitempty"`
	Input   Input          `json:",omitzero"`
	Actions []elect.Action `json:",omitempty"`
}

// GapError reports that a record is missing or out of order.
type GapError struct {
	Got  uint64
	Want uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("replay trace: got step %d, want step %d", e.Got, e.Want)
}

// MismatchError reports a step at which the actions of the replayed machine differ from
// the recorded ones.
type MismatchError struct {
	Step uint64
	Got  string
	Want string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("replay trace: step %d: got %s, want %s", e.Step, e.Got, e.Want)
}

// LineError reports a log line that cannot be read.
type LineError struct {
	Line  int
	Cause error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("read trace: line %d: %s", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// Read returns the records of a database from a proxy's log. Lines of other events are
// skipped. It returns a *LineError for a line that is not a JSON object.
func Read(log io.Reader, database string) ([]Record, error) {
	var records []Record
	n := 0
	for raw, err := range event.Lines(log) {
		n++
		if err != nil {
			return nil, &LineError{Line: n, Cause: err}
		}
		var line struct {
			Event    event.Event
			Database string
			Record   Record
		}
		if err := json.Unmarshal(raw, &line); err != nil {
			return nil, &LineError{Line: n, Cause: err}
		}
		if line.Event == event.ElectionStep && line.Database == database {
			records = append(records, line.Record)
		}
	}
	return records, nil
}

// Replay drives a machine by the records, and calls each with every record whose actions
// the machine reproduces. It returns a *GapError if a record is missing, for example
// because the ring buffer of the log was full, and a *MismatchError at the first step at
// which the actions differ.
func Replay(records []Record, each func(Record)) error {
	if len(records) == 0 || records[0].Begin == nil {
		return &GapError{Got: 0, Want: 1}
	}
	begin := records[0].Begin
	machine := elect.New(begin.Rules, begin.Host, begin.Voters, records[0].At)
	v := view.New("", begin.Members)
	for i, r := range records {
		if want := uint64(i) + 1; r.Step != want {
			return &GapError{Got: r.Step, Want: want}
		}
		if r.Begin != nil {
			continue
		}
		v = r.Input.Apply(v)
		if r.Input.Voters != nil {
			machine = machine.WithVoters(r.Input.Voters)
		}
		var actions []elect.Action
		machine, actions = machine.Step(r.At, v, r.Input.Event)
		if err := compare(r, actions); err != nil {
			return err
		}
		each(r)
	}
	return nil
}

// compare compares actions with those of a record in their encoded form.
func compare(r Record, actions []elect.Action) error {
	want, err := json.Marshal(r.Actions)
	if err != nil {
		return err
	}
	got, err := json.Marshal(actions)
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		return &MismatchError{Step: r.Step, Got: brief(actions), Want: brief(r.Actions)}
	}
	return nil
}

func brief(actions []elect.Action) string {
	if len(actions) == 0 {
		return "nothing"
	}
	return elect.FormatActions(actions)
}
