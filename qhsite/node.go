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

// Node is a node of the site. Each Start replaces its Process.
type Node struct {
	*Process
	Settings qhsetting.Node
	// SettingsFile is the path of the file with Settings.
	SettingsFile string
	site         *Site
}

// addNodes adds a node and a target for each VM, assigns their addresses and
// writes the settings of the nodes.
func (s *Site) addNodes(ctx context.Context) error {
	for _, spec := range s.Deployment.vmSpecs() {
		node, err := s.newNode(ctx, spec)
		if err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, node)
		address, err := s.addresses.reserve(ctx, "127.0.0.1")
		if err != nil {
			return err
		}
		s.Targets = append(s.Targets, &Target{ID: spec.target, Service: spec.service, Node: node, Address: address, site: s})
	}
	for _, node := range s.Nodes {
		node.Settings.Seeds = s.seeds(node)
		if err := node.WriteSettings(); err != nil {
			return err
		}
	}
	return nil
}

// newNode returns a node with reserved addresses. Its seeds are not set yet.
func (s *Site) newNode(ctx context.Context, spec vmSpec) (*Node, error) {
	settings := s.Deployment.Node
	settings.ID, settings.Zone = spec.node, spec.zone
	settings.Platform = s.nodePlatformURL
	host := s.addresses.nextHost(ctx)
	for _, address := range []*qhid.Address{
		&settings.Listen.Callers,
		&settings.Listen.ForwardedCalls,
		&settings.Listen.Peers,
		&settings.Listen.Targets,
		&settings.Listen.Operators,
	} {
		var err error
		if *address, err = s.addresses.reserve(ctx, host); err != nil {
			return nil, err
		}
	}
	node := &Node{Settings: settings, SettingsFile: filepath.Join(s.Dir, string(spec.node)+".jsonc"), site: s}
	if s.faults == nil {
		return node, nil
	}
	return node, s.addProxies(ctx, &node.Settings, host)
}

// addProxies starts zone proxies for the addresses to which other nodes connect and
// advertises the addresses of the proxies.
func (s *Site) addProxies(ctx context.Context, settings *qhsetting.Node, host string) error {
	zones := s.Deployment.Zones
	var err error
	settings.Advertise.Peers, err = s.faults.startProxy(ctx, host, settings.Zone, settings.Listen.Peers, zones)
	if err != nil {
		return err
	}
	settings.Advertise.ForwardedCalls, err = s.faults.startProxy(ctx, host, settings.Zone, settings.Listen.ForwardedCalls, zones)
	return err
}

// seeds returns the peer addresses of up to maxSeeds nodes that follow the node in
// its availability zone. After the last node it continues with the first.
func (s *Site) seeds(node *Node) []qhid.Address {
	var sameZone []*Node
	self := 0
	for _, other := range s.Nodes {
		if other == node {
			self = len(sameZone)
		}
		if other.Settings.Zone == node.Settings.Zone {
			sameZone = append(sameZone, other)
		}
	}
	seeds := []qhid.Address{}
	for i := 1; i < len(sameZone) && i <= maxSeeds; i++ {
		seeds = append(seeds, sameZone[(self+i)%len(sameZone)].Settings.AdvertisedAddresses().Peers)
	}
	return seeds
}

// WriteSettings writes the settings file, which the process reads when it starts and when it changes.
func (n *Node) WriteSettings() error {
	text, err := json.MarshalIndent(n.Settings, "", "\t")
	if err == nil {
		err = os.WriteFile(n.SettingsFile, text, fileMode)
	}
	if err != nil {
		return qherr.New(qherr.Internal, err, "free space on the disk for temporary files", "cannot write the settings of node %s", n.Settings.ID)
	}
	return nil
}

// Start starts the node's process. The previous process must have exited.
func (n *Node) Start() error {
	process, err := startProcess(n.site.group, n.site.Dir, string(n.Settings.ID), n.site.Programs.Node, "run", "--settings", n.SettingsFile)
	if err != nil {
		return err
	}
	n.Process = process
	if n.site.faults != nil {
		n.site.faults.registerProcess(process, n.Settings.Zone)
	}
	return nil
}

// OperatorGet sends a GET request to the node's operator API and returns the
// response body.
func (n *Node) OperatorGet(ctx context.Context, path string) ([]byte, error) {
	return n.site.get(ctx, "http://"+string(n.Settings.Listen.Operators)+path)
}

// KnownMembers returns the number of nodes that the node does not consider down and
// the number of targets that it knows of the services of the deployment.
func (n *Node) KnownMembers(ctx context.Context) (nodes, targets int, err error) {
	query := url.Values{}
	for _, service := range n.site.Deployment.Services {
		query.Add("service", string(service.Name))
	}
	text, err := n.OperatorGet(ctx, "/reach?"+query.Encode())
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
