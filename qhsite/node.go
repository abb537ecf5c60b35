package qhsite

import (
	"context"
	"encoding/json"
	"net/url"
	"os"
	"path/filepath"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsetting"
)

// Node is a node of the site. Its process is replaced by each Start.
type Node struct {
	*Process
	Settings qhsetting.Node
	// File has the settings.
	File string
	site *Site
}

// addNodes gives every node and target its addresses and writes the settings.
func (s *Site) addNodes(ctx context.Context) error {
	for _, place := range s.Deployment.places() {
		node, err := s.newNode(ctx, place)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, node)
		address, err := s.network.address(ctx, "127.0.0.1")
		if err != nil {
			return err
		}
		s.Targets = append(s.Targets, &Target{ID: place.target, Service: place.service, Node: node, Address: address, site: s})
	}
	for _, node := range s.Nodes {
		node.Settings.Seeds = s.seeds(node)
		if err := node.write(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) newNode(ctx context.Context, place place) (*Node, error) {
	settings := s.Deployment.Node
	settings.ID, settings.Zone = place.node, place.zone
	settings.Platform = s.nodesPlatform
	host := s.network.host(ctx)
	for _, address := range []*qhid.Address{
		&settings.Listen.Callers,
		&settings.Listen.Calls,
		&settings.Listen.Peers,
		&settings.Listen.Targets,
		&settings.Listen.Operators,
	} {
		var err error
		if *address, err = s.network.address(ctx, host); err != nil {
			return nil, err
		}
	}
	node := &Node{Settings: settings, File: filepath.Join(s.Dir, string(place.node)+".jsonc"), site: s}
	if s.cuts == nil {
		return node, nil
	}
	return node, s.addGates(ctx, &node.Settings, host)
}

// addGates puts gates before what other nodes dial.
func (s *Site) addGates(ctx context.Context, settings *qhsetting.Node, host string) error {
	zones := s.Deployment.Zones
	var err error
	settings.Advertise.Peers, err = s.cuts.startGate(ctx, host, settings.Zone, settings.Listen.Peers, zones)
	if err != nil {
		return err
	}
	settings.Advertise.Calls, err = s.cuts.startGate(ctx, host, settings.Zone, settings.Listen.Calls, zones)
	return err
}

// seeds returns the next peers of the node's availability zone in a circle.
func (s *Site) seeds(node *Node) []qhid.Address {
	var zone []*Node
	self := 0
	for _, other := range s.Nodes {
		if other == node {
			self = len(zone)
		}
		if other.Settings.Zone == node.Settings.Zone {
			zone = append(zone, other)
		}
	}
	seeds := []qhid.Address{}
	for i := 1; i < len(zone) && i <= seedsOf; i++ {
		seeds = append(seeds, zone[(self+i)%len(zone)].Settings.AdvertisedAddresses().Peers)
	}
	return seeds
}

func (n *Node) write() error {
	text, err := json.MarshalIndent(n.Settings, "", "\t")
	if err == nil {
		err = os.WriteFile(n.File, text, logMode)
	}
	if err != nil {
		return qherr.New(qherr.Internal, err, "free the disk of temporary files", "can't write the settings of %s", n.Settings.ID)
	}
	return nil
}

// Start starts the node's process. A process before has to have ended.
func (n *Node) Start() error {
	process, err := start(n.site.group, n.site.Dir, string(n.Settings.ID), n.site.Programs.Node, "run", "--settings", n.File)
	if err != nil {
		return err
	}
	n.Process = process
	if n.site.cuts != nil {
		n.site.cuts.started(process, n.Settings.Zone)
	}
	return nil
}

// Ask returns the answer of the operators' API to a GET of path.
func (n *Node) Ask(ctx context.Context, path string) ([]byte, error) {
	return n.site.get(ctx, "http://"+string(n.Settings.Listen.Operators)+path)
}

// Reach returns how many nodes that are not down and how many targets of the
// deployment's services the node knows.
func (n *Node) Reach(ctx context.Context) (nodes, targets int, err error) {
	query := url.Values{}
	for _, service := range n.site.Deployment.Services {
		query.Add("service", string(service.Name))
	}
	text, err := n.Ask(ctx, "/reach?"+query.Encode())
	if err != nil {
		return 0, 0, err
	}
	var reach struct {
		Nodes int
		Zones []struct{ Targets int }
	}
	if err := json.Unmarshal(text, &reach); err != nil {
		return 0, 0, err
	}
	for _, zone := range reach.Zones {
		targets += zone.Targets
	}
	return reach.Nodes, targets, nil
}
