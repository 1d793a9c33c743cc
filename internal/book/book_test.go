package book_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/labkv"
	"poplarrouter.example/poplarrouter/internal/store"
)

const csv = "Service,Database,Caller,Secret,Kind,Access,Idempotent,Rank,DeadlineMs,Worth,AcceptedAgeMs\n" +
	"s,d,c,SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy,k,read,yes,1,1000,5,0\n"

var now = time.Unix(1000, 0)

func load(s store.Store, operator string) (book.SheetDoc, error) {
	return book.Load(context.Background(), s, operator, csv, now)
}

// TestInvalidSheetIsNotStored guards against storing a sheet that fails validation.
func TestInvalidSheetIsNotStored(t *testing.T) {
	g := NewWithT(t)
	kv := labkv.New()
	_, err := book.Load(context.Background(), kv, "anna", strings.Replace(csv, "read", "peek", 1), now)
	g.Expect(err).To(MatchError(ContainSubstring("row 2, column Access")))
	_, _, err = book.Fetch(context.Background(), kv)
	g.Expect(err).To(BeAssignableToTypeOf(&store.MissingError{}))
}

// interleavedStore calls beforePut once, before the first write, so that a test can
// change the store between the read and the write of a load.
type interleavedStore struct {
	*labkv.Memory
	beforePut func()
}

func (s *interleavedStore) Put(ctx context.Context, key string, value []byte, previous store.Version) (store.Version, error) {
	if beforePut := s.beforePut; beforePut != nil {
		s.beforePut = nil
		beforePut()
	}
	return s.Memory.Put(ctx, key, value, previous)
}

// TestConcurrentLoadReportsTheOtherOperator loads two sheets at the same time. The
// second write must not overwrite the first, and its error names the operator who was
// first.
func TestConcurrentLoadReportsTheOtherOperator(t *testing.T) {
	g := NewWithT(t)
	kv := labkv.New()
	s := &interleavedStore{Memory: kv, beforePut: func() {
		_, err := load(kv, "bela")
		g.Expect(err).NotTo(HaveOccurred())
	}}
	_, err := load(s, "anna")
	g.Expect(err).To(MatchError(ContainSubstring("bela loaded sheet 1 first")))
	doc, _, err := book.Fetch(context.Background(), kv)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(doc.LoadedBy).To(Equal("bela"))
}

// TestLoadWithLostAnswerReadsTheSheetBack covers a store that applies a write but loses
// its answer. Load reads the sheet back, recognizes its own write and succeeds.
func TestLoadWithLostAnswerReadsTheSheetBack(t *testing.T) {
	g := NewWithT(t)
	kv := labkv.New()
	kv.SetMute(true)
	doc, err := load(kv, "anna")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(doc.Serial).To(BeEquivalentTo(1))
	kv.SetMute(false)
	doc, err = load(kv, "anna")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(doc.Serial).To(BeEquivalentTo(2))
}

// TestLoadWithUnknownOutcomeIsReported covers a store that becomes unreachable before
// the write, so that Load can neither write nor read back.
func TestLoadWithUnknownOutcomeIsReported(t *testing.T) {
	g := NewWithT(t)
	kv := labkv.New()
	_, err := load(kv, "anna")
	g.Expect(err).NotTo(HaveOccurred())
	s := &interleavedStore{Memory: kv, beforePut: func() { kv.SetDown(true) }}
	_, err = load(s, "anna")
	g.Expect(err).To(BeAssignableToTypeOf(&book.OutcomeUnknownError{}))
}

// TestOlderDocumentIsIgnored adds documents to a set in any order, some of them twice.
// An older document must never replace a newer one.
func TestOlderDocumentIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var documents book.DocumentSet
		for _, serial := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "serials") {
			previous := documents.Serial(book.Hosts)
			next, accepted, err := documents.With(book.Doc{Kind: book.Hosts, Serial: serial, Body: []byte(`{}`)})
			if err != nil {
				t.Fatal(err)
			}
			if accepted != (serial > previous) || next.Serial(book.Hosts) != max(previous, serial) {
				t.Fatalf("document %d added to %d: got serial %d", serial, previous, next.Serial(book.Hosts))
			}
			documents = next
		}
	})
}

// TestInvalidDocumentIsRejected adds documents that cannot be decoded. They must leave
// the set unchanged.
func TestInvalidDocumentIsRejected(t *testing.T) {
	g := NewWithT(t)
	var documents book.DocumentSet
	for _, doc := range []book.Doc{
		{Kind: book.Hosts, Serial: 1, Body: []byte("{")},
		{Kind: book.Sheet, Serial: 1, Body: []byte(`{"CSV": "nonsense"}`)},
		{Kind: "Weather", Serial: 1, Body: []byte("{}")},
	} {
		next, accepted, err := documents.With(doc)
		g.Expect(err).To(BeAssignableToTypeOf(&book.BodyError{}))
		g.Expect(accepted).To(BeFalse())
		g.Expect(next.Serial(doc.Kind)).To(BeZero())
	}
	_, err := book.ParseDoc(book.Hosts, []byte(`{}`))
	g.Expect(err).To(MatchError(ContainSubstring("no serial")))
}

// TestDocumentOfAnotherSerialIsRejected guards against a document that another host passes on under
// a serial that is not its own: all newer ones would be ignored up to that serial.
func TestDocumentOfAnotherSerialIsRejected(t *testing.T) {
	g := NewWithT(t)
	var documents book.DocumentSet
	for kind, body := range map[book.Kind]string{book.Hosts: `{"Serial":2}`, book.Databases: `{"Serial":2}`, book.Sheet: `{"Serial":2,"Rows":[]}`} {
		_, accepted, err := documents.With(book.Doc{Kind: kind, Serial: 9, Body: []byte(body)})
		g.Expect(accepted).To(BeFalse())
		g.Expect(err).To(MatchError(ContainSubstring("got serial 9 of a body with serial 2")))
		_, accepted, err = documents.With(book.Doc{Kind: kind, Serial: 2, Body: []byte(body)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(accepted).To(BeTrue())
	}
}
