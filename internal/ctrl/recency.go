package ctrl

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
	"poplarrouter.example/poplarrouter/internal/recent"
	"poplarrouter.example/poplarrouter/internal/store"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// ProofPeers sends queries for proofs to peers. The answers are passed to TakeAnswer.
type ProofPeers interface {
	QueryProof(host string, id uint64) bool
}

// RecencyOptions are the dependencies of Recency.
type RecencyOptions struct {
	Host      string
	Region    string
	Rules     recent.Rules
	Documents *Documents
	Store     store.Confirmer
	Peers     ProofPeers
	Log       *event.Log
	// Clock returns the time since a fixed moment. It must also count the time for which the
	// host is suspended, and be the clock of the store's client.
	Clock func() time.Duration
}

// Recency keeps the proof that the sheet in force is the store's newest, while it has
// customers. It implements chain.KeyRecency.
type Recency struct {
	options RecencyOptions
	// mu serializes the steps of state.
	mu    sync.Mutex
	state atomic.Pointer[recent.State]
	// keys is the sheet of which state knows. It is guarded by mu.
	keys sheet.Sheet
	// changed receives a value when a step was taken outside of run, and reads the time at
	// which a read of the store was demanded.
	changed chan struct{}
	reads   chan time.Duration
	counts  recencyCounts
	// failure is that of the last read, or nil.
	failure atomic.Pointer[readFailure]
	report  recencyReport
}

type recencyCounts struct{ queries, reads, failedReads atomic.Uint64 }

// readFailure is why a read of the store failed.
type readFailure struct{ cause error }

// NewRecency starts the background tasks and returns the recency with its clean-up function.
func NewRecency(options RecencyOptions) (*Recency, func()) {
	r := &Recency{options: options, changed: make(chan struct{}, 1), reads: make(chan time.Duration, 1)}
	// The seed need not be secret.
	state := recent.New(options.Rules, rand.Uint64()) //nolint:gosec // see above
	r.state.Store(&state)
	stopRun, stopReads := duty.Run(r.run), duty.Run(r.readStore)
	return r, func() {
		stopRun()
		stopReads()
	}
}

// Recent implements chain.KeyRecency. The state is loaded before the clock is read, so that a
// pause between the two makes the proof appear older.
func (r *Recency) Recent() bool {
	state := r.state.Load()
	if documents := r.options.Documents.Book(); documents.Serial(book.Sheet) != state.Sheet().Serial {
		// The proof may not hold for the keys of the sheet that has just come into force.
		r.takeSheet()
		state = r.state.Load()
	}
	return state.Recent(r.options.Clock())
}

// Required reports whether the sheet in force has customers, so that keys are refused while
// they are not recent.
func (r *Recency) Required() bool { return r.options.Documents.Book().Sheet().HasCustomers() }

// step replaces the state by the next one. The clock is read after the state was loaded, so
// that ages are never too low.
func (r *Recency) step(next func(s recent.State, now time.Duration) recent.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(next)
}

func (r *Recency) stepLocked(next func(s recent.State, now time.Duration) recent.State) {
	state := r.state.Load()
	after := next(*state, r.options.Clock())
	r.state.Store(&after)
}

// notify makes run plan again.
func (r *Recency) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Answer returns what a peer is told that queries this host.
func (r *Recency) Answer() (recent.Version, time.Duration, bool) {
	state := r.state.Load()
	return state.Answer(r.options.Clock())
}

// TakeAnswer handles the answer of a peer to a query.
func (r *Recency) TakeAnswer(host string, id uint64, v recent.Version, age time.Duration) {
	r.step(func(s recent.State, now time.Duration) recent.State { return s.WithAnswer(now, host, id, v, age) })
	r.notify()
}

