package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/pick"
)

// ConnectedPeers returns the peers to which this proxy sends heartbeats.
func (m *Connections) ConnectedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.hosts))
	for name := range m.hosts {
		names = append(names, name)
	}
	return pick.First(m.options.Host, names, gossipPeers)
}

// Spread broadcasts a document: it offers it to the gossip peers in this proxy's region,
// and to a few proxies of each other region, which pass it on there.
func (m *Connections) Spread(doc book.Doc) {
	for _, host := range m.spreadTargets(doc) {
		m.Send(host, Frame{Offer: &Offer{Kind: doc.Kind, Serial: doc.Serial}})
	}
}

func (m *Connections) spreadTargets(doc book.Doc) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := make([]book.Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		hosts = append(hosts, h)
	}
	return GossipTargets(m.options.Host, m.options.Region, hosts, doc)
}

// GossipTargets returns the peers to which a proxy passes a document that is new to
// it: its gossip peers in its own region, and a few proxies of each other region.
// Every proxy of a region picks the same ones there.
func GossipTargets(self, region string, peers []book.Host, doc book.Doc) []string {
	regions := make(map[string][]string)
	for _, h := range peers {
		regions[h.Region] = append(regions[h.Region], h.Name)
	}
	key := fmt.Sprint(doc.Kind, doc.Serial)
	var targets []string
	for other, names := range regions {
		if other == region {
			targets = append(targets, pick.First(self, names, gossipPeers)...)
			continue
		}
		targets = append(targets, pick.First(key, names, gatewayPeers)...)
	}
	slices.Sort(targets)
	return targets
}

// sendHeartbeats is the background task that sends heartbeats.
func (m *Connections) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(m.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		f := m.heartbeat()
		for _, host := range m.heartbeatTargets() {
			m.Send(host, f)
		}
		for _, address := range m.seeds() {
			m.sendTo(book.Host{Name: address, PeerAddress: address}, f)
		}
	}
}

// heartbeatTargets returns the peers that receive heartbeats: the connected peers, and
// those that serve the same databases.
func (m *Connections) heartbeatTargets() []string {
	list := append(m.ConnectedPeers(), m.handler.Partners()...)
	slices.Sort(list)
	return slices.Compact(list)
}

func (m *Connections) heartbeat() Frame {
	heartbeat := NewHeartbeat(m.handler.DocumentSet(), m.handler.StoreAge())
	return Frame{Heartbeat: &heartbeat, ConnectionDemand: m.handler.Wants()}
}

// seeds returns the addresses that receive heartbeats while no list of hosts is known.
func (m *Connections) seeds() []string {
	if m.handler.DocumentSet().Serial(book.Hosts) > 0 {
		return nil
	}
	return m.options.Seeds
}
