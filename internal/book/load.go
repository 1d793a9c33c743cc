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

// ConflictError reports that another operator loaded a sheet first.
type ConflictError struct {
	// Current is the sheet that is in the store now.
	Current SheetDoc
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("load sheet: %s loaded sheet %d first, at %s; nothing was loaded",
		e.Current.LoadedBy, e.Current.Serial, e.Current.LoadedAt.Format(time.RFC3339))
}

// OutcomeUnknownError reports a load whose answer was lost and whose outcome could
// not be read back: the sheet may or may not be in the store.
type OutcomeUnknownError struct {
	LoadID string
	Cause  error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("load sheet: it is unknown whether load %s took effect; check with the command sheet show: %v", e.LoadID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Fetch returns the sheet in the store and its version. It returns a
// *store.MissingError if there is none.
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

// envelopeBytes is the room for the other fields of a stored sheet.
const envelopeBytes = 1 << 10

// Check parses a sheet that is to be loaded. It returns sheet.Errors for an invalid one, and a
// *store.SizeError for one that is larger than a value of the store as it is stored, where line ends
// and quotation marks take two bytes.
func Check(csv string) (sheet.Sheet, error) {
	parsed, err := sheet.Parse(strings.NewReader(csv))
	if err != nil {
		return sheet.Sheet{}, err
	}
	encoded, err := json.Marshal(csv)
	if err != nil {
		return sheet.Sheet{}, err
	}
	if n := len(encoded) + envelopeBytes; n > store.MaxValue {
		return sheet.Sheet{}, &store.SizeError{Key: string(Sheet), Got: n, Max: store.MaxValue}
	}
	return parsed, nil
}

// Load validates a sheet and writes it to the store, unless another operator loads one
// at the same time. It returns sheet.Errors for an invalid sheet, a *ConflictError if
// another operator was first, a *store.SizeError for one that is too large, and an
// *OutcomeUnknownError if the store's answer was lost and the outcome could not be read back.
func Load(ctx context.Context, s store.Store, operator, csv string, now time.Time) (SheetDoc, error) {
	if _, err := Check(csv); err != nil {
		return SheetDoc{}, err
	}
	previous, version, err := Fetch(ctx, s)
	var missing *store.MissingError
	if err != nil && !errors.As(err, &missing) {
		return SheetDoc{}, err
	}
	doc := SheetDoc{Serial: previous.Serial + 1, LoadedBy: operator, LoadID: rand.Text(), LoadedAt: now.UTC(), CSV: csv}
	body, err := json.Marshal(doc)
	if err != nil {
		return SheetDoc{}, err
	}
	if _, err = s.Put(ctx, string(Sheet), body, version); err == nil {
		return doc, nil
	}
	return resolveOutcome(ctx, s, doc, err)
}

// resolveOutcome determines whether a write that returned an error took effect
// nevertheless.
func resolveOutcome(ctx context.Context, s store.Store, doc SheetDoc, cause error) (SheetDoc, error) {
	var sizeErr *store.SizeError
	if errors.As(cause, &sizeErr) {
		return SheetDoc{}, cause
	}
	current, _, err := Fetch(ctx, s)
	switch {
	case err != nil:
		return SheetDoc{}, &OutcomeUnknownError{LoadID: doc.LoadID, Cause: errors.CombineErrors(cause, err)}
	case current.LoadID == doc.LoadID:
		return doc, nil
	case current.Serial >= doc.Serial:
		return SheetDoc{}, &ConflictError{Current: current}
	default:
		// The write may still be in progress: only another conditional write could rule
		// it out.
		return SheetDoc{}, &OutcomeUnknownError{LoadID: doc.LoadID, Cause: cause}
	}
}
