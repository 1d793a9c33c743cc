package ctrl

import (
	"context"
	"slices"
	"sync/atomic"
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
	// WatchersPerRegion is the number of proxies in each region that watch the store. The
	// others receive documents from peers.
	WatchersPerRegion int
	// FirstWait is how long a proxy that starts waits for its peers' documents before it
	// reads those that it lacks from the store.
	FirstWait time.Duration
	// MaxStoreAge is the time since the last answer of the store to any proxy after which
	// this one reads the store itself. If it is 0, the answers to others do not matter.
	MaxStoreAge time.Duration
	// Retry is the least time between the starts of two calls after an error of the store. It
	// doubles with each further error, up to maxRetryFactor times.
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
	docs    *duty.Ring[receivedDoc]
	// storeAnswered is the time of the last answer of the store that is known.
	storeAnswered atomic.Pointer[time.Time]
	// sheetRead is the last answer of the store to the watch of the sheet.
	sheetRead *duty.Cell[SheetRead]
	// listRead is the last answer of the store to the watch of the list of databases.
	listRead atomic.Pointer[listRead]
}

// listRead is an answer of the store: the serial of the newest list of databases and members, and
// when the answer arrived.
type listRead struct {
	serial uint64
	at     time.Time
}

// receivedDoc is a document with its source.
type receivedDoc struct {
	book.Doc
	source string
}

// sourceStore is the source of documents that this proxy read from the store itself.
const sourceStore = "store"

const (
	documentQueue = 64
	// maxRetryFactor limits the pause between calls to a store that fails, so that it is
	// noticed soon after it recovers.
	maxRetryFactor = 4
	// unknownAge is the age of the store's last answer if none is known.
	unknownAge = time.Hour
)

var _ HostList = (*Documents)(nil)

