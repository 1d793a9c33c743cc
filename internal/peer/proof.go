package peer

// QueryProof asks a peer how recently its sheet was proven to be the store's newest. It
// reports whether the query was queued.
func (m *Connections) QueryProof(host string, id uint64) bool {
	return m.Send(host, Frame{ProofQuery: &ProofQuery{ID: id}})
}

// probe sends a heartbeat if none was sent over a connection for one period. A peer that is
// queried for proofs may be no other one's heartbeat target, and a query may have no answer, so
// that otherwise nothing would show that the connection went silent.
func (m *Connections) probe(s stream) error {
	if !s.acks.due(m.options.HeartbeatInterval) {
		return nil
	}
	heartbeat := NewHeartbeat(m.handler.DocumentSet(), m.handler.StoreAge())
	return m.sendFrame(s, Frame{Heartbeat: &heartbeat})
}
