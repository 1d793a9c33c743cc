package ctrl

import (
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/recent"
	"poplarrouter.example/poplarrouter/internal/store"
)

// SheetRead is an answer of the store to a watch of the sheet.
type SheetRead struct {
	// Sheet is the store's newest sheet at the time AskedAt of the store client's clock, which
	// is 0 if the answer proves nothing.
	Sheet   recent.Version
	AskedAt time.Duration
}

// WatchSheetReads returns the last answer of the store to the watch of the sheet, and a channel
// that closes at the next one.
func (d *Documents) WatchSheetReads() (SheetRead, <-chan struct{}) { return d.sheetRead.Watch() }

// recordSheetRead records an answer of the store: an object, or that the last one is unchanged.
func (d *Documents) recordSheetRead(object store.Object, unchanged *store.UnchangedError) {
	read := d.sheetRead.Load()
	if unchanged != nil {
		read.AskedAt = unchanged.AskedAt
	} else {
		var readable bool
		read.Sheet, readable = sheetVersion(object.Value)
		read.AskedAt = object.AskedAt
		if !readable {
			read.AskedAt = 0
		}
	}
	d.sheetRead.Store(read)
}

// sheetVersion returns the version of an encoded sheet document, and whether it is readable.
func sheetVersion(body []byte) (recent.Version, bool) {
	doc, err := book.ParseDoc(book.Sheet, body)
	if err != nil {
		return recent.Version{}, false
	}
	documents, taken, err := book.DocumentSet{}.With(doc)
	if err != nil || !taken {
		return recent.Version{}, false
	}
	return versionOf(documents), true
}

// versionOf returns the version of the sheet of a set of documents.
func versionOf(documents book.DocumentSet) recent.Version {
	return recent.Version{Serial: documents.Serial(book.Sheet), Keys: documents.Sheet().KeysFingerprint()}
}
