package book

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// ConflictError reports a sheet that another operator loaded first.
type ConflictError struct {
	// Winner is the sheet that is in the store now.
	Winner SheetDoc
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("load sheet: %s loaded sheet %d first, at %s; nothing was loaded",
		e.Winner.LoadedBy, e.Winner.Serial, e.Winner.LoadedAt.Format(time.RFC3339))
}

// OutcomeUnknownError reports a load whose answer was lost and could not be looked
// up: the sheet may or may not be in the store.
type OutcomeUnknownError struct {
	LoadID string
	Cause  error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("load sheet: it is unknown whether load %s took effect; look with sheet show: %v", e.LoadID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Fetch reads the sheet in the store. It returns *store.MissingError if there is
// none.
func Fetch(ctx context.Context, s store.Store) (SheetDoc, store.Version, error) {
	object, err := s.Get(ctx, string(Sheet))
	if err != nil {
		return SheetDoc{}, "", err
	}
	var doc SheetDoc
	if err := json.Unmarshal(object.Value, &doc); err != nil {
		return SheetDoc{}, "", &BodyError{Kind: Sheet, Detail: err.Error()}
	}
	return doc, object.Version, nil
}

// Load checks a sheet and puts it into the store, if no other operator has
// loaded one meanwhile. It returns sheet.Errors for a bad sheet, *RaceError if
// another operator was first, and *UnsettledError if the answer was lost and
// could not be looked up.
func Load(ctx context.Context, s store.Store, operator, csv string, now time.Time) (SheetDoc, error) {
	if _, err := sheet.Parse(strings.NewReader(csv)); err != nil {
		return SheetDoc{}, err
	}
	old, version, err := Fetch(ctx, s)
	var missing *store.MissingError
	if err != nil && !errors.As(err, &missing) {
		return SheetDoc{}, err
	}
	doc := SheetDoc{Serial: old.Serial + 1, LoadedBy: operator, LoadID: rand.Text(), LoadedAt: now.UTC(), CSV: csv}
	body, err := json.Marshal(doc)
	if err != nil {
		return SheetDoc{}, err
	}
	if _, err = s.Put(ctx, string(Sheet), body, version); err == nil {
		return doc, nil
	}
	return settle(ctx, s, doc, err)
}

// settle finds out whether a write that failed took effect all the same.
func settle(ctx context.Context, s store.Store, doc SheetDoc, cause error) (SheetDoc, error) {
	var size *store.SizeError
	if errors.As(cause, &size) {
		return SheetDoc{}, cause
	}
	current, _, err := Fetch(ctx, s)
	switch {
	case err != nil:
		return SheetDoc{}, &OutcomeUnknownError{LoadID: doc.LoadID, Cause: errors.CombineErrors(cause, err)}
	case current.LoadID == doc.LoadID:
		return doc, nil
	case current.Serial >= doc.Serial:
		return SheetDoc{}, &ConflictError{Winner: current}
	default:
		// The write may still be under way: only another write could tell.
		return SheetDoc{}, &OutcomeUnknownError{LoadID: doc.LoadID, Cause: cause}
	}
}
