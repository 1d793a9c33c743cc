package ctrl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/guard"
	"poplarrouter.example/poplarrouter/internal/pick"
	"poplarrouter.example/poplarrouter/internal/store"
)

// Spreader passes a document on to other proxies.
type Spreader interface {
	// Spread sends a document to the proxies that this one feeds.
	Spread(doc book.Doc)
}

// BooksOptions are what a Books depends on.
type BooksOptions struct {
	Host   string
	Region string
	Store  store.Store
	Log    *event.Log
	Guard  *guard.Guard
	Spread Spreader
	// Fed returns when any peer was heard last.
	Fed func() time.Time
	// Everyone tells that every proxy watches the store for itself, and none is
	// sent documents that it has not asked for.
	Everyone bool
	// Retry is the pause after the store failed.
	Retry time.Duration
	// Rest is the pause after a document of a kind has changed, so that changes that come
	// together, such as those of hosts that start together, are read together.
	Rest map[book.Kind]time.Duration
}

// Books keeps the proxy's documents up to date, from the store and from peers.
type Books struct {
	options BooksOptions
	cell    *duty.Cell[book.DocumentSet]
	docs    *duty.Ring[book.Doc]
}

const (
	docRing = 64
	// storeWatchers is how many proxies of each region watch the store.
	storeWatchers = 3
)

// NewBooks starts the duties and returns the controller with its clean-up
// function.
func NewBooks(options BooksOptions) (*Books, func()) {
	b := &Books{options: options, cell: duty.NewCell(book.DocumentSet{}), docs: duty.NewRing[book.Doc](docRing)}
	stops := []func(){duty.Run(b.keep)}
	for _, kind := range book.Kinds() {
		stops = append(stops, duty.Run(func(ctx context.Context) error { return b.watch(ctx, kind) }))
	}
	return b, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// Book returns the documents held.
func (b *Books) Book() book.DocumentSet { return b.cell.Load() }

// Watch returns the documents held and a channel that closes when they change.
func (b *Books) Watch() (book.DocumentSet, <-chan struct{}) { return b.cell.Watch() }

// Take offers a document. It is taken if it is newer than the one held.
func (b *Books) Take(doc book.Doc) { b.docs.Offer(doc) }

// keep is the duty that owns the book.
func (b *Books) keep(ctx context.Context) error {
	for {
		select {
		case doc := <-b.docs.Items():
			b.adopt(doc)
		case <-ctx.Done():
			return nil
		}
	}
}

var adopted = map[book.Kind]event.Event{
	book.Sheet:     event.SheetInForce,
	book.Databases: event.DatabasesChanged,
	book.Hosts:     event.DatabasesChanged,
}

func (b *Books) adopt(doc book.Doc) {
	was := b.Book()
	next, taken, err := was.With(doc)
	if err != nil {
		b.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": doc.Kind, "Serial": doc.Serial, "Cause": err.Error()})
		return
	}
	if !taken {
		return
	}
	b.options.Guard.Assert(guard.SheetForward, next.Serial(doc.Kind) > was.Serial(doc.Kind), event.Fields{
		"Kind": doc.Kind, "Was": was.Serial(doc.Kind), "Now": next.Serial(doc.Kind),
	})
	b.cell.Store(next)
	b.options.Log.Emit(adopted[doc.Kind], event.Fields{"Kind": doc.Kind, "Serial": doc.Serial})
	if !b.options.Everyone {
		b.options.Spread.Spread(doc)
	}
}

// watch is the duty that follows one document in the store. While the proxy is
// not one of the store's watchers, and its peers have fed it the document, it
// only looks now and then.
func (b *Books) watch(ctx context.Context, kind book.Kind) error {
	var seen store.Version
	for ctx.Err() == nil {
		if !b.chosen(kind) && !b.idle(ctx) {
			continue
		}
		object, err := b.options.Store.Watch(ctx, string(kind), seen)
		var unchanged *store.UnchangedError
		switch {
		case err == nil:
			seen = object.Version
			b.offer(kind, object)
			duty.Pause(ctx, b.options.Rest[kind])
		case errors.As(err, &unchanged) || ctx.Err() != nil:
		default:
			b.options.Log.Emit(event.StoreFailed, event.Fields{"Op": "watch", "Kind": kind, "Cause": err.Error()})
			duty.Pause(ctx, b.options.Retry)
		}
	}
	return nil
}

func (b *Books) offer(kind book.Kind, object store.Object) {
	doc, err := book.ParseDoc(kind, object.Value)
	if err != nil {
		b.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": kind, "Cause": err.Error()})
		return
	}
	b.Take(doc)
}

// chosen tells whether this proxy watches the store for its region. A few
// watchers in each region fetch a document over the link between regions once
// or twice, and a region that is cut off does not hold up the others.
func (b *Books) chosen(kind book.Kind) bool {
	if b.options.Everyone {
		return true
	}
	held := b.Book()
	var hosts []string
	for _, h := range held.Hosts() {
		if h.Region == b.options.Region && !h.Draining {
			hosts = append(hosts, h.Name)
		}
	}
	place := pick.Place("watch/"+string(kind), b.options.Host, hosts)
	return held.Serial(kind) == 0 || place < storeWatchers
}

const (
	// lookPeriod is how often a proxy that is fed by its peers looks in the
	// store itself, in case all watchers of its region have failed at once.
	lookPeriod = 10 * time.Minute
	// unfedTime is how long no peer may be heard before a proxy looks itself.
	unfedTime = 5 * time.Second
)

// idle waits for the next look, and returns false if it should be put off
// because the duty has been chosen or the documents have changed.
func (b *Books) idle(ctx context.Context) bool {
	began := time.Now()
	_, changed := b.Watch()
	for time.Since(began) < lookPeriod {
		select {
		case <-time.After(unfedTime):
		case <-changed:
			return false
		case <-ctx.Done():
			return false
		}
		if time.Since(b.options.Fed()) > unfedTime {
			return true
		}
	}
	return true
}
