// Package qhsite runs a whole deployment as processes of one machine, for the
// demo, the measurements and the tests: the platform's stand-in, and for each
// endpoint a target and a node with an IP number of their own. It ends all
// that it started. No program of the product uses it.
package qhsite

import (
	"fmt"
	"path/filepath"
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsetting"
)

// The files of a deployment's folder.
const (
	deploymentFile = "deployment.jsonc"
	nodeFile       = "node.jsonc"
)

// Deployment is a fleet and the changes that the demo makes to it.
type Deployment struct {
	Name     string      `json:"name" validate:"required,name"`
	Zones    []qhid.Zone `json:"zones" validate:"min=1,unique,dive,name"`
	Services []Service   `json:"services" validate:"min=1,unique=Name,dive"`
	Steps    []Step      `json:"steps" validate:"dive"`
	// Dir is the folder that the deployment was read from.
	Dir string `json:"-"`
	// Node has the settings that all nodes share.
	Node qhsetting.Node `json:"-" validate:"-"`
}

// Service is a service of the fleet.
type Service struct {
	Name qhid.Service `json:"name" validate:"required,name"`
	// Endpoints is the number of its targets.
	Endpoints   int `json:"endpoints" validate:"min=1"`
	Slots       int `json:"slots" validate:"min=1"`
	Connections int `json:"connections" validate:"min=1"`
}

// Step is a change and a call that shows it.
type Step struct {
	// Intent is a file, relative to the deployment's folder.
	Intent string `json:"intent" validate:"required"`
	Method string `json:"method" validate:"required"`
	Path   string `json:"path" validate:"required"`
}

// LoadDeployment reads a deployment's folder. The error is of the kind BadInput.
func LoadDeployment(dir string) (Deployment, error) {
	deployment, err := qhsetting.Load(filepath.Join(dir, deploymentFile), qhsetting.Spec[Deployment]{})
	if err != nil {
		return Deployment{}, err
	}
	deployment.Dir = dir
	deployment.Node, err = qhsetting.LoadNode(filepath.Join(dir, nodeFile))
	return deployment, err
}

// place is a VM of the fleet: a node and the target beside it.
type place struct {
	node    qhid.Node
	zone    qhid.Zone
	target  qhid.Target
	service Service
}

// places returns the VMs of the fleet. They take the zones in turn.
func (d Deployment) places() []place {
	var list []place
	for _, service := range d.Services {
		for i := range service.Endpoints {
			zone := d.Zones[len(list)%len(d.Zones)]
			list = append(list, place{
				node:    qhid.Node(fmt.Sprintf("%s-%d", zone, 1+len(list)/len(d.Zones))),
				zone:    zone,
				target:  qhid.Target(fmt.Sprintf("%s-%d", service.Name, i+1)),
				service: service,
			})
		}
	}
	return list
}

// Scaled returns the deployment with as many nodes, its services in the same
// proportion, and each with at least one endpoint.
func (d Deployment) Scaled(nodes int) Deployment {
	total := 0
	for _, service := range d.Services {
		total += service.Endpoints
	}
	services := slices.Clone(d.Services)
	rest := nodes
	for i := len(services) - 1; i > 0; i-- {
		services[i].Endpoints = max(1, services[i].Endpoints*nodes/total)
		rest -= services[i].Endpoints
	}
	services[0].Endpoints = max(1, rest)
	d.Services = services
	return d
}
