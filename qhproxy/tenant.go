package qhproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhkey"
	"quetzalhaven.dev/qhquota"
	"quetzalhaven.dev/qhshed"
)

const (
	// proofRetryAfter is when a caller should return that was refused for want of a
	// proof that the configuration is the newest.
	proofRetryAfter = 500 * time.Millisecond
	// headerAuthorization carries the key of a caller.
	headerAuthorization = "Authorization"
	// headerChallenge tells callers how to authenticate.
	headerChallenge = "Www-Authenticate"
	// tenantPriorityWeight is the number of priorities of routes that are told apart
	// within a priority of tenants.
	tenantPriorityWeight = 4
)

// Errors of a permission that ended before its call was sent.
var (
	errNoProof    = errors.New("no proof that the configuration is the newest") //nolint:gochecknoglobals // a sentinel
	errKeyUnknown = errors.New("the target's node does not know the key")       //nolint:gochecknoglobals // a sentinel
)

// authenticate finds the tenant of the call, and removes its credentials. If the
// configuration requires no keys, it does nothing.
func (c *call) authenticate() *failure {
	if !c.snapshot.Config.RequiresKeys() {
		return nil
	}
	credentials := c.request.Header[headerAuthorization]
	delete(c.request.Header, headerAuthorization)
	if c.route.Anonymous {
		return nil
	}
	if !c.proxy.Proof.IsFresh() {
		return notExecuted(qhdecision.NoProof, http.StatusServiceUnavailable, proofRetryAfter, c.proxy.describeProof())
	}
	key, problem := qhkey.FromAuthorization(credentials)
	if problem == "" {
		c.key = qhconfig.DigestKey(key)
		if c.tenant = c.snapshot.Keys[c.key]; c.tenant == nil {
			problem = qhkey.Unknown
		}
	}
	if problem != "" {
		c.key = ""
		f := notExecuted(qhdecision.Unauthenticated, http.StatusUnauthorized, 0, string(problem))
		f.Challenge = problem.Challenge()
		return f
	}
	if c.tenant.Unavailable {
		return notExecuted(qhdecision.TenantUnavailable, http.StatusServiceUnavailable, defaultRetryAfter, "the configuration has no usable name or allowance for the tenant "+string(c.tenant.Name)+"; correct the tenant")
	}
	return nil
}

// checkQuota refuses the call if its tenant has used up its allowance.
func (c *call) checkQuota(ctx context.Context, remaining time.Duration) *failure {
	if c.tenant == nil || c.tenant.Rate <= 0 || c.proxy.Quota == nil {
		return nil
	}
	verdict := c.proxy.Quota.Take(ctx, qhquota.Key(c.tenant.Name))
	returns := qhshed.ReturnKey("tenant " + c.tenant.Name)
	if verdict.Granted {
		c.proxy.returns.Served(returns, time.Now())
		return nil
	}
	retryAfter := c.proxy.returns.Book(returns, time.Now(), verdict.RetryAfter, time.Duration(patienceShare*float64(remaining)))
	return notExecuted(qhdecision.OverQuota, http.StatusTooManyRequests, retryAfter, "the tenant "+string(c.tenant.Name)+" has used up its allowance")
}

// priority returns the priority of the call: that of its tenant before that of its
// route. Calls without a tenant, such as those of targets, come before the others of
// their tenants' priority.
func (c *call) priority() int {
	if c.tenant == nil {
		return min(c.route.Priority, tenantPriorityWeight-1)
	}
	return c.tenant.Priority*tenantPriorityWeight + min(c.route.Priority, tenantPriorityWeight-1)
}

// describeProof says how old the proof is that the configuration is the newest.
func (p *Proxy) describeProof() string {
	age, ok := p.Proof.Age()
	if !ok {
		return "this node has no proof yet that its configuration is the newest"
	}
	return "this node last had proof that its configuration is the newest " + age.Round(time.Millisecond).String() + " ago"
}

// permission returns a function that reports whether the key of a call is still valid,
// and the tenant that has it. It is asked again at the last moment before the call is
// sent.
func (p *Proxy) permission(key qhconfig.KeyDigest) (func() error, *qhconfig.Tenant) {
	if key == "" {
		return nil, nil
	}
	check := func() error {
		snapshot := p.Snapshot()
		switch {
		case !p.Proof.IsFresh():
			return errNoProof
		case snapshot == nil || snapshot.Keys[key] == nil || snapshot.Keys[key].Unavailable:
			return errKeyUnknown
		}
		return nil
	}
	var tenant *qhconfig.Tenant
	if snapshot := p.Snapshot(); snapshot != nil {
		tenant = snapshot.Keys[key]
	}
	return check, tenant
}

// permissionFailure returns the failure of a call whose permission has ended, or nil if
// err has another cause.
func (p *Proxy) permissionFailure(err error) *failure {
	switch {
	case errors.Is(err, errNoProof):
		return notExecuted(qhdecision.NoProof, http.StatusServiceUnavailable, proofRetryAfter, p.describeProof())
	case errors.Is(err, errKeyUnknown):
		return notExecuted(qhdecision.KeyUnknown, http.StatusServiceUnavailable, proofRetryAfter, errKeyUnknown.Error())
	}
	return nil
}

// tenantName returns the name of a tenant, or an empty one.
func tenantName(tenant *qhconfig.Tenant) qhid.Tenant {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}
