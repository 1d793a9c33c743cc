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

// Broadcaster passes a document on to other proxies.
type Broadcaster interface {
	// Spread sends a document to the proxies that this one feeds.
	Spread(doc book.Doc)
}

// DocumentsOptions are what a Books depends on.
type DocumentsOptions struct {
	Host        string
	Region      string
	Store       store.Store
	Log         *event.Log
	Guard       *guard.Guard
	Broadcaster Broadcaster
	// LastHeard returns when any peer was heard last.
	LastHeard func() time.Time
	// WatchAlways tells that every proxy watches the store for itself, and none is
	// sent documents that it has not asked for.
	WatchAlways bool
	// Retry is the pause after the store failed.
	Retry time.Duration
	// ChangePause is the pause after a document of a kind has changed, so that changes that come
	// together, such as those of hosts that start together, are read together.
	ChangePause map[book.Kind]time.Duration
}

// Documents keeps the proxy's documents up to date, from the store and from peers.
type Documents struct {
	options DocumentsOptions
	current *duty.Cell[book.Book]
	docs    *duty.Ring[book.Doc]
}

const (
	documentQueue = 64
	// storeWatchers is how many proxies of each region watch the store.
	storeWatchersPerRegion = 3
)

// NewDocuments starts the duties and returns the controller with its clean-up
// function.
func NewDocuments(options DocumentsOptions) (*Documents, func()) {
	d := &Documents{options: options, current: duty.NewCell(book.Book{}), docs: duty.NewRing[book.Doc](documentQueue)}
	stops := []func(){duty.Run(d.run)}
	for _, kind := range book.Kinds() {
		stops = append(stops, duty.Run(func(ctx context.Context) error { return d.watch(ctx, kind) }))
	}
	return d, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// Book returns the documents held.
func (d *Documents) Book() book.Book { return d.current.Load() }

// Watch returns the documents held and a channel that closes when they change.
func (d *Documents) Watch() (book.Book, <-chan struct{}) { return d.current.Watch() }

// Receive offers a document. It is taken if it is newer than the one held.
func (d *Documents) Receive(doc book.Doc) { d.docs.Offer(doc) }

// keep is the duty that owns the book.
func (d *Documents) run(ctx context.Context) error {
	for {
		select {
		case doc := <-d.docs.Items():
			d.apply(doc)
		case <-ctx.Done():
			return nil
		}
	}
}

var appliedEvents = map[book.Kind]event.Event{
	book.Sheet:     event.SheetInForce,
	book.Databases: event.DatabasesChanged,
	book.Hosts:     event.DatabasesChanged,
}

func (d *Documents) apply(doc book.Doc) {
	previous := d.Book()
	next, taken, err := previous.With(doc)
	if err != nil {
		d.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": doc.Kind, "Serial": doc.Serial, "Cause": err.Error()})
		return
	}
	if !taken {
		return
	}
	d.options.Guard.Assert(guard.SheetForward, next.Serial(doc.Kind) > previous.Serial(doc.Kind), event.Fields{
		"Kind": doc.Kind, "Was": previous.Serial(doc.Kind), "Now": next.Serial(doc.Kind),
	})
	d.current.Store(next)
	d.options.Log.Emit(appliedEvents[doc.Kind], event.Fields{"Kind": doc.Kind, "Serial": doc.Serial})
	if !d.options.WatchAlways {
		d.options.Broadcaster.Spread(doc)
	}
}

// watch is the duty that follows one document in the store. While the proxy is
// not one of the store's watchers, and its peers have fed it the document, it
// only looks now and then.
func (d *Documents) watch(ctx context.Context, kind book.Kind) error {
	var seen store.Version
	for ctx.Err() == nil {
		if !d.watchesStore(kind) && !d.awaitNextCheck(ctx) {
			continue
		}
		object, err := d.options.Store.Watch(ctx, string(kind), seen)
		var unchanged *store.UnchangedError
		switch {
		case err == nil:
			seen = object.Version
			d.receiveObject(kind, object)
			duty.Pause(ctx, d.options.ChangePause[kind])
		case errors.As(err, &unchanged) || ctx.Err() != nil:
		default:
			d.options.Log.Emit(event.StoreFailed, event.Fields{"Op": "watch", "Kind": kind, "Cause": err.Error()})
			duty.Pause(ctx, d.options.Retry)
		}
	}
	return nil
}

func (d *Documents) receiveObject(kind book.Kind, object store.Object) {
	doc, err := book.Read(kind, object.Value)
	if err != nil {
		d.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": kind, "Cause": err.Error()})
		return
	}
	d.Receive(doc)
}

// chosen tells whether this proxy watches the store for its region. A few
// watchers in each region fetch a document over the link between regions once
// or twice, and a region that is cut off does not hold up the others.
func (d *Documents) watchesStore(kind book.Kind) bool {
	if d.options.WatchAlways {
		return true
	}
	documents := d.Book()
	var hosts []string
	for _, h := range documents.Hosts() {
		if h.Region == d.options.Region && !h.Leaving {
			hosts = append(hosts, h.Name)
		}
	}
	position := pick.Place("watch/"+string(kind), d.options.Host, hosts)
	return documents.Serial(kind) == 0 || position < storeWatchersPerRegion
}

const (
	// lookPeriod is how often a proxy that is fed by its peers looks in the
	// store itself, in case all watchers of its region have failed at once.
	checkPeriod = 10 * time.Minute
	// unfedTime is how long no peer may be heard before a proxy looks itself.
	peerTimeout = 5 * time.Second
)

// idle waits for the next look, and returns false if it should be put off
// because the duty has been chosen or the documents have changed.
func (d *Documents) awaitNextCheck(ctx context.Context) bool {
	start := time.Now()
	_, changed := d.Watch()
	for time.Since(start) < checkPeriod {
		select {
		case <-time.After(peerTimeout):
		case <-changed:
			return false
		case <-ctx.Done():
			return false
		}
		if time.Since(d.options.LastHeard()) > peerTimeout {
			return true
		}
	}
	return true
}
