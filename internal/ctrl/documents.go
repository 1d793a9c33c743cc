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

// Broadcaster forwards a document to other proxies.
type Broadcaster interface {
	// Spread sends a document to the proxies to which this one forwards documents.
	Spread(doc book.Doc)
}

// DocumentsOptions are the dependencies of Documents.
type DocumentsOptions struct {
	Host        string
	Region      string
	Store       store.Store
	Log         *event.Log
	Guard       *guard.Guard
	Broadcaster Broadcaster
	// LastHeard returns the time at which any peer was last heard from.
	LastHeard func() time.Time
	// WatchAlways is set if every proxy watches the store for itself. Documents are then
	// not sent to proxies that did not ask for them.
	WatchAlways bool
	// Retry is the pause after an error of the store.
	Retry time.Duration
	// ChangePause is the pause after a document of a kind changed, so that changes in
	// quick succession, such as those of hosts that start together, are read together.
	ChangePause map[book.Kind]time.Duration
}

// Documents keeps the proxy's configuration documents up to date, from the store and from
// peers.
type Documents struct {
	options DocumentsOptions
	current *duty.Cell[book.DocumentSet]
	docs    *duty.Ring[book.Doc]
}

const (
	documentQueue = 64
	// storeWatchersPerRegion is the number of proxies in each region that watch the store.
	storeWatchersPerRegion = 3
)

// NewDocuments starts the background tasks and returns the documents with their clean-up
// function.
func NewDocuments(options DocumentsOptions) (*Documents, func()) {
	d := &Documents{options: options, current: duty.NewCell(book.DocumentSet{}), docs: duty.NewRing[book.Doc](documentQueue)}
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

// Book returns the current documents.
func (d *Documents) Book() book.DocumentSet { return d.current.Load() }

// Watch returns the current documents and a channel that closes when they change.
func (d *Documents) Watch() (book.DocumentSet, <-chan struct{}) { return d.current.Watch() }

// Receive handles a document. It replaces the current one if it is newer.
func (d *Documents) Receive(doc book.Doc) { d.docs.Offer(doc) }

// run is the background task that owns the current documents.
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
	d.options.Guard.Assert(guard.SheetMonotonic, next.Serial(doc.Kind) > previous.Serial(doc.Kind), event.Fields{
		"Kind": doc.Kind, "Was": previous.Serial(doc.Kind), "Now": next.Serial(doc.Kind),
	})
	d.current.Store(next)
	d.options.Log.Emit(appliedEvents[doc.Kind], event.Fields{"Kind": doc.Kind, "Serial": doc.Serial})
	if !d.options.WatchAlways {
		d.options.Broadcaster.Spread(doc)
	}
}

// watch is the background task that follows one document in the store. A proxy that is not
// one of the store's watchers and receives the document from peers reads the store only
// occasionally.
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
	doc, err := book.ParseDoc(kind, object.Value)
	if err != nil {
		d.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": kind, "Cause": err.Error()})
		return
	}
	d.Receive(doc)
}

// watchesStore reports whether this proxy watches the store for its region. With a few
// watchers in each region, a document crosses the link between regions once or twice only,
// and a partitioned region does not delay the others.
func (d *Documents) watchesStore(kind book.Kind) bool {
	if d.options.WatchAlways {
		return true
	}
	documents := d.Book()
	var hosts []string
	for _, h := range documents.Hosts() {
		if h.Region == d.options.Region && !h.Draining {
			hosts = append(hosts, h.Name)
		}
	}
	position := pick.Index("watch/"+string(kind), d.options.Host, hosts)
	return documents.Serial(kind) == 0 || position < storeWatchersPerRegion
}

const (
	// checkPeriod is the interval at which a proxy that receives documents from peers
	// reads the store itself, in case all watchers of its region have failed at once.
	checkPeriod = 10 * time.Minute
	// peerTimeout is the time without a message from any peer after which a proxy reads
	// the store itself.
	peerTimeout = 5 * time.Second
)

// awaitNextCheck waits until the store is to be read. It returns false if the caller has
// to decide again, because the documents have changed or the context has ended.
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
