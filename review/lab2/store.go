//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"poplarrouter.example/poplarrouter/internal/labpf"
)

// platform is the store of the project's own stand-in, and the call that promotes.
type platform struct {
	objects *labpf.Objects
	// peers gives the address under which a proxy is listed for its own address, so that a link
	// stands between the proxies. It may be nil.
	peers func(host, address string) string
}

// plain removes a header that is not on the platform's pages.
type plain struct{ http.ResponseWriter }

func (p plain) WriteHeader(status int) {
	p.Header().Del("Store-Era")
	p.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.peers != nil && r.Method != http.MethodGet && strings.Contains(r.URL.Path, "/proxies") {
		r.Body = p.listed(r.Body)
	}
	p.objects.ServeHTTP(plain{w}, r)
}

// listed replaces the peer address in the entry of a proxy.
func (p *platform) listed(body io.ReadCloser) io.ReadCloser {
	raw, _ := io.ReadAll(body)
	var object struct {
		Meta json.RawMessage `json:"meta"`
		Spec map[string]any  `json:"spec"`
	}
	if json.Unmarshal(raw, &object) == nil && object.Spec != nil {
		host, _ := object.Spec["Name"].(string)
		address, _ := object.Spec["PeerAddress"].(string)
		object.Spec["PeerAddress"] = p.peers(host, address)
		raw, _ = json.Marshal(object)
	}
	return io.NopCloser(bytes.NewReader(raw))
}

// serve serves HTTP on a free loopback address.
func serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// register writes the entry of a database.
func (p *platform) register(g *group, m *member, state string) {
	g.mu.Lock()
	role := "replica"
	if m.leads {
		role = "primary"
	}
	g.mu.Unlock()
	p.objects.Put("servers", m.id, map[string]any{
		"service": g.service, "address": m.address(), "zone": m.zone, "version": "v1", "slots": 5, "state": state, "cold_remaining_ms": 0, "db_role": role, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
}

// route is a route of the configuration.
type route struct {
	name, kind string
	private    bool
}

// configure writes the configuration.
func (p *platform) configure(version int, services []string, routes []route, tenants any) {
	var list, groups []map[string]any
	for i, r := range routes {
		entry := map[string]any{
			"name": r.name + "-work", "database": r.name, "type": r.kind, "timeout_ms": 1000, "target_latency_ms": 4000, "priority": i, "service": services[0],
		}
		if r.kind != "primary" {
			entry["max_staleness_ms"] = 1500
		}
		if r.private {
			entry["public"] = false
		}
		list = append(list, entry)
	}
	for _, s := range services {
		groups = append(groups, map[string]any{"name": s, "max_conns": 60, "sync_replicas": 1})
	}
	config := map[string]any{"version": version, "routes": list, "services": groups, "limits": map[string]any{"tx_idle_ms": 3000}}
	if tenants != nil {
		config["tenants"] = tenants
	}
	p.objects.Put("config", "main", config)
}
