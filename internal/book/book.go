// Package book holds the documents that every proxy must have: the sheet, the
// list of databases and the list of hosts.
//
// Each document carries a serial number that grows with every change. A Book
// holds the newest document of each kind that the proxy has heard of, from the
// store or from a peer, and never goes back to an older one. It is immutable.
package book

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Kind names a document. It is also the document's key in the store.
type Kind string

// The kinds of documents.
const (
	Sheet     Kind = "Sheet"
	Databases Kind = "Databases"
	Hosts     Kind = "Hosts"
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Sheet, Databases, Hosts} }

// Doc is a document as it lies in the store and travels between proxies.
type Doc struct {
	Kind   Kind
	Serial uint64
	Body   []byte
}

// SheetDoc is the body of the sheet document.
type SheetDoc struct {
	Serial uint64
	// LoadedBy is the operator who loaded the sheet.
	LoadedBy string
	// LoadID is a random name, by which a loader knows its own write again.
	LoadID   string `json:"Load"`
	LoadedAt time.Time
	// CSV is the sheet's export, as it was checked.
	CSV string `json:",omitempty"`
	// Rows are the sheet's rows, where the platform keeps them checked instead of an
	// export.
	Rows []sheet.Row `json:",omitempty"`
	// Connections is how many connections each member of a database takes, where
	// the platform tells that with the sheet.
	Connections map[string]int `json:",omitempty"`
	// TransactionIdle is how long an open transaction may rest between two statements, or 0
	// for as long as its caller likes.
	TransactionIdle time.Duration `json:",omitempty"`
	// Replicated tells which databases acknowledge a write only once a replica has
	// received it.
	Replicated map[string]bool `json:",omitempty"`
}

// DatabasesDoc is the body of the document that lists the databases.
type DatabasesDoc struct {
	Serial    uint64
	Databases []Database
}

// Database is one database as the platform lists it.
type Database struct {
	Name string
	// Slots is how many statements each member runs at a time.
	Slots int
	// Connections is how many connections each member accepts.
	Connections int
	// Draining tells that the database is taken out of service.
	Draining bool `json:"Leaving"`
	Members  []view.Member
}

// HostKey returns the store's key of a host's own entry, where hosts list themselves.
func HostKey(host string) string { return string(Hosts) + "/" + host }

// HostsDoc is the body of the document that lists the hosts.
type HostsDoc struct {
	Serial uint64
	Hosts  []Host
}

// Host is one host of the system as the platform lists it.
type Host struct {
	Name        string
	DataCentre  string
	Region      string
	PeerAddress string
	Draining    bool `json:"Leaving"`
	// Capacity is the processor time that the host may use, in cores, or 0 if it does not
	// tell.
	Capacity float64 `json:",omitempty"`
}

// DocumentSet holds the newest documents.
type DocumentSet struct {
	docs      map[Kind]Doc
	sheet     sheet.Sheet
	loaded    SheetDoc
	databases []Database
	hosts     []Host
}

// BodyError reports a document that cannot be read.
type BodyError struct {
	Kind   Kind
	Detail string
}

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("read document %s: %s", e.Kind, e.Detail) }

// ParseDoc returns the document whose body lies in the store under the kind's key.
func ParseDoc(kind Kind, body []byte) (Doc, error) {
	var head struct{ Serial uint64 }
	if err := json.Unmarshal(body, &head); err != nil {
		return Doc{}, &BodyError{Kind: kind, Detail: err.Error()}
	}
	if head.Serial == 0 {
		return Doc{}, &BodyError{Kind: kind, Detail: "got no serial, want a number above 0"}
	}
	return Doc{Kind: kind, Serial: head.Serial, Body: body}, nil
}

// Serial returns the serial of the newest document of a kind, or 0.
func (b DocumentSet) Serial(kind Kind) uint64 { return b.docs[kind].Serial }

// Serials returns the serials of all documents held.
func (b DocumentSet) Serials() map[Kind]uint64 {
	serials := make(map[Kind]uint64, len(b.docs))
	for kind, doc := range b.docs {
		serials[kind] = doc.Serial
	}
	return serials
}

// Doc returns the newest document of a kind.
func (b DocumentSet) Doc(kind Kind) (Doc, bool) {
	doc, found := b.docs[kind]
	return doc, found
}

// Sheet returns the sheet in force.
func (b DocumentSet) Sheet() sheet.Sheet { return b.sheet }

// SheetDoc returns who loaded the sheet in force, and when.
func (b DocumentSet) SheetDoc() SheetDoc { return b.loaded }

// Connections returns how many connections each member of a database takes, or 0 if
// that is not known.
func (b DocumentSet) Connections(database string) int {
	if n, found := b.loaded.Connections[database]; found {
		return n
	}
	d, _ := b.Database(database)
	return d.Connections
}

// Replicated tells whether a database acknowledges a write only once a replica has
// received it.
func (b DocumentSet) Replicated(database string) bool { return b.loaded.Replicated[database] }

// Databases returns the databases in the order of the list.
func (b DocumentSet) Databases() []Database { return b.databases }

// Database returns the database of a name.
func (b DocumentSet) Database(name string) (Database, bool) {
	for _, d := range b.databases {
		if d.Name == name {
			return d, true
		}
	}
	return Database{}, false
}

// Hosts returns the hosts in the order of the list.
func (b DocumentSet) Hosts() []Host { return b.hosts }

// LiveHosts returns the names of the hosts that are not leaving.
func (b DocumentSet) LiveHosts() []string {
	var names []string
	for _, h := range b.hosts {
		if !h.Draining {
			names = append(names, h.Name)
		}
	}
	return names
}

// With returns the book with a document, and whether it was taken. A document
// that is not newer than the one held is left; one that cannot be read gives a
// *BodyError.
func (b DocumentSet) With(doc Doc) (DocumentSet, bool, error) {
	if doc.Serial <= b.Serial(doc.Kind) {
		return b, false, nil
	}
	next := b
	if err := next.read(doc); err != nil {
		return b, false, err
	}
	next.docs = make(map[Kind]Doc, len(b.docs)+1)
	for kind, held := range b.docs {
		next.docs[kind] = held
	}
	next.docs[doc.Kind] = doc
	return next, true, nil
}

func (b *DocumentSet) read(doc Doc) error {
	switch doc.Kind {
	case Sheet:
		return b.readSheet(doc)
	case Databases:
		var body DatabasesDoc
		if err := decode(doc, &body); err != nil {
			return err
		}
		b.databases = body.Databases
		for _, d := range b.databases {
			for i := range d.Members {
				d.Members[i].Database = d.Name
			}
		}
	case Hosts:
		var body HostsDoc
		if err := decode(doc, &body); err != nil {
			return err
		}
		b.hosts = body.Hosts
	default:
		return &BodyError{Kind: doc.Kind, Detail: "unknown kind"}
	}
	return nil
}

func (b *DocumentSet) readSheet(doc Doc) error {
	var body SheetDoc
	if err := decode(doc, &body); err != nil {
		return err
	}
	if body.CSV == "" && body.Rows != nil {
		b.sheet, b.loaded = sheet.FromRows(body.Rows), body
		return nil
	}
	parsed, err := sheet.Parse(bytes.NewBufferString(body.CSV))
	if err != nil {
		return &BodyError{Kind: Sheet, Detail: err.Error()}
	}
	b.sheet, b.loaded = parsed, body
	return nil
}

func decode(doc Doc, into any) error {
	if err := json.Unmarshal(doc.Body, into); err != nil {
		return &BodyError{Kind: doc.Kind, Detail: err.Error()}
	}
	return nil
}
