// Package crowd_test checks that a proxy process stays within the memory and the file
// descriptors of its machine while callers misbehave. Each test starts the programs as
// processes on loopback, lets a crowd of callers misbehave in one way, and checks that the
// process lives, that its peak resident memory and its open descriptors stayed under the
// machine's limits, and that an ordinary request is answered afterwards. Nothing is checked
// of times, or of how many of the crowd's requests are served.
//
// The tests must not run beside each other. They are not parallel, and a lock file keeps
// those of other processes apart.
package crowd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"poplarrouter.example/poplarrouter/internal/app"
	"poplarrouter.example/poplarrouter/internal/config"
)

// The machine of the tests. Its memory is that of the smallest host of the stated range of 136
// to 536 MB, and its descriptors are fewer than the stated 3,010 to 8,192, so that a small
// crowd reaches them.
const (
	machineMemoryMB    = 136
	machineDescriptors = 512
)

const (
	// bytesPerMB makes the bound the stricter of the two meanings of MB.
	bytesPerMB = 1_000_000
	// patience bounds the wait for each step of a test.
	patience = time.Minute
	// legalBytes is the size of the largest message that callers may send.
	legalBytes = 1 << 20
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "poplarrouter-crowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = lock.Close() }()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		fmt.Println(err)
		return 1
	}
	if programs, err = os.MkdirTemp("", "crowd"); err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(programs) }()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "poplarrouter.example/poplarrouter/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Println(string(out))
		return 1
	}
	return m.Run()
}

// site is a proxy process with the stand-ins that it needs.
type site struct {
	*WithT
	t        *testing.T
	dir      string
	settings config.Settings
	proxy    *exec.Cmd
	// ended is closed when the proxy process has ended.
	ended chan struct{}
	// stop ends the task that samples the process, and descriptors is the largest number of
	// open descriptors that it saw.
	stop        chan struct{}
	sampled     sync.WaitGroup
	descriptors atomic.Int64
}

func newSite(t *testing.T) *site {
	s := &site{WithT: NewWithT(t), t: t, dir: t.TempDir(), ended: make(chan struct{}), stop: make(chan struct{})}
	s.SetDefaultEventuallyTimeout(patience)
	s.SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	return s
}

// limit returns settings with the limits of the tests' machine.
func limit(settings config.Settings) config.Settings {
	settings.Limits.MemoryMB, settings.Limits.Descriptors = machineMemoryMB, machineDescriptors
	return settings
}

// start runs a program until the test ends.
func (s *site) start(log io.Writer, program string, args ...string) *exec.Cmd {
	p := exec.Command(filepath.Join(programs, program), args...) //nolint:gosec // a program that the test built
	p.Stdout, p.Stderr = log, log
	s.Expect(p.Start()).To(Succeed())
	return p
}

// stopProcess ends a process that the test started.
func stopProcess(p *exec.Cmd) {
	_ = p.Process.Kill()
	_ = p.Wait()
}

func (s *site) write(name string, body any) string {
	raw, ok := body.([]byte)
	if !ok {
		var err error
		raw, err = json.Marshal(body)
		s.Expect(err).NotTo(HaveOccurred())
	}
	path := filepath.Join(s.dir, name)
	s.Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	return path
}

// startProxy starts the proxy, waits until it is ready, and samples its descriptors from then
// on.
func (s *site) startProxy(settings config.Settings) {
	settings.Seeds = []string{}
	s.settings = settings
	logPath := filepath.Join(s.dir, "proxy.log")
	log, err := os.Create(logPath)
	s.Expect(err).NotTo(HaveOccurred())
	s.proxy = s.start(log, "poplarrouter", "serve", "-settings", s.write("proxy.json", settings))
	go func() {
		_ = s.proxy.Wait()
		close(s.ended)
	}()
	s.t.Cleanup(func() {
		_ = s.proxy.Process.Kill()
		<-s.ended
		if s.t.Failed() {
			s.t.Log("end of the proxy's log:\n" + tail(logPath))
		}
		_ = log.Close()
	})
	s.Eventually(func() (int, error) {
		response, err := http.Get("http://" + settings.OperatorAddress + app.PathReady)
		if err != nil {
			return 0, err
		}
		_ = response.Body.Close()
		return response.StatusCode, nil
	}).Should(Equal(http.StatusOK))
	s.sampled.Go(s.sample)
}

// tail returns the last lines of a file.
func tail(path string) string {
	const tailBytes = 4000
	raw, _ := os.ReadFile(path)
	return string(raw[max(0, len(raw)-tailBytes):])
}

func (s *site) sample() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		entries, _ := os.ReadDir(s.file("fd"))
		s.descriptors.Store(max(s.descriptors.Load(), int64(len(entries))))
	}
}

// file returns the path of a file of the proxy process.
func (s *site) file(name string) string {
	return filepath.Join("/proc", strconv.Itoa(s.proxy.Process.Pid), name)
}

// peakMemory returns the peak resident memory of the proxy process, in bytes.
func (s *site) peakMemory() int64 {
	raw, err := os.ReadFile(s.file("status"))
	s.Expect(err).NotTo(HaveOccurred(), "the process lives")
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			s.Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	s.t.Fatal("the status of the process contains no VmHWM")
	return 0
}

// check checks the proxy after a crowd has misbehaved. The given function runs an ordinary
// request.
func (s *site) check(ordinary func() error) {
	s.t.Helper()
	close(s.stop)
	s.sampled.Wait()
	select {
	case <-s.ended:
		s.t.Fatalf("the proxy process has ended: %s", s.proxy.ProcessState)
	default:
	}
	memory, descriptors := s.peakMemory(), s.descriptors.Load()
	s.t.Logf("peak resident memory %d MB of %d, descriptors %d of %d", memory/bytesPerMB, machineMemoryMB, descriptors, machineDescriptors)
	if memory > machineMemoryMB*bytesPerMB {
		s.t.Errorf("peak resident memory: got %d bytes, want at most %d", memory, machineMemoryMB*bytesPerMB)
	}
	if descriptors > machineDescriptors {
		s.t.Errorf("open descriptors: got %d, want at most %d", descriptors, machineDescriptors)
	}
	s.Eventually(ordinary).Should(Succeed(), "an ordinary request is answered")
}

// misbehave runs a crowd: each caller in a goroutine of its own, until all have returned. The
// callers ignore errors, since a caller that misbehaves may be refused or disconnected.
func misbehave(callers int, caller func(i int)) {
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() { caller(i) })
	}
	running.Wait()
}

// The time for which a caller holds what it has sent, and the time after which a write or a
// read that makes no progress ends.
const (
	holdTime  = 3 * time.Second
	callLimit = 10 * time.Second
)

// send writes a message in pieces of the given size, and reports whether all was written.
func send(conn net.Conn, message []byte, piece int) bool {
	for len(message) > 0 {
		n := min(piece, len(message))
		_ = conn.SetWriteDeadline(time.Now().Add(callLimit))
		if _, err := conn.Write(message[:n]); err != nil {
			return false
		}
		message = message[n:]
	}
	return true
}

// drain reads and discards what the proxy sends, until it sends nothing for the given time or
// closes the connection.
func drain(conn net.Conn, idle time.Duration) {
	buffer := make([]byte, 1<<14)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idle))
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// filler returns text of the given length.
func filler(length int) string { return string(bytes.Repeat([]byte("x"), length)) }
