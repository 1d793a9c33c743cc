package peer

// QueryProof asks a peer how recently its sheet was proven to be the store's newest. It
// reports whether the query was queued.
func (m *Connections) QueryProof(host string, id uint64) bool {
	return m.Send(host, Frame{ProofQuery: &ProofQuery{ID: id}})
}
