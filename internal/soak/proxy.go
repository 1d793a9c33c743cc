package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"poplarrouter.example/poplarrouter/internal/config"
	"poplarrouter.example/poplarrouter/internal/labpf"
	"poplarrouter.example/poplarrouter/internal/labset"
)

// proxy is a proxy that runs as a process of its own, or is to be started again.
type proxy struct {
	settings config.Settings
	program  string
	file     string
	log      string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// The times of a proxy that is told to end: those of the users' sites, but for a shorter
// wait for a balancer, which the callers of a soak do without.
const (
	grace  = 6 * time.Second
	linger = 300 * time.Millisecond
)

func (r *run) newProxy(i int) (*proxy, error) {
	s := config.Default()
	s.Host, s.DataCentre = fmt.Sprint("front-", i+1), labpf.DataCentre(i)
	s.Regions = labpf.Regions()
	s.Region = s.Regions[s.DataCentre]
	s.Protocol = config.Lines
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress} {
		free, err := labset.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	s.Seeds = []string{}
	s.StoreAddress, s.PromoteAddress = r.store.address(), r.platform.CloudAddress()
	// Soaks beside each other take addresses that the others had.
	s.PeerSecret, s.OperatorSecret = fmt.Sprint("a secret of the soak of process ", os.Getpid()), "a secret of the soak"
	s.Timing.PollMs, s.Timing.WatchMs = 100, 1000
	s.Timing.GraceMs, s.Timing.LingerMs = config.Millis(grace.Milliseconds()), config.Millis(linger.Milliseconds())
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		settings: s, program: r.options.Program,
		file: filepath.Join(r.options.Dir, s.Host+".json"), log: filepath.Join(r.options.Dir, s.Host+".log"),
	}
	const readable = 0o600
	return p, os.WriteFile(p.file, raw, readable)
}

// start starts the process. Its log goes on where that of the last one ended.
func (p *proxy) start() error {
	const readable = 0o600
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, readable)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	// The soak ends the process itself.
	command := exec.CommandContext(context.Background(), p.program, "serve", "-settings", p.file) //nolint:gosec // the program that the soak is for
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that the soak started.
func (p *proxy) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// kill ends the process at once.
func (p *proxy) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate asks the process to end. It returns its exit code, and whether it ended in
// the time that it has.
func (p *proxy) terminate() (code int, inTime bool) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode(), true
	case <-time.After(grace):
		// It leaves the stacks of its goroutines in its log.
		p.signal(syscall.SIGQUIT)
		<-p.ended
		return 0, false
	}
}

func (p *proxy) end() {
	if p.command != nil {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
}

// serves tells whether the proxy reports itself ready.
func (p *proxy) serves() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return labset.Ready(ctx, p.settings.OperatorAddress)
}

// NotReadyError reports a proxy that does not become ready. Ended tells that its process
// has ended by itself, such as one whose address another process took meanwhile.
type NotReadyError struct {
	Host  string
	Ended bool
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("await proxy %s: not ready (process has ended: %v)", e.Host, e.Ended)
}

// running tells whether the process has not ended.
func (p *proxy) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// ready waits until all proxies are ready.
func (r *run) ready(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range r.proxies {
		for !p.running() || !p.serves() {
			if !p.running() || time.Now().After(deadline) {
				return &NotReadyError{Host: p.settings.Host, Ended: !p.running()}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (p *proxy) dial() (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", p.settings.CallerAddress)
}
