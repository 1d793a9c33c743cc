package front

import (
	"poplarrouter.example/poplarrouter/internal/chain"
	"poplarrouter.example/poplarrouter/pkg/fault"
)

// Reject logs and counts a request that the protocol refuses without passing it to the filter
// chain.
func (s *Session) Reject(r *chain.Request, err *fault.Error) {
	s.count(r, err)
	chain.LogFault(s.front.options.Log, r, err)
}
