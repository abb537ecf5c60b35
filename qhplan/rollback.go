package qhplan

import (
	"context"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
)

// rollback returns the configuration of an old version, with a reason for each
// entry in which it differs from base. The error is of kind Refused if the old
// version no longer passes the validation.
func (p *Planner) rollback(ctx context.Context, head qhhead.Head, base qhconfig.Config, version qhid.Version, reason string) (qhintent.Result, error) {
	versionHead, _, err := p.findVersion(ctx, head, version)
	if err != nil {
		return qhintent.Result{}, err
	}
	config, _, err := p.chain.Load(ctx, versionHead)
	if err != nil {
		return qhintent.Result{}, err
	}
	if err := config.Check(); err != nil {
		return qhintent.Result{}, qherr.New(qherr.Refused, err, "roll back to another version", "version %d does not pass today's validation", version)
	}
	return rollbackResult(config, qhconfig.Compare(base, config), version, reason), nil
}

func rollbackResult(config qhconfig.Config, diff qhconfig.Diff, version qhid.Version, reason string) qhintent.Result {
	reasons := []string{qhintent.Intent{Verb: qhintent.Rollback, Version: version}.String() + ": " + reason}
	result := qhintent.Result{Config: config, ServiceReasons: make(map[qhid.Service][]string), RouteReasons: make(map[qhid.Route][]string)}
	for i := range diff.Services {
		result.ServiceReasons[diff.Services[i].Name] = reasons
	}
	for _, name := range diff.RemovedServices {
		result.ServiceReasons[name] = reasons
	}
	for i := range diff.Routes {
		result.RouteReasons[diff.Routes[i].Name] = reasons
	}
	for _, name := range diff.RemovedRoutes {
		result.RouteReasons[name] = reasons
	}
	return result
}
