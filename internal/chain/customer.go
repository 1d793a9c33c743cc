package chain

import (
	"context"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// KeyRecency reports how current the proxy's list of keys is.
type KeyRecency interface {
	// Recent reports whether a key that the list contains can still be accepted: the list was
	// proven to be the store's newest within the time that a removed key may still be used.
	Recent() bool
}

// CapLimiter limits the operations of each customer over all hosts together.
type CapLimiter interface {
	// Acquire takes the right to run one operation of a customer, and waits for it until
	// the context ends. It returns an OverCap fault if the customer has none left.
	Acquire(ctx context.Context, c sheet.Customer) error
}

// authenticate refuses work whose key is no longer that of its customer, or cannot be proven
// to be. It checks every statement, also within a transaction, because a key may be removed
// at any time. The work of a relayed request was checked by the proxy that relayed it.
func (f *filters) authenticate(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if r.Relayed || !r.Work.KeyRequired {
			return next(ctx, r)
		}
		keys, recent := f.keys()
		if !recent && keys.HasCustomers() {
			return fault.New(fault.StaleKeys, "authenticate", "this proxy cannot prove that its list of keys is recent")
		}
		c, found := keys.CustomerOfKey(r.Caller.KeyDigest)
		if !found || c.Name != r.Caller.Customer {
			return fault.New(fault.UnknownKey, "authenticate", "the caller's key does not belong to customer %q", r.Caller.Customer)
		}
		return next(ctx, r)
	}
}

// keys returns the sheet in force, and whether its keys can be accepted. Of a sheet without
// customers, which accepts no key, the recency is not known. A proof that was given before a
// sheet came into force may not hold for that sheet, so the two are read until they belong
// together.
func (f *filters) keys() (keys sheet.Sheet, recent bool) {
	for {
		documents := f.Documents.Book()
		recent = f.Keys == nil || f.Keys.Recent()
		if f.Documents.Book().Serial(book.Sheet) == documents.Serial(book.Sheet) {
			return documents.Sheet(), recent
		}
	}
}

// limitUsage refuses operations beyond the usage cap of their customer. A transaction counts
// as one operation.
func (f *filters) limitUsage(next Handler) Handler {
	return func(ctx context.Context, r *Request) error {
		if f.Caps == nil || r.pinned || r.Relayed || r.Caller.Customer == "" {
			return next(ctx, r)
		}
		c, found := f.Documents.Book().Sheet().Customer(r.Caller.Customer)
		if !found || !c.Capped() {
			return next(ctx, r)
		}
		waitCtx, cancel := context.WithDeadline(ctx, r.Arrived.Add(r.Work.MaxQueueWait()))
		defer cancel()
		if err := f.Caps.Acquire(waitCtx, c); err != nil {
			return err
		}
		return next(ctx, r)
	}
}

// connected returns the function that reports whether a member has an idle connection of the
// caller's customer, or nil if the caller has none. Opening a connection costs a member more
// than a statement does.
func (f *filters) connected(r *Request) func(m view.Member) bool {
	if r.Caller.Customer == "" {
		return nil
	}
	return func(m view.Member) bool { return f.Controllers.Pool(r.Work.Database, m).HasIdle(r.Caller.Customer) }
}
