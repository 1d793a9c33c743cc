package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/event"
)

// Offer reports that the sender holds a document. A peer whose own one is older fetches it.
// Documents are offered and not sent, because a proxy receives the same offer from several
// peers.
type Offer struct {
	Kind   book.Kind
	Serial uint64
}

// Fetch requests the document of a kind.
type Fetch struct {
	Kind book.Kind
}

// DocFrame is a document in transit.
type DocFrame struct {
	Kind   book.Kind
	Serial uint64
	// Deflated is the body of the document, compressed with DEFLATE.
	Deflated []byte `msgpack:"Body"`
}

// maxDeflated is the size in bytes of the largest compressed document. The rest of a frame is for its
// other fields.
const maxDeflated = MaxFrame - 1<<12

// NewDocFrame returns the frame of a document. It returns a *FrameError if the document does not fit
// into a frame.
func NewDocFrame(doc book.Doc) (DocFrame, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return DocFrame{}, err
	}
	if _, err := w.Write(doc.Body); err != nil {
		return DocFrame{}, err
	}
	if err := w.Close(); err != nil {
		return DocFrame{}, err
	}
	if buffer.Len() > maxDeflated {
		return DocFrame{}, &FrameError{Got: fmt.Sprintf("a document of %d bytes, compressed", buffer.Len()), Want: fmt.Sprintf("at most %d", maxDeflated)}
	}
	return DocFrame{Kind: doc.Kind, Serial: doc.Serial, Deflated: buffer.Bytes()}, nil
}

// maxDocument is the size in bytes of the largest document. A sheet is larger than the
// configuration of which it was made, because its rows spell out every column and its keys are
// replaced by digests.
const maxDocument = 16 << 20

// Doc returns the document. It returns a *FrameError if the body is not valid DEFLATE data
// or is larger than maxDocument.
func (f DocFrame) Doc() (book.Doc, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(f.Deflated)), maxDocument+1))
	if err != nil {
		return book.Doc{}, &FrameError{Got: err.Error(), Want: "a compressed document"}
	}
	if len(body) > maxDocument {
		return book.Doc{}, &FrameError{Got: fmt.Sprintf("a document of more than %d bytes", maxDocument), Want: "a smaller one"}
	}
	return book.Doc{Kind: f.Kind, Serial: f.Serial, Body: body}, nil
}

// fetchTimeout is how long a proxy waits for a document before it fetches it from another
// peer.
const fetchTimeout = time.Second

// transfers records the documents in transit. A document is fetched from one peer at a
// time. It is not safe for concurrent use.
type transfers struct {
	// fetchedAt is the time of the last fetch of a kind that was not answered yet, and
	// received is the last answer.
	fetchedAt map[book.Kind]time.Time
	received  map[book.Kind]receipt
	// frames are the documents that were sent last.
	frames map[book.Kind]DocFrame
}

// receipt records that a document was received.
type receipt struct {
	serial uint64
	at     time.Time
}

func newTransfers() transfers {
	return transfers{fetchedAt: make(map[book.Kind]time.Time), received: make(map[book.Kind]receipt), frames: make(map[book.Kind]DocFrame)}
}

// begin reports whether an offered document is to be fetched now. One that was received but
// is not in force after fetchTimeout was dropped, and is fetched again.
func (t transfers) begin(o Offer, now time.Time) bool {
	at, fetching := t.fetchedAt[o.Kind]
	last := t.received[o.Kind]
	if o.Serial <= last.serial && now.Sub(last.at) < fetchTimeout || fetching && now.Sub(at) < fetchTimeout {
		return false
	}
	t.fetchedAt[o.Kind] = now
	return true
}

// end records that a document was received.
func (t transfers) end(f DocFrame, now time.Time) {
	delete(t.fetchedAt, f.Kind)
	t.received[f.Kind] = receipt{serial: max(t.received[f.Kind].serial, f.Serial), at: now}
}

// answerHeartbeat offers the peer the documents of which it has no copy or an older one, and
// fetches those of which it has a newer one.
func (m *Connections) answerHeartbeat(b Heartbeat, answers *duty.Ring[Frame]) {
	local := m.handler.DocumentSet()
	for _, kind := range book.Kinds() {
		if serial := local.Serial(kind); serial > b.Serial(kind) {
			answers.Offer(Frame{Offer: &Offer{Kind: kind, Serial: serial}})
		} else {
			m.takeOffer(Offer{Kind: kind, Serial: b.Serial(kind)}, answers)
		}
	}
}

// takeOffer fetches an offered document that is newer than the local one.
func (m *Connections) takeOffer(o Offer, answers *duty.Ring[Frame]) {
	if o.Serial <= m.handler.DocumentSet().Serial(o.Kind) {
		return
	}
	m.mu.Lock()
	fetch := m.transfers.begin(o, time.Now())
	m.mu.Unlock()
	if fetch {
		answers.Offer(Frame{Fetch: &Fetch{Kind: o.Kind}})
	}
}

// answerFetch sends the local document of a kind.
func (m *Connections) answerFetch(f Fetch, answers *duty.Ring[Frame]) {
	doc, found := m.handler.DocumentSet().Doc(f.Kind)
	if !found {
		return
	}
	m.mu.Lock()
	frame := m.transfers.frames[f.Kind]
	m.mu.Unlock()
	if frame.Serial != doc.Serial {
		var err error
		if frame, err = NewDocFrame(doc); err != nil {
			m.logMalformed(f.Kind, doc.Serial, err)
			return
		}
		m.mu.Lock()
		m.transfers.frames[f.Kind] = frame
		m.mu.Unlock()
	}
	answers.Offer(Frame{Doc: &frame})
}

func (m *Connections) logMalformed(kind book.Kind, serial uint64, cause error) {
	m.options.Log.Emit(event.SheetRefused, event.Fields{"Kind": kind, "Serial": serial, "Cause": cause.Error()})
}

// takeDoc passes on a document that a peer sent.
func (m *Connections) takeDoc(host string, f DocFrame) {
	doc, err := f.Doc()
	if err != nil {
		m.logMalformed(f.Kind, f.Serial, err)
		return
	}
	m.mu.Lock()
	m.transfers.end(f, time.Now())
	m.mu.Unlock()
	m.handler.HandleDoc(host, doc)
}
