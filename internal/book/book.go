// Package book holds the configuration documents that every proxy needs: the
// sheet, the list of databases and the list of hosts.
//
// Each document carries a serial number that increases with every change. A
// DocumentSet holds the newest document of each kind that the proxy has received
// from the store or from a peer, and never replaces a document by an older one.
// A DocumentSet is immutable.
package book

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"poplarrouter.example/poplarrouter/internal/view"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// Kind identifies a document. It is also the document's key in the store.
type Kind string

// The kinds of documents.
const (
	Sheet     Kind = "Sheet"
	Databases Kind = "Databases"
	Hosts     Kind = "Hosts"
)

// Kinds returns all kinds of documents.
func Kinds() []Kind { return []Kind{Sheet, Databases, Hosts} }

// Doc is a document as it is stored and as it is sent between proxies.
type Doc struct {
	Kind   Kind
	Serial uint64
	// Body is the JSON encoding of a SheetDoc, a DatabasesDoc or a HostsDoc.
	Body []byte
}

// SheetDoc is the body of the sheet document.
type SheetDoc struct {
	Serial uint64
	// LoadedBy is the operator who loaded the sheet.
	LoadedBy string
	// LoadID is a random identifier by which a loader recognizes its own write when it
	// reads the sheet back.
	LoadID   string `json:"Load"`
	LoadedAt time.Time
	// CSV is the CSV export that the sheet was parsed from.
	CSV string `json:",omitempty"`
	// Rows are the sheet's rows, on a platform that stores validated rows instead of a
	// CSV export.
	Rows []sheet.Row `json:",omitempty"`
	// Connections is the number of connections that each member of a database accepts,
	// by database name, on a platform that configures it with the sheet.
	Connections map[string]int `json:",omitempty"`
	// TransactionIdle is how long an open transaction may stay idle between two
	// statements, or 0 for no limit.
	TransactionIdle time.Duration `json:",omitempty"`
	// Replicated reports, by database name, whether the database acknowledges a write
	// only after a replica has received it.
	Replicated map[string]bool `json:",omitempty"`
	// Customers are the customers with the digests of their keys and their usage caps.
	Customers []sheet.Customer `json:",omitempty"`
}

// DatabasesDoc is the body of the document that lists the databases.
type DatabasesDoc struct {
	Serial    uint64
	Databases []Database
}

// Database is an entry of the list of databases.
type Database struct {
	Name string
	// Slots is the number of statements that each member runs at a time.
	Slots int
	// Connections is the number of connections that each member accepts.
	Connections int
	// Draining reports whether the database is being taken out of service.
	Draining bool `json:"Leaving"`
	Members  []view.Member
}

// HostKey returns the key in the store of a host's own entry, on platforms where
// hosts register themselves.
func HostKey(host string) string { return string(Hosts) + "/" + host }

// HostsDoc is the body of the document that lists the hosts.
type HostsDoc struct {
	Serial uint64
	Hosts  []Host
}

// Host is an entry of the list of hosts.
type Host struct {
	Name        string
	DataCentre  string
	Region      string
	PeerAddress string
	// Draining reports whether the host is being taken out of service.
	Draining bool `json:"Leaving"`
	// Capacity is the processor time that the host may use, in cores, or 0 if it is
	// unknown.
	Capacity float64 `json:",omitempty"`
}

// DocumentSet holds the newest document of each kind. The zero DocumentSet is empty.
type DocumentSet struct {
	docs      map[Kind]Doc
	sheet     sheet.Sheet
	sheetDoc  SheetDoc
	databases []Database
	hosts     []Host
}

// BodyError reports a document that cannot be decoded.
type BodyError struct {
	Kind   Kind
	Detail string
}

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("decode document %s: %s", e.Kind, e.Detail) }

// ParseDoc returns the document of the given kind with the given encoded body. It
// returns a *BodyError if the body is not JSON or has no serial.
func ParseDoc(kind Kind, body []byte) (Doc, error) {
	var header struct{ Serial uint64 }
	if err := json.Unmarshal(body, &header); err != nil {
		return Doc{}, &BodyError{Kind: kind, Detail: err.Error()}
	}
	if header.Serial == 0 {
		return Doc{}, &BodyError{Kind: kind, Detail: "got no serial, want a number greater than 0"}
	}
	return Doc{Kind: kind, Serial: header.Serial, Body: body}, nil
}

