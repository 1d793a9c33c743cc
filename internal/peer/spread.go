package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"poplarrouter.example/poplarrouter/internal/book"
	"poplarrouter.example/poplarrouter/internal/duty"
	"poplarrouter.example/poplarrouter/internal/pick"
)

// ConnectedPeers returns the peers that this proxy sends heartbeats to.
func (m *Connections) ConnectedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.hosts))
	for name := range m.hosts {
		names = append(names, name)
	}
	return pick.First(m.options.Host, names, neighbours)
}

// Spread sends a document to the neighbours in this proxy's region, and to a
// few proxies of each other region, which spread it there.
func (m *Connections) Spread(doc book.Doc) {
	for _, host := range m.spreadTargets(doc) {
		m.Send(host, Frame{Doc: &doc})
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

// GossipTargets returns the peers to which a proxy passes a document that is new
// to it: its neighbours in its own region, and the same few proxies of each
// other region that every proxy of this one picks.
func GossipTargets(self, region string, peers []book.Host, doc book.Doc) []string {
	regions := make(map[string][]string)
	for _, h := range peers {
		regions[h.Region] = append(regions[h.Region], h.Name)
	}
	key := fmt.Sprint(doc.Kind, doc.Serial)
	var targets []string
	for other, names := range regions {
		if other == region {
			targets = append(targets, pick.First(self, names, neighbours)...)
			continue
		}
		targets = append(targets, pick.First(key, names, gateways)...)
	}
	slices.Sort(targets)
	return targets
}

// beat is the duty that sends heartbeats.
func (m *Connections) beat(ctx context.Context) error {
	ticker := time.NewTicker(m.options.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		f := m.heartbeat()
		for _, host := range m.beaten() {
			m.Send(host, f)
		}
		for _, address := range m.seeds() {
			m.sendTo(book.Host{Name: address, PeerAddress: address}, f)
		}
	}
}

// beaten returns the peers that get heartbeats: the neighbours, and those that serve the
// same databases.
func (m *Connections) beaten() []string {
	list := append(m.ConnectedPeers(), m.handler.Partners()...)
	slices.Sort(list)
	return slices.Compact(list)
}

func (m *Connections) heartbeat() Frame {
	beat := NewHeartbeat(m.handler.DocumentSet())
	return Frame{Heartbeat: &beat, ConnectionDemand: m.handler.Wants()}
}

// seeds returns the addresses to ask while no list of hosts is known.
func (m *Connections) seeds() []string {
	if m.handler.DocumentSet().Serial(book.Hosts) > 0 {
		return nil
	}
	return m.options.Seeds
}

// answerBeat sends the peer the documents that it lacks.
func (m *Connections) answerBeat(b Heartbeat, answers *duty.Ring[Frame]) {
	held := m.handler.DocumentSet()
	for _, kind := range book.Kinds() {
		if doc, found := held.Doc(kind); found && doc.Serial > b.Serial(kind) {
			answers.Offer(Frame{Doc: &doc})
		}
	}
}
