package qhproxy

import (
	"context"
	"fmt"
	"net/http"

	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhroute"
)

// fingerprint returns the fingerprint of the call's request; empty if requests are not
// compared. A body that is streamed is known by its length only.
func (c *call) fingerprint() qhcrash.Fingerprint {
	if c.proxy.Crashes == nil || c.knownFingerprint != "" {
		return c.knownFingerprint
	}
	c.knownFingerprint = qhcrash.Identity{
		Method: c.request.Method, Host: qhroute.StripPort(c.request.Host), URI: c.request.URL.RequestURI(),
		Caller: c.proxy.LocalService(), Tenant: tenantName(c.tenant), Body: c.body.buffer, BodyLength: c.body.length,
	}.Fingerprint()
	return c.knownFingerprint
}

// checkQuarantine returns the failure of a call whose request is quarantined because it
// crashed the targets that executed it, else nil.
func (p *Proxy) checkQuarantine(request qhcrash.Fingerprint) *failure {
	verdict := p.Crashes.Check(request)
	if !verdict.Quarantined {
		return nil
	}
	return notExecuted(qhdecision.Quarantined, http.StatusServiceUnavailable, verdict.Remaining,
		fmt.Sprintf("targets ended while they executed this request (fingerprint %s): %v; mend the service or release the request", request, verdict.Targets))
}

// admit waits for a slot of the target. It refuses a quarantined request, also one that
// was quarantined while the call waited. A node that has just started first asks the
// others which requests are quarantined.
func (p *Proxy) admit(ctx context.Context, guard *qhguard.Guard, admission qhguard.AdmissionRequest, request qhcrash.Fingerprint) (*qhguard.Permit, *failure) {
	if request != "" {
		p.Crashes.AwaitInformed(ctx, guard.Info().Service)
	}
	if f := p.checkQuarantine(request); f != nil {
		return nil, f
	}
	permit, err := guard.Admit(ctx, admission)
	if err != nil {
		return nil, admissionFailure(ctx, err)
	}
	if f := p.checkQuarantine(request); f != nil {
		permit.Release()
		return nil, f
	}
	return permit, nil
}

func crashTarget(info qhguard.TargetInfo) qhcrash.Target {
	return qhcrash.Target{ID: info.ID, Service: info.Service, Address: info.Address}
}
