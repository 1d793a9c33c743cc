package relay

import (
	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/pkg/fault"
	"poplarrouter.example/poplarrouter/pkg/sheet"
)

// checkCustomer returns a fault if a job must not run as work of the customer that it names,
// or needs a customer and names none. A sheet that is older than that of the proxy which sent
// the job may lack the key, so it does not decide about the customer.
func checkCustomer(documents book.DocumentSet, job Job) *fault.Error {
	current := documents.Sheet()
	if job.Customer == "" {
		rows, _ := current.RowsFor(job.Service, job.Caller)
		work, _ := sheet.RowForLabel(rows, "")
		if job.Work.KeyRequired || work.KeyRequired {
			return fault.New(fault.UnknownKey, "run job", "service %q requires a key and the job names no customer", job.Service)
		}
		return nil
	}
	if documents.Serial(book.Sheet) < job.SheetSerial {
		return nil
	}
	if c, found := current.CustomerOfKey(job.KeyDigest); !found || c.Name != job.Customer {
		return fault.New(fault.UnknownKey, "run job", "the caller's key does not belong to customer %q", job.Customer)
	}
	return nil
}