// NewDocuments starts the background tasks and returns the documents with their clean-up
// function.
func NewDocuments(options DocumentsOptions) (*Documents, func()) {
	d := &Documents{options: options, current: duty.NewCell(book.DocumentSet{}), docs: duty.NewRing[receivedDoc](documentQueue), sheetRead: duty.NewCell(SheetRead{})}
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

// Receive handles a document of the named source, a host or sourceStore. It replaces the
// current one if it is newer.
func (d *Documents) Receive(doc book.Doc, source string) {
	d.docs.Offer(receivedDoc{Doc: doc, source: source})
}

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

func (d *Documents) apply(doc receivedDoc) {
	previous := d.Book()
	next, taken, err := previous.With(doc.Doc)
	if err != nil {
		d.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": doc.Kind, "Serial": doc.Serial, "Source": doc.source, "Cause": err.Error()})
		return
	}
	if !taken {
		return
	}
	d.options.Guard.Assert(guard.SheetMonotonic, next.Serial(doc.Kind) > previous.Serial(doc.Kind), event.Fields{
		"Kind": doc.Kind, "Was": previous.Serial(doc.Kind), "Now": next.Serial(doc.Kind),
	})
	d.current.Store(next)
	d.options.Log.Emit(appliedEvents[doc.Kind], event.Fields{"Kind": doc.Kind, "Serial": doc.Serial, "Source": doc.source})
	d.options.Broadcaster.Spread(doc.Doc)
}

// StoreAge returns the time since the store's last answer to this proxy or, as far as it
// has learned, to another one.
func (d *Documents) StoreAge() time.Duration {
	answered := d.storeAnswered.Load()
	if answered == nil {
		return unknownAge
	}
	return time.Since(*answered)
}

// TakeStoreAge handles the age that a peer knows.
func (d *Documents) TakeStoreAge(age time.Duration) {
	if age < d.StoreAge() {
		d.recordStoreAnswer(time.Now().Add(-age))
	}
}

func (d *Documents) recordStoreAnswer(at time.Time) { d.storeAnswered.Store(&at) }

// MemberList returns the serial of the newest list of databases and members according to the
// store's last answer to this proxy, and when that arrived.
func (d *Documents) MemberList() (serial uint64, at time.Time) {
	if read := d.listRead.Load(); read != nil {
		return read.serial, read.at
	}
	return 0, time.Time{}
}

// recordListRead records an answer of the store: an object, or that the last one is unchanged. An
// object that cannot be read proves nothing.
func (d *Documents) recordListRead(object store.Object, unchanged *store.UnchangedError) {
	if unchanged != nil {
		if previous := d.listRead.Load(); previous != nil {
			d.listRead.Store(&listRead{serial: previous.serial, at: time.Now()})
		}
		return
	}
	doc, err := book.ParseDoc(book.Databases, object.Value)
	if err != nil {
		d.listRead.Store(nil)
		return
	}
	d.listRead.Store(&listRead{serial: doc.Serial, at: time.Now()})
}

// watch is the background task that follows one document in the store. A proxy that is not
// one of the store's watchers and receives the document from peers reads the store only
// occasionally.
func (d *Documents) watch(ctx context.Context, kind book.Kind) error {
	if kind != book.Hosts {
		d.awaitListed(ctx)
	}
	firstRead := time.Now().Add(d.options.FirstWait)
	var seen store.Version
	retry := d.options.Retry
	for ctx.Err() == nil {
		if !d.watchesStore(kind) && !d.awaitNextCheck(ctx, kind, firstRead) {
			continue
		}
		began := time.Now()
		object, err := d.options.Store.Watch(ctx, string(kind), seen)
		var unchanged *store.UnchangedError
		var missing *store.MissingError
		switch {
		case err == nil || errors.As(err, &unchanged):
			retry = d.options.Retry
			if kind == book.Sheet {
				d.recordStoreAnswer(time.Now())
				d.recordSheetRead(object, unchanged)
			}
			if kind == book.Databases {
				d.recordListRead(object, unchanged)
			}
			if err == nil {
				seen = object.Version
				d.receiveObject(kind, object)
				duty.Pause(ctx, d.options.ChangePause[kind])
			}
		case ctx.Err() != nil:
		default:
			d.options.Log.Emit(event.StoreFailed, event.Fields{"Op": "watch", "Kind": kind, "WaitedMs": time.Since(began).Milliseconds(), "Cause": err.Error()})
			duty.Pause(ctx, retry-time.Since(began))
			if !errors.As(err, &missing) {
				retry = min(2*retry, maxRetryFactor*d.options.Retry)
			}
		}
	}
	return nil
}

// awaitListed waits until the list of hosts contains this proxy, for at most FirstWait.
// Before that the proxy cannot tell whether it is one of the store's watchers.
func (d *Documents) awaitListed(ctx context.Context) {
	d.await(ctx, d.options.FirstWait, func(b book.DocumentSet) bool { return lists(b, d.options.Host) })
}

// entryTimeout is how long the list of hosts may lack an entry that was registered. Stale
// answers of the store and the pauses of its watchers delay it by a few seconds.
const entryTimeout = 10 * time.Second

// AwaitUnlisted implements HostList.
func (d *Documents) AwaitUnlisted(ctx context.Context, host string) {
	d.await(ctx, entryTimeout, func(b book.DocumentSet) bool { return lists(b, host) })
	for ctx.Err() == nil && lists(d.Book(), host) {
		d.await(ctx, checkPeriod, func(b book.DocumentSet) bool { return !lists(b, host) })
	}
}

// lists reports whether the list of hosts has an entry of a host.
func lists(b book.DocumentSet, host string) bool {
	return slices.ContainsFunc(b.Hosts(), func(h book.Host) bool { return h.Name == host })
}

// HostListed waits for the list of hosts, for at most FirstWait, and reports whether it
// has exactly the given entry. It implements HostList.
func (d *Documents) HostListed(ctx context.Context, host book.Host) bool {
	d.await(ctx, d.options.FirstWait, func(b book.DocumentSet) bool { return b.Serial(book.Hosts) > 0 })
	return slices.Contains(d.Book().Hosts(), host)
}

// await waits until the documents fulfil a condition, for at most the given time.
func (d *Documents) await(ctx context.Context, limit time.Duration, fulfilled func(book.DocumentSet) bool) {
	timeout := time.After(limit)
	for {
		documents, changed := d.Watch()
		if fulfilled(documents) {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (d *Documents) receiveObject(kind book.Kind, object store.Object) {
	doc, err := book.ParseDoc(kind, object.Value)
	if err != nil {
		d.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": kind, "Cause": err.Error()})
		return
	}
	d.Receive(doc, sourceStore)
}

// watchesStore reports whether this proxy watches the store for its region. With a few
// watchers in each region, a document crosses the link between regions once or twice only,
// and a partitioned region does not delay the others.
func (d *Documents) watchesStore(kind book.Kind) bool {
	documents := d.Book()
	if documents.Serial(kind) == 0 && d.options.FirstWait == 0 {
		return true
	}
	var hosts []string
	for _, h := range documents.Hosts() {
		if h.Region == d.options.Region && !h.Draining {
			hosts = append(hosts, h.Name)
		}
	}
	return pick.Index(watchKey(kind), d.options.Host, hosts) < d.options.WatchersPerRegion
}

// watchKey is the key of the order in which the hosts of a region watch a document.
func watchKey(kind book.Kind) string { return "watch/" + string(kind) }

const (
	// checkPeriod is the interval at which a proxy that receives documents from peers
	// reads the store itself, in case all watchers of its region have failed at once.
	checkPeriod = 10 * time.Minute
	// peerTimeout is the time without a message from any peer after which a proxy reads
	// the store itself.
	peerTimeout = 5 * time.Second
)

// awaitNextCheck waits until the store is to be read. It returns false if the caller has
// to decide again, because the documents have changed or the context has ended. firstRead
// is when a document that is still missing is read.
func (d *Documents) awaitNextCheck(ctx context.Context, kind book.Kind, firstRead time.Time) bool {
	start := time.Now()
	documents, changed := d.Watch()
	for time.Since(start) < checkPeriod {
		pause := peerTimeout
		if documents.Serial(kind) == 0 {
			if pause = time.Until(firstRead); pause <= 0 {
				return true
			}
		}
		select {
		case <-time.After(pause):
		case <-changed:
			return false
		case <-ctx.Done():
			return false
		}
		if documents.Serial(kind) > 0 && (time.Since(d.options.LastHeard()) > peerTimeout || d.storeAgeExceeded(time.Since(start))) {
			return true
		}
	}
	return true
}

// storeAgeExceeded reports whether the watchers may have lost the store. Since the last
// check by this proxy, half of MaxStoreAge must have passed.
func (d *Documents) storeAgeExceeded(sinceCheck time.Duration) bool {
	limit := d.options.MaxStoreAge
	return limit > 0 && sinceCheck >= limit/2 && d.StoreAge() > limit
}
