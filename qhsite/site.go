package qhsite

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
)

const (
	// pollPeriod is the polling period of waitUntil.
	pollPeriod = 25 * time.Millisecond
	// maxSeeds is the maximum number of seeds of a node, all in its availability
	// zone.
	maxSeeds = 3
	// requestTimeout bounds an HTTP request to a process.
	requestTimeout = 10 * time.Second
	// maxIdleConnections is the maximum number of idle connections to a process.
	maxIdleConnections = 32
)

// Programs holds the paths of the executables of qhnode, qhctl and qhstand.
type Programs struct {
	Node, Ctl, Stand string
}

// ProgramsIn returns the paths of the programs in a folder, under the names that
// make build gives them.
func ProgramsIn(dir string) Programs {
	return Programs{
		Node:  filepath.Join(dir, "qhnode"),
		Ctl:   filepath.Join(dir, "qhctl"),
		Stand: filepath.Join(dir, "qhstand"),
	}
}

// Options configures New.
type Options struct {
	Programs   Programs
	Deployment Deployment
	// Dir is the folder for settings and logs. If it is empty, New creates a
	// temporary folder, which the cleanup function removes.
	Dir string
	// Partitionable inserts forwarders between the processes, which Partition, Heal
	// and Blackhole need.
	Partitionable bool
	// TargetArgs are additional command-line arguments of every target.
	TargetArgs []string
}

// Site is a running deployment.
type Site struct {
	Options
	// PlatformURL is the base URL of the fake platform.
	PlatformURL string
	// Nodes are in the order of the VMs of the deployment.
	Nodes []*Node
	// Targets are in the order of Nodes: each runs on the VM of the node with the
	// same index.
	Targets []*Target

	group     *qhgroup.Group
	addresses *addressPool
	client    *http.Client
	// faults is nil unless the site is Partitionable.
	faults *networkFaults
	// nodePlatformURL is the base URL of the platform in the settings of the nodes:
	// a zone proxy if the site is Partitionable, otherwise the fake platform.
	nodePlatformURL string
}

// New starts a deployment and returns once the operator API of every node
// responds. The cleanup function stops all processes and waits until they have
// exited.
func New(ctx context.Context, options Options) (*Site, func(), error) {
	removeDir := func() {}
	if options.Dir == "" {
		dir, err := os.MkdirTemp("", "qhsite-")
		if err != nil {
			return nil, nil, qherr.New(qherr.Internal, err, "free space on the disk for temporary files", "cannot create a temporary folder for the site")
		}
		options.Dir = dir
		removeDir = func() { _ = os.RemoveAll(dir) }
	}
	group, stop := qhgroup.New(context.WithoutCancel(ctx))
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	site := &Site{
		Options:   options,
		group:     group,
		addresses: newAddressPool(),
		client:    &http.Client{Transport: transport, Timeout: requestTimeout},
	}
	cleanup := func() {
		stop()
		transport.CloseIdleConnections()
		removeDir()
	}
	if err := site.start(ctx); err != nil {
		cleanup()
		return nil, nil, err
	}
	return site, cleanup, nil
}

// start starts the platform, the nodes and the targets.
func (s *Site) start(ctx context.Context) error {
	if s.Partitionable {
		s.faults = newNetworkFaults(s.group)
	}
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	if err := s.addNodes(ctx); err != nil {
		return err
	}
	s.addresses.release()
	for _, node := range s.Nodes {
		if err := node.Start(); err != nil { //nolint:contextcheck // the process outlives ctx
			return err
		}
	}
	for _, target := range s.Targets {
		if err := target.Start(); err != nil { //nolint:contextcheck // the process outlives ctx
			return err
		}
	}
	return s.waitNodesReady(ctx)
}

// startPlatform starts the fake platform and sets its URLs.
func (s *Site) startPlatform(ctx context.Context) error {
	process, err := startProcess(s.group, s.Dir, "platform", s.Programs.Stand, "platform", "--listen", "127.0.0.1:0") //nolint:contextcheck // the process outlives ctx
	if err != nil {
		return err
	}
	address, err := process.readAddress(ctx)
	if err != nil {
		return err
	}
	s.PlatformURL = "http://" + string(address)
	s.nodePlatformURL = s.PlatformURL
	if s.faults == nil {
		return nil
	}
	address, err = s.faults.startProxy(ctx, "127.0.0.1", PlatformZone, address, s.Deployment.Zones)
	s.nodePlatformURL = "http://" + string(address)
	return err
}

// waitNodesReady waits until the operator API of every node responds.
func (s *Site) waitNodesReady(ctx context.Context) error {
	for _, node := range s.Nodes {
		err := s.waitUntil(ctx, func() (bool, error) {
			select {
			case <-node.Done():
				return false, node.exitError()
			default:
			}
			_, err := node.OperatorGet(ctx, "/status")
			return err == nil, nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// WaitMembers waits until every node knows all nodes and all targets of the
// deployment.
func (s *Site) WaitMembers(ctx context.Context) error {
	for _, node := range s.Nodes {
		err := s.waitUntil(ctx, func() (bool, error) {
			nodes, targets, err := node.KnownMembers(ctx)
			return err == nil && nodes == len(s.Nodes) && targets == len(s.Targets), nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitUntil polls the condition until it is true or returns an error, or ctx is
// done.
func (s *Site) waitUntil(ctx context.Context, condition func() (bool, error)) error {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		ok, err := condition()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
