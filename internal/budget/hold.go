package budget

import "time"

// Hold is one connection's share in the budget. Its methods must be called by one goroutine at a
// time. The methods of a nil Hold do nothing.
type Hold struct {
	budget *Budget
	id     uint64
	evict  func(Class)
	held   [classes]int64
	// since is when the message that is being read began to be accounted for.
	since time.Time

	// granted is closed when the waiting request is granted. The budget's lock guards it and
	// isEvicted.
	granted   chan struct{}
	isEvicted bool
}

// Reserve accounts for a message of which the given number of bytes has arrived. It waits while
// the budget is used up, so that nothing more is read meanwhile. It returns ErrExhausted if
// the wait takes too long.
func (h *Hold) Reserve(arrived int) error {
	if h == nil || arrived <= FreeBytes {
		return nil
	}
	if h.since.IsZero() {
		h.since = time.Now()
	}
	if arrived <= BulkBytes {
		return h.acquire(Messages, cost(arrived), h.since)
	}
	need := cost(max(arrived, h.budget.options.MaxMessage))
	if need <= h.held[Bulk] {
		return nil
	}
	// A holder that waits for others is not slow.
	h.setSince(Messages, time.Time{})
	if err := h.acquire(Bulk, need, h.since); err != nil {
		return err
	}
	h.since = time.Now()
	h.setSince(Bulk, h.since)
	h.release(Messages)
	return nil
}

// Complete records that the message has arrived, so that its holder does not wait for its
// caller any more.
func (h *Hold) Complete() {
	if h == nil {
		return
	}
	h.since = time.Time{}
	h.setSince(Messages, time.Time{})
	h.setSince(Bulk, time.Time{})
}

// Receive accounts for an answer of which the given number of bytes has arrived. It waits as
// Reserve does.
func (h *Hold) Receive(arrived int) error {
	if h == nil || arrived <= FreeBytes {
		return nil
	}
	const answerCopies = 2
	return h.acquire(Receiving, cost(arrived)/copies*answerCopies, time.Time{})
}

// Received ends the accounting of Receive.
func (h *Hold) Received() {
	if h != nil {
		h.release(Receiving)
	}
}

// Keep accounts for an answer of the given size that has been received, until it is sent. It
// never waits. If the budget is used up, the slowest readers of other answers are evicted.
func (h *Hold) Keep(size int) {
	if h != nil {
		h.charge(size, time.Time{})
	}
}

// Send accounts for an answer of the given size that is about to be written. It never waits.
// If the budget is used up, the slowest holders are evicted, which may include this one. The
// write deadline must have been set before.
func (h *Hold) Send(size int) {
	if h == nil {
		return
	}
	h.charge(size, time.Now())
	h.release(Receiving)
}

// charge raises the bytes of Sending to size. since is when the answer began to be written, or
// zero.
func (h *Hold) charge(size int, since time.Time) {
	if size <= FreeBytes {
		return
	}
	b, more := h.budget, max(int64(size)-h.held[Sending], 0)
	b.mu.Lock()
	h.held[Sending] += more
	after := b.apply(Sending, b.ledgers[Sending].Charge(time.Now(), h.id, more, since))
	b.mu.Unlock()
	after()
}

// Sent ends the accounting of Send.
func (h *Hold) Sent() {
	if h != nil {
		h.release(Sending)
	}
}

// Done ends the accounting of a message and of the answer to it.
func (h *Hold) Done() {
	if h == nil {
		return
	}
	h.since = time.Time{}
	for _, c := range []Class{Messages, Bulk, Receiving, Sending} {
		h.release(c)
	}
}

// SetState accounts for the state of the session in place of the earlier one. It returns
// ErrExhausted, and changes nothing, if the budget does not suffice.
func (h *Hold) SetState(size int) error {
	if h == nil {
		return nil
	}
	need := int64(max(size-FreeBytes, 0))
	b, more := h.budget, need-h.held[State]
	switch {
	case more > 0:
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.ledgers[State].TryAcquire(h.id, more) {
			b.evicted[State]++
			return ErrExhausted
		}
	case more < 0:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ledgers[State].Shrink(h.id, -more)
	}
	h.held[State] = need
	return nil
}

// Evicted reports whether the holder was evicted.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isEvicted
}

// Close returns all bytes of the hold.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.Done()
	h.release(State)
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.holds, h.id)
}

func (h *Hold) setSince(c Class, since time.Time) {
	if h.held[c] == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledgers[c].SetSince(h.id, since)
}

func (h *Hold) release(c Class) {
	if h.held[c] == 0 {
		return
	}
	b := h.budget
	b.mu.Lock()
	h.held[c] = 0
	after := b.apply(c, b.ledgers[c].Release(h.id))
	b.mu.Unlock()
	after()
}

// acquire raises the bytes of a class to need.
func (h *Hold) acquire(c Class, need int64, since time.Time) error {
	more := need - h.held[c]
	if more <= 0 {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	switch {
	case h.isEvicted:
		b.mu.Unlock()
		return ErrEvicted
	case need > b.ledgers[c].Capacity():
		b.evicted[c]++
		b.mu.Unlock()
		return ErrExhausted
	}
	granted, d := b.ledgers[c].Acquire(time.Now(), h.id, more, since)
	var signal chan struct{}
	if !granted {
		signal = make(chan struct{})
		h.granted = signal
	}
	after := b.apply(c, d)
	b.mu.Unlock()
	after()
	if !granted && !h.await(c, signal) {
		return ErrExhausted
	}
	h.held[c] = need
	return nil
}

// await waits until a request is granted, and reports whether it was. Meanwhile it lets the
// ledger evict slow holders.
func (h *Hold) await(c Class, granted <-chan struct{}) bool {
	const ticks = 8
	ticker := time.NewTicker(maxWait / ticks)
	defer ticker.Stop()
	b := h.budget
	for range ticks {
		select {
		case <-granted:
			return true
		case now := <-ticker.C:
			b.mu.Lock()
			after := b.apply(c, b.ledgers[c].Tick(now))
			b.mu.Unlock()
			after()
		}
	}
	b.mu.Lock()
	if h.granted == nil {
		b.mu.Unlock()
		return true
	}
	h.granted = nil
	b.evicted[c]++
	after := b.apply(c, b.ledgers[c].Withdraw(h.id))
	b.mu.Unlock()
	after()
	return false
}
