package main

import (
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is the deployment of one case.
type world struct {
	repository string
	dir        string
	trouble    bool
	start      time.Time
	network    string // the first three numbers of the machines' loopback addresses
	ports      int    // the first of the ports, which are the same on all machines
	store      *store
	machines   []*machine
	bounds     map[string]any

	mu   sync.Mutex
	file *os.File
	done chan struct{}
}

// newWorld starts the store. bounds are those of the page of the smaller deployments.
func newWorld(repository, recordPath string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		repository: repository, dir: dir, trouble: trouble, start: time.Now(), file: file, done: make(chan struct{}),
		bounds: map[string]any{
			"seedLagS": 3.0, "reuseAfterS": 2.0, "contactS": 3.0, "ackS": 4.0, "catchUpS": 4.0, "drainS": 2.0, "graceS": 6.0,
			"lossSlackS": 0.2, "configS": 2.0, "rollbackSlackS": 0.25, "maxSkewS": 5.0, "retryRatio": 0.2, "retryWindowS": 10.0,
			"retrySlack": 60.0, "recoveryS": 15.0,
		},
	}
	if w.network, w.ports, err = freeNetwork(); err != nil {
		return nil, err
	}
	w.store = newStore(w, w.network+".250")
	w.record("trouble=%v; times are seconds since the start of the script", trouble)
	return w, nil
}

// setGrown sets the bounds of the pages of the grown deployments in place of those of the
// small ones.
func (w *world) setGrown(retrySlack float64) {
	for name, value := range map[string]float64{"ackS": 5, "catchUpS": 6, "drainS": 2.5, "configS": 2.5, "retrySlack": retrySlack} {
		w.bounds[name] = value
	}
}

// freeNetwork returns a loopback network and the first port of a free range on it. The
// project's template has the port 9100 besides.
func freeNetwork() (network string, first int, err error) {
	for range 50 {
		var random [4]byte
		_, _ = rand.Read(random[:])
		network := fmt.Sprintf("127.%d.%d", 16+int(random[0])%200, 1+int(random[1])%250)
		first := 20000 + 20*((int(random[2])<<8+int(random[3]))%500)
		if isFree(network, 9100) && isFree(network, first, first+1, first+2, first+3, first+4, first+5) {
			return network, first, nil
		}
	}
	return "", 0, fmt.Errorf("no free loopback network; port 9100 has to be free")
}

func isFree(network string, ports ...int) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.file, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a moment in seconds since the start.
func (w *world) at(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// close ends all processes.
func (w *world) close() {
	close(w.done)
	for _, m := range w.machines {
		m.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range w.machines {
			data, _ := os.ReadFile(filepath.Join(w.dir, m.id+".log"))
			_ = os.WriteFile(filepath.Join(keep, m.id+".log"), data, 0o600)
		}
	}
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// waitUntil panics if the condition does not hold in time.
func (w *world) waitUntil(what string, timeout time.Duration, condition func() bool) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	panic("waited in vain until " + what)
}

// begin starts the nodes and endpoints of all machines and waits until the nodes are
// ready and the endpoints have been known for a while.
func (w *world) begin() {
	for _, m := range w.machines {
		m.startNode()
		if m.endpoint != nil {
			m.endpoint.start()
		}
	}
	for _, m := range w.machines {
		w.waitUntil(m.id+" is ready", 15*time.Second, m.isReady)
	}
	time.Sleep(5 * time.Second) // longer than contactS, and until all know all endpoints
	w.record("all nodes are ready, traffic begins")
}