// run is the background task that follows the documents and plans queries and reads.
func (r *Recency) run(ctx context.Context) error {
	var hosts uint64
	for ctx.Err() == nil {
		documents, changed := r.options.Documents.Watch()
		read, answered := r.options.Documents.WatchSheetReads()
		if serial := documents.Serial(book.Hosts); serial != hosts {
			hosts = serial
			r.step(func(s recent.State, _ time.Duration) recent.State { return r.withHosts(s, documents.Hosts()) })
		}
		r.takeSheet()
		r.step(func(s recent.State, now time.Duration) recent.State { return withRead(s, now, read) })
		r.reportChange()
		pause := r.act()
		select {
		case <-time.After(pause):
		case <-changed:
		case <-answered:
		case <-r.changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// withHosts returns the state for a list of hosts. The hosts that read the store often are the
// first of those that watch the sheet there.
func (r *Recency) withHosts(s recent.State, hosts []book.Host) recent.State {
	var live []recent.Host
	for _, h := range hosts {
		if !h.Draining {
			live = append(live, recent.Host{Name: h.Name, Region: h.Region})
		}
	}
	return s.WithHosts(watchKey(book.Sheet), r.options.Host, r.options.Region, live)
}

// takeSheet handles the sheet in force, if the state does not know of it.
func (r *Recency) takeSheet() {
	r.mu.Lock()
	defer r.mu.Unlock()
	documents := r.options.Documents.Book()
	if documents.Serial(book.Sheet) == r.state.Load().Sheet().Serial {
		return
	}
	// If the watch of the store returned this sheet, its proof counts from now on.
	read, _ := r.options.Documents.WatchSheetReads()
	v, keys := versionOf(documents), documents.Sheet()
	customers, subset := keys.HasCustomers(), keys.KeysWithin(r.keys)
	r.keys = keys
	r.stepLocked(func(s recent.State, now time.Duration) recent.State {
		return withRead(s, now, read).WithSheet(now, v, customers, subset)
	})
}

// withRead returns the state after an answer to the watch of the sheet.
func withRead(s recent.State, now time.Duration, read SheetRead) recent.State {
	if read.AskedAt == 0 {
		return s
	}
	return s.WithProof(now, recent.Proof{Version: read.Sheet, At: read.AskedAt, Source: recent.SourceWatch})
}

// act does what is to be done now, and returns the time until the next plan.
func (r *Recency) act() time.Duration {
	var a recent.Actions
	r.step(func(s recent.State, now time.Duration) recent.State {
		s, a = s.Plan(now)
		return s
	})
	for _, q := range a.Queries {
		r.counts.queries.Add(1)
		r.options.Peers.QueryProof(q.Host, q.ID)
	}
	if a.Read {
		r.reads <- a.At
	}
	pause := a.Next - a.At
	if expiry, proven := r.state.Load().Expiry(); proven && expiry > a.At {
		pause = min(pause, expiry-a.At+time.Millisecond)
	}
	return max(pause, time.Millisecond)
}

// readTimeout limits a read of the store. It may take two calls if the history was lost.
const readTimeout = 2 * time.Second

// readStore is the background task that reads the store when run demands it.
func (r *Recency) readStore(ctx context.Context) error {
	var last confirmedSheet
	for {
		var sentAt time.Duration
		select {
		case sentAt = <-r.reads:
		case <-ctx.Done():
			return nil
		}
		r.counts.reads.Add(1)
		if err := r.confirm(ctx, &last); err != nil {
			r.counts.failedReads.Add(1)
			r.failure.Store(&readFailure{cause: err})
			r.step(func(s recent.State, _ time.Duration) recent.State { return s.WithFailedRead() })
		} else {
			r.failure.Store(nil)
			r.step(func(s recent.State, now time.Duration) recent.State { return s.WithRead(now, sentAt, last.sheet) })
		}
		r.notify()
	}
}

// confirmedSheet is the sheet that the store returned last.
type confirmedSheet struct {
	version store.Version
	sheet   recent.Version
	doc     book.Doc
}

// confirm asks the store for its newest sheet, and passes it on if it is newer than the one in
// force.
func (r *Recency) confirm(ctx context.Context, last *confirmedSheet) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	object, err := r.options.Store.Confirm(ctx, string(book.Sheet), last.version)
	var unchanged *store.UnchangedError
	switch {
	case err == nil:
		version, readable := sheetVersion(object.Value)
		doc, docErr := book.ParseDoc(book.Sheet, object.Value)
		if docErr != nil || !readable {
			return errors.CombineErrors(docErr, &book.BodyError{Kind: book.Sheet, Detail: "the store's sheet cannot be read"})
		}
		*last = confirmedSheet{version: object.Version, sheet: version, doc: doc}
	case !errors.As(err, &unchanged):
		return err
	}
	if last.sheet.Serial > r.options.Documents.Book().Serial(book.Sheet) {
		r.options.Documents.Receive(last.doc, sourceStore)
	}
	return nil
}
