package qhplan

import (
	"context"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
)

// back returns the content of an old version, with the reason for each entry
// in which it differs from base.
func (p *Planner) back(ctx context.Context, head qhhead.Head, base qhconfig.Config, version qhid.Version, reason string) (qhintent.Result, error) {
	old, _, err := p.find(ctx, head, version)
	if err != nil {
		return qhintent.Result{}, err
	}
	config, _, err := p.chain.Load(ctx, old)
	if err != nil {
		return qhintent.Result{}, err
	}
	if err := config.Check(); err != nil {
		return qhintent.Result{}, qherr.New(qherr.Refused, err, "go back to another version", "version %d does not pass the check of today", version)
	}
	return backResult(config, qhconfig.Compare(base, config), version, reason), nil
}

func backResult(config qhconfig.Config, diff qhconfig.Diff, version qhid.Version, reason string) qhintent.Result {
	why := []string{qhintent.Intent{Do: qhintent.Back, Version: version}.String() + ": " + reason}
	result := qhintent.Result{Config: config, Services: make(map[qhid.Service][]string), Routes: make(map[qhid.Route][]string)}
	for i := range diff.Services {
		result.Services[diff.Services[i].Name] = why
	}
	for _, name := range diff.RemovedServices {
		result.Services[name] = why
	}
	for i := range diff.Routes {
		result.Routes[diff.Routes[i].Name] = why
	}
	for _, name := range diff.RemovedRoutes {
		result.Routes[name] = why
	}
	return result
}