// Serial returns the serial of the newest document of a kind, or 0 if there is none.
func (b DocumentSet) Serial(kind Kind) uint64 { return b.docs[kind].Serial }

// Serials returns the serials of all documents in the set, by kind.
func (b DocumentSet) Serials() map[Kind]uint64 {
	serials := make(map[Kind]uint64, len(b.docs))
	for kind, doc := range b.docs {
		serials[kind] = doc.Serial
	}
	return serials
}

// Doc returns the newest document of a kind, and whether there is one.
func (b DocumentSet) Doc(kind Kind) (Doc, bool) {
	doc, found := b.docs[kind]
	return doc, found
}

// Sheet returns the current sheet.
func (b DocumentSet) Sheet() sheet.Sheet { return b.sheet }

// SheetDoc returns the document of the current sheet, which names the operator who
// loaded it and the time.
func (b DocumentSet) SheetDoc() SheetDoc { return b.sheetDoc }

// Connections returns the number of connections that each member of a database
// accepts, or 0 if it is unknown. A value in the sheet document takes precedence over
// the list of databases.
func (b DocumentSet) Connections(database string) int {
	if n, found := b.sheetDoc.Connections[database]; found {
		return n
	}
	d, _ := b.Database(database)
	return d.Connections
}

// Replicated reports whether a database acknowledges a write only after a replica has
// received it.
func (b DocumentSet) Replicated(database string) bool { return b.sheetDoc.Replicated[database] }

// Databases returns the databases in the order of the list.
func (b DocumentSet) Databases() []Database { return b.databases }

// Database returns the database with the given name, and whether the list has it.
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

// LiveHosts returns the names of the hosts that are not draining.
func (b DocumentSet) LiveHosts() []string {
	var names []string
	for _, h := range b.hosts {
		if !h.Draining {
			names = append(names, h.Name)
		}
	}
	return names
}

// With returns the set updated with a document, and whether the document was accepted.
// A document that is not newer than the current one of its kind is ignored. For a
// document that cannot be decoded, With returns the set unchanged and a *BodyError.
func (b DocumentSet) With(doc Doc) (DocumentSet, bool, error) {
	if doc.Serial <= b.Serial(doc.Kind) {
		return b, false, nil
	}
	next := b
	if err := next.decode(doc); err != nil {
		return b, false, err
	}
	next.docs = make(map[Kind]Doc, len(b.docs)+1)
	for kind, current := range b.docs {
		next.docs[kind] = current
	}
	next.docs[doc.Kind] = doc
	return next, true, nil
}

// decode replaces the contents of the document's kind by its decoded body.
func (b *DocumentSet) decode(doc Doc) error {
	switch doc.Kind {
	case Sheet:
		return b.decodeSheet(doc)
	case Databases:
		var body DatabasesDoc
		if err := unmarshal(doc, &body, &body.Serial); err != nil {
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
		if err := unmarshal(doc, &body, &body.Serial); err != nil {
			return err
		}
		b.hosts = body.Hosts
	default:
		return &BodyError{Kind: doc.Kind, Detail: "unknown kind of document"}
	}
	return nil
}

func (b *DocumentSet) decodeSheet(doc Doc) error {
	var body SheetDoc
	if err := unmarshal(doc, &body, &body.Serial); err != nil {
		return err
	}
	if body.CSV == "" && body.Rows != nil {
		b.sheet, b.sheetDoc = sheet.FromRows(body.Rows).WithCustomers(body.Customers), body
		return nil
	}
	parsed, err := sheet.Parse(bytes.NewBufferString(body.CSV))
	if err != nil {
		return &BodyError{Kind: Sheet, Detail: err.Error()}
	}
	b.sheet, b.sheetDoc = parsed.WithCustomers(body.Customers), body
	return nil
}

// unmarshal decodes the body of a document. The serial is a field of the decoded body, which must be
// that of the document if the body has one.
func unmarshal(doc Doc, into any, serial *uint64) error {
	if err := json.Unmarshal(doc.Body, into); err != nil {
		return &BodyError{Kind: doc.Kind, Detail: err.Error()}
	}
	if *serial != 0 && *serial != doc.Serial {
		return &BodyError{Kind: doc.Kind, Detail: fmt.Sprintf("got serial %d of a body with serial %d, want the same", doc.Serial, *serial)}
	}
	return nil
}
