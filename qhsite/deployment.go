// Package qhsite runs a whole deployment as processes on one machine, for the
// demo, the benchmarks and the tests: a fake platform, and for each target a node
// and the test target, with a loopback IP address for each node. It stops all
// processes that it started. No program of the product uses it.
package qhsite

import (
	"fmt"
	"path/filepath"
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsetting"
)

// Files in the folder of a deployment.
const (
	deploymentFile = "deployment.jsonc"
	nodeFile       = "node.jsonc"
)

// Deployment describes a fleet and the configuration changes that the demo makes.
type Deployment struct {
	Name     string      `json:"name" validate:"required,name"`
	Zones    []qhid.Zone `json:"zones" validate:"min=1,unique,dive,name"`
	Services []Service   `json:"services" validate:"min=1,unique=Name,dive"`
	Steps    []Step      `json:"steps" validate:"dive"`
	// Dir is the folder from which the deployment was loaded.
	Dir string `json:"-"`
	// Node holds the settings shared by all nodes.
	Node qhsetting.Node `json:"-" validate:"-"`
}

// Service describes a service of the fleet.
type Service struct {
	Name qhid.Service `json:"name" validate:"required,name"`
	// TargetCount is the number of targets of the service.
	TargetCount int `json:"endpoints" validate:"min=1"`
	// Slots is the number of calls that each target runs at a time.
	Slots int `json:"slots" validate:"min=1"`
	// MaxConnections is the connection limit that each target announces.
	MaxConnections int `json:"connections" validate:"min=1"`
}

// Step is a configuration change and a call that demonstrates its effect.
type Step struct {
	// Intent is the path of an intents file, relative to Deployment.Dir.
	Intent string `json:"intent" validate:"required"`
	Method string `json:"method" validate:"required"`
	Path   string `json:"path" validate:"required"`
}

// LoadDeployment loads a deployment from its folder. Errors are of the kind
// BadInput.
func LoadDeployment(dir string) (Deployment, error) {
	deployment, err := qhsetting.Load(filepath.Join(dir, deploymentFile), qhsetting.Spec[Deployment]{})
	if err != nil {
		return Deployment{}, err
	}
	deployment.Dir = dir
	deployment.Node, err = qhsetting.LoadNode(filepath.Join(dir, nodeFile))
	return deployment, err
}

// vmSpec describes a VM of the fleet, which runs a node and its local target.
type vmSpec struct {
	node    qhid.Node
	zone    qhid.Zone
	target  qhid.Target
	service Service
}

// vmSpecs returns the VMs of the fleet, assigned to the zones round-robin.
func (d Deployment) vmSpecs() []vmSpec {
	var specs []vmSpec
	for _, service := range d.Services {
		for i := range service.TargetCount {
			zone := d.Zones[len(specs)%len(d.Zones)]
			specs = append(specs, vmSpec{
				node:    qhid.Node(fmt.Sprintf("%s-%d", zone, 1+len(specs)/len(d.Zones))),
				zone:    zone,
				target:  qhid.Target(fmt.Sprintf("%s-%d", service.Name, i+1)),
				service: service,
			})
		}
	}
	return specs
}

// Scaled returns a copy of the deployment with the given number of nodes. The
// services keep their proportions, and each has at least one target.
func (d Deployment) Scaled(nodes int) Deployment {
	total := 0
	for _, service := range d.Services {
		total += service.TargetCount
	}
	services := slices.Clone(d.Services)
	remaining := nodes
	for i := len(services) - 1; i > 0; i-- {
		services[i].TargetCount = max(1, services[i].TargetCount*nodes/total)
		remaining -= services[i].TargetCount
	}
	services[0].TargetCount = max(1, remaining)
	d.Services = services
	return d
}
