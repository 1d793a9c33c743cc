//go:build review

package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Zones are the zones of a small deployment.
var Zones = []string{"mobile-yard", "charlotte-yard", "biloxi-yard"}

// Regions gives the region of each zone.
var Regions = map[string]string{"mobile-yard": "gulf-south", "charlotte-yard": "piedmont", "biloxi-yard": "gulf-south"}

// Proxy is a proxy as a process of its own.
type Proxy struct {
	Name   string
	Caller string
	ready  string
	cmd    *exec.Cmd
}

var (
	startedMu sync.Mutex
	started   []*os.Process
)

// KillOnSignal ends all proxies and this process with the given code when it is told to stop.
func KillOnSignal(code int) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		startedMu.Lock()
		for _, p := range started {
			_ = p.Kill()
		}
		os.Exit(code)
	}()
}

// StartProxy starts a proxy with the command of the deploy file and settings that the
// template would give.
func StartProxy(folder, name, zone, store, cloud string) (*Proxy, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"Host": name, "DataCentre": zone, "Region": Regions[zone], "Protocol": "Lines",
		"CallerAddress": addresses[0], "OperatorAddress": addresses[1], "PeerAddress": addresses[2],
		"StoreAddress": store, "PromoteAddress": cloud, "Regions": Regions, "ProcessorShare": 0.4, "ProcessorSpeed": 1,
		"PromotionDeposes": true, "PeerSecret": "peers of the entry hosts", "OperatorSecret": "operators of the entry hosts",
		"Limits": map[string]any{"CallerConnections": 3000, "InFlight": 2000, "Queue": 500},
		"Timing": map[string]any{
			"PollMs": 200, "AskTimeoutMs": 500, "SuspectMs": 1000, "BeatMs": 1000, "ApplyMs": "4000ms", "GraceMs": "6s", "LingerMs": 2200, "IdleCheckMs": 5000,
		},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{Name: name, Caller: addresses[0], ready: addresses[1], cmd: exec.Command("target/poplarrouter", "serve")}
	p.cmd.Env = append(os.Environ(), "POPLARROUTER_NODE_FILE="+path)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	startedMu.Lock()
	defer startedMu.Unlock()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	started = append(started, p.cmd.Process)
	return p, nil
}

// Kill ends the process.
func (p *Proxy) Kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// Freeze stops the process, and Wake continues it.
func (p *Proxy) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Wake continues the process.
func (p *Proxy) Wake() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Ready reports whether the proxy says that it is ready.
func (p *Proxy) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all proxies are ready.
func AwaitReady(proxies []*Proxy, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range proxies {
		for !p.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// The ports of proxies lie below those that the system gives to outgoing connections.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddresses returns loopback addresses with ports that are free now.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprint("127.0.0.1:", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		if list = append(list, address); len(list) == n {
			return list, nil
		}
	}
	return nil, errors.New("no free ports")
}

// ServeCloud starts the platform's call that promotes.
func ServeCloud(g *Group) (string, error) { return serveHTTP(g) }
