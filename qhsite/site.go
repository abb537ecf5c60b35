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
	// pollEvery is the period of questions to a process that is waited for.
	pollEvery = 25 * time.Millisecond
	// seedsOf is how many peers of its availability zone a node has as seeds.
	seedsOf = 3
	// askTimeout bounds one question to a process.
	askTimeout = 10 * time.Second
	// idleConnections is how many connections to a process wait for more calls.
	idleConnections = 32
)

// Programs are the paths of the programs.
type Programs struct {
	Node, Ctl, Stand string
}

// ProgramsIn returns the programs that make build puts into a folder.
func ProgramsIn(dir string) Programs {
	return Programs{
		Node:  filepath.Join(dir, "qhnode"),
		Ctl:   filepath.Join(dir, "qhctl"),
		Stand: filepath.Join(dir, "qhstand"),
	}
}

// Options are the options of New.
type Options struct {
	Programs   Programs
	Deployment Deployment
	// Dir takes settings and logs; empty makes a folder that the clean-up removes.
	Dir string
	// Cuttable puts forwarders between the processes, so that Cut works.
	Cuttable bool
	// Target has more arguments for every target.
	Target []string
}

// Site is a running deployment.
type Site struct {
	Options
	// Platform is the base URL of the platform's stand-in.
	Platform string
	// Nodes are ordered as the deployment places them.
	Nodes []*Node
	// Targets are ordered like Nodes: each stands on the VM of its node.
	Targets []*Target

	group   *qhgroup.Group
	network *network
	client  *http.Client
	// cuts is nil where the site is not cuttable.
	cuts *cuts
	// nodesPlatform is Platform as the nodes reach it.
	nodesPlatform string
}

// New starts a deployment and returns once every process answers. The clean-up
// ends all processes and waits for them.
func New(ctx context.Context, options Options) (*Site, func(), error) {
	removeDir := func() {}
	if options.Dir == "" {
		dir, err := os.MkdirTemp("", "qhsite-")
		if err != nil {
			return nil, nil, qherr.New(qherr.Internal, err, "free the disk of temporary files", "can't make a folder for the site")
		}
		options.Dir = dir
		removeDir = func() { _ = os.RemoveAll(dir) }
	}
	group, stop := qhgroup.New(context.WithoutCancel(ctx))
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	site := &Site{
		Options: options,
		group:   group,
		network: newNetwork(),
		client:  &http.Client{Transport: transport, Timeout: askTimeout},
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

func (s *Site) start(ctx context.Context) error {
	if s.Cuttable {
		s.cuts = newCuts(s.group)
	}
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	if err := s.addNodes(ctx); err != nil {
		return err
	}
	s.network.release()
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
	return s.waitAnswers(ctx)
}

func (s *Site) startPlatform(ctx context.Context) error {
	process, err := start(s.group, s.Dir, "platform", s.Programs.Stand, "platform", "--listen", "127.0.0.1:0") //nolint:contextcheck // the process outlives ctx
	if err != nil {
		return err
	}
	address, err := process.address(ctx)
	if err != nil {
		return err
	}
	s.Platform = "http://" + string(address)
	s.nodesPlatform = s.Platform
	if s.cuts == nil {
		return nil
	}
	address, err = s.cuts.startGate(ctx, "127.0.0.1", PlatformZone, address, s.Deployment.Zones)
	s.nodesPlatform = "http://" + string(address)
	return err
}

// waitAnswers waits until every node answers its operators.
func (s *Site) waitAnswers(ctx context.Context) error {
	for _, node := range s.Nodes {
		err := s.wait(ctx, func() (bool, error) {
			select {
			case <-node.Done():
				return false, node.gone()
			default:
			}
			_, err := node.Ask(ctx, "/status")
			return err == nil, nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// WaitMembers waits until every node counts all nodes as members and all
// targets of the deployment.
func (s *Site) WaitMembers(ctx context.Context) error {
	for _, node := range s.Nodes {
		err := s.wait(ctx, func() (bool, error) {
			nodes, targets, err := node.Reach(ctx)
			return err == nil && nodes == len(s.Nodes) && targets == len(s.Targets), nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// wait asks done until it is so, fails or the context ends.
func (s *Site) wait(ctx context.Context, done func() (bool, error)) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		ok, err := done()
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
