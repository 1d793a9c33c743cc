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

func TestABadSheetLoadsNothing(t *testing.T) {
	g := NewWithT(t)
	kv := labkv.New()
	_, err := book.Load(context.Background(), kv, "anna", strings.Replace(csv, "read", "peek", 1), now)
	g.Expect(err).To(MatchError(ContainSubstring("row 2, column Access")))
	_, _, err = book.Fetch(context.Background(), kv)
	g.Expect(err).To(BeAssignableToTypeOf(&store.MissingError{}))
}

// racing lets another operator load a sheet between the read and the write.
type racing struct {
	*labkv.Memory
	between func()
}

func (r *racing) Put(ctx context.Context, key string, value []byte, was store.Version) (store.Version, error) {
	if between := r.between; between != nil {
		r.between = nil
		between()
	}
	return r.Memory.Put(ctx, key, value, was)
}

func TestTheLoserOfARaceIsToldWhoWon(t *testing.T) {
	g := NewWithT(t)
	kv := labkv.New()
	s := &racing{Memory: kv, between: func() {
		_, err := load(kv, "bela")
		g.Expect(err).NotTo(HaveOccurred())
	}}
	_, err := load(s, "anna")
	g.Expect(err).To(MatchError(ContainSubstring("bela loaded sheet 1 first")))
	doc, _, err := book.Fetch(context.Background(), kv)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(doc.LoadedBy).To(Equal("bela"))
}

func TestALostAnswerIsSettledByReadingAgain(t *testing.T) {
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

func TestAnUnsettledLoadIsSaidToBeSo(t *testing.T) {
	g := NewWithT(t)
	kv := labkv.New()
	_, err := load(kv, "anna")
	g.Expect(err).NotTo(HaveOccurred())
	s := &racing{Memory: kv, between: func() { kv.SetDown(true) }}
	_, err = load(s, "anna")
	g.Expect(err).To(BeAssignableToTypeOf(&book.OutcomeUnknownError{}))
}

// TestABookNeverGoesBack hands documents to a book in any order, some twice.
func TestABookNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b book.DocumentSet
		for _, serial := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "serials") {
			was := b.Serial(book.Hosts)
			next, taken, err := b.With(book.Doc{Kind: book.Hosts, Serial: serial, Body: []byte(`{}`)})
			if err != nil {
				t.Fatal(err)
			}
			if taken != (serial > was) || next.Serial(book.Hosts) != max(was, serial) {
				t.Fatalf("document %d over %d: got %d", serial, was, next.Serial(book.Hosts))
			}
			b = next
		}
	})
}

func TestABadDocumentIsLeft(t *testing.T) {
	g := NewWithT(t)
	var b book.DocumentSet
	for _, doc := range []book.Doc{
		{Kind: book.Hosts, Serial: 1, Body: []byte("{")},
		{Kind: book.Sheet, Serial: 1, Body: []byte(`{"CSV": "nonsense"}`)},
		{Kind: "Weather", Serial: 1, Body: []byte("{}")},
	} {
		next, taken, err := b.With(doc)
		g.Expect(err).To(BeAssignableToTypeOf(&book.BodyError{}))
		g.Expect(taken).To(BeFalse())
		g.Expect(next.Serial(doc.Kind)).To(BeZero())
	}
	_, err := book.ParseDoc(book.Hosts, []byte(`{}`))
	g.Expect(err).To(MatchError(ContainSubstring("no serial")))
}
