//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// proxy is a process of the project's program.
type proxy struct {
	name, callers, peers, operator string

	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// customers are the settings that a deployment with tenants has. Nil stands for one without.
type customers struct {
	strict bool
}

// freeAddresses returns different loopback addresses at which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		list = append(list, listener.Addr().String())
	}
	return list, nil
}

var regions = map[string]string{"csepel": "budapest", "ujpest": "budapest", "hajdu": "debrecen"}

// startProxy starts a proxy. It tries again with other addresses if the process ends at once, because
// another one took an address of it meanwhile.
func startProxy(dir, name, zone, storeAddress, promoteAddress string, c *customers) (*proxy, error) {
	const tries, settled = 3, 300 * time.Millisecond
	for range tries {
		p, err := launch(dir, name, zone, storeAddress, promoteAddress, c)
		if err != nil {
			return nil, err
		}
		select {
		case <-p.ended:
		case <-time.After(settled):
			return p, nil
		}
	}
	return nil, fmt.Errorf("%s ends at once", name)
}

// launch starts a process as the deploy file does, with the settings that its template gives.
func launch(dir, name, zone, storeAddress, promoteAddress string, c *customers) (*proxy, error) {
	free, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	p := &proxy{name: name, callers: free[0], peers: free[1], operator: free[2], ended: make(chan struct{})}
	settings := map[string]any{
		"Host": name, "DataCentre": zone, "Region": regions[zone], "Protocol": "Lines",
		"CallerAddress": p.callers, "OperatorAddress": p.operator, "PeerAddress": p.peers,
		"StoreAddress": storeAddress, "PromoteAddress": promoteAddress, "Regions": regions,
		"ProcessorShare": 0.4, "ProcessorSpeed": 1, "PromotionDeposes": true,
		"PeerSecret": "peers of the entry hosts", "OperatorSecret": "operators of the entry hosts",
		"Limits": map[string]any{"CallerConnections": 3000, "InFlight": 2000, "Queue": 500, "MemoryMB": 284, "Descriptors": 4200},
		"Timing": map[string]any{"PollMs": 200, "AskTimeoutMs": 500, "SuspectMs": 1000, "BeatMs": 1000, "ApplyMs": "4000ms", "GraceMs": "6s", "LingerMs": 2200, "IdleCheckMs": 5000},
	}
	if c != nil {
		settings["Customers"] = map[string]any{"StrictRevocation": c.strict, "RevokeMs": "5000ms", "CapWindowMs": "5s", "CapOverage": 0.1, "CapSlack": 20}
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command("target/poplarrouter", "serve")
	p.command.Env = append(os.Environ(), "POPLARROUTER_NODE_FILE="+file)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *proxy) stop() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// awaitReady waits until the proxy reports itself ready.
func (p *proxy) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + p.operator + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", p.name, limit)
}
