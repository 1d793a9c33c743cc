package sheet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Customer owns a set of callers, which present one of its keys.
type Customer struct {
	Name string
	// KeyDigests are the digests of the customer's keys, as KeyDigest returns them. The keys
	// themselves are not kept, so that no document, log or status can contain them.
	KeyDigests []string `json:",omitempty"`
	// Rate and Burst are the usage cap: Rate operations a second and Burst operations
	// beyond that, over all hosts together. A Rate of 0 means that usage is not capped.
	Rate  float64 `json:",omitempty"`
	Burst float64 `json:",omitempty"`
}

// Capped reports whether the customer's usage is capped.
func (c Customer) Capped() bool { return c.Rate > 0 }

// KeyDigest returns the SHA-256 digest of a key in hexadecimal.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// customers is an index of customers. It is immutable.
type customers struct {
	list   []Customer
	byName map[string]Customer
	byKey  map[string]Customer
}

// WithCustomers returns the sheet with the given customers in place of its own. It does
// not validate them: of customers that share a name or a key, the first one has it.
func (s Sheet) WithCustomers(list []Customer) Sheet {
	c := &customers{list: slices.Clone(list), byName: make(map[string]Customer, len(list)), byKey: make(map[string]Customer, len(list))}
	for _, customer := range list {
		if _, taken := c.byName[customer.Name]; !taken {
			c.byName[customer.Name] = customer
		}
		for _, digest := range customer.KeyDigests {
			if _, taken := c.byKey[digest]; !taken {
				c.byKey[digest] = customer
			}
		}
	}
	s.customers = c
	return s
}

// Customers returns a copy of the customers in the order of the sheet.
func (s Sheet) Customers() []Customer {
	if s.customers == nil {
		return nil
	}
	return slices.Clone(s.customers.list)
}

// HasCustomers reports whether the sheet lists any customers.
func (s Sheet) HasCustomers() bool { return s.customers != nil && len(s.customers.list) > 0 }

// Customer returns the customer with the given name, and whether the sheet lists it.
func (s Sheet) Customer(name string) (Customer, bool) {
	if s.customers == nil {
		return Customer{}, false
	}
	c, found := s.customers.byName[name]
	return c, found
}

// CustomerOfKey returns the customer that holds the key with the given digest, and whether
// there is one.
func (s Sheet) CustomerOfKey(digest string) (Customer, bool) {
	if s.customers == nil || digest == "" {
		return Customer{}, false
	}
	c, found := s.customers.byKey[digest]
	return c, found
}
