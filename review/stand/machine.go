package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines, as offsets from the first one.
const (
	portReady = iota
	portControl
	portApp
	portInbound
	portOutbound
	portPeers
)

// machine is a machine with a node and, mostly, an endpoint.
type machine struct {
	world    *world
	id, zone string
	ip       string
	service  string
	endpoint *endpoint

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// addMachine adds a machine with an endpoint of the service.
func (w *world) addMachine(zone, service string) *machine {
	number := len(w.machines) + 1
	m := &machine{world: w, id: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("%s.%d", w.network, number), service: service}
	m.endpoint = newEndpoint(m, fmt.Sprintf("i-%s%04d", "7f3a", number))
	w.machines = append(w.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.world.ports+port) }

// fields are the fields of the settings, as the page on the deploy file names them.
func (m *machine) fields() map[string]any {
	return map[string]any{
		"nodeId": m.id, "role": "node", "instanceClass": "sidecar", "ip": m.ip, "zone": m.zone, "region": "region",
		"portRange": []any{m.world.ports + portPeers, m.world.ports + portPeers + 10}, "seeds": []any{}, "heartbeatS": heartbeatPeriod.Seconds(),
		"bounds": m.world.bounds, "appAddr": m.address(portApp), "service": m.service,
		"listenAddrs": map[string]any{
			"inbound": m.address(portInbound), "outbound": m.address(portOutbound), "ready": m.address(portReady), "control": m.address(portControl),
		},
		"limits":   map[string]any{"memoryMb": 284.0, "linkMbps": 1000.0},
		"provider": map[string]any{"address": m.world.store.address, "writesPerS": 400.0, "readsPerS": 2000.0, "historyS": 20.0, "valueBytes": 1048576.0},
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills in the template of the settings as the platform does, as far as the
// project's template needs it.
func fill(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if value := lookUp(fields, parts[1]); value == nil || value == false {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value := lookUp(fields, parts[1])
		if parts[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookUp(value any, path string) any {
	for _, key := range strings.Split(path, ".") {
		switch typed := value.(type) {
		case map[string]any:
			value = typed[key]
		case []any:
			value = typed[int(key[0]-'0')]
		default:
			return nil
		}
	}
	return value
}

// startNode starts the node's process with the command of the deploy file.
func (m *machine) startNode() {
	template, err := os.ReadFile(filepath.Join(m.world.repository, "platform", "node.jsonc"))
	must(err)
	settings := filepath.Join(m.world.dir, m.id+".settings")
	must(os.WriteFile(settings, []byte(fill(string(template), m.fields())), 0o600))
	logFile, err := os.OpenFile(filepath.Join(m.world.dir, m.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	command := exec.Command("target/qhnode", "run")
	command.Dir = m.world.repository
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "QUETZALHAVEN_BOOT=" + settings}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = command, exited
	m.mu.Unlock()
	m.world.record("%s: node starts, process %d", m.id, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = logFile.Close()
		m.world.record("%s: node ended (%v)", m.id, err)
		close(exited)
	}()
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.world.record("%s: node gets %v", m.id, s)
		_ = m.process.Process.Signal(s)
	}
}

// kill ends the node's process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

// isReady asks the node as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(portReady) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
