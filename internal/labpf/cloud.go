package labpf

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud takes orders for promotions.
type cloud struct {
	group *Group

	mu   sync.Mutex
	seen map[string]uint64
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil || r.Header.Get("X-Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lost, late := c.group.nextOrder()
	if lost {
		time.AfterFunc(late, func() { c.carryOut(order.Service, order.ID, token) })
		hang(w)
		return
	}
	w.WriteHeader(c.carryOut(order.Service, order.ID, token))
}

// carryOut checks the token at the moment at which the order takes effect.
func (c *cloud) carryOut(service, id string, token uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.seen[service] {
		return http.StatusConflict
	}
	c.seen[service] = token
	if service != Database || !c.group.Promote(id) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// hang ends the connection without an answer.
func hang(w http.ResponseWriter) {
	if h, able := w.(http.Hijacker); able {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}
