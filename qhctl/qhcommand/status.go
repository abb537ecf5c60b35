package qhcommand

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhask"
	"quetzalhaven.dev/qhctl/qhrollout"
	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// waitTimeout is the default timeout of status --wait.
	waitTimeout = time.Minute
	// pollPeriod is the period at which the relay leases are read.
	pollPeriod = 250 * time.Millisecond
	// relayRenewalTimeout is the default of --patience, the time without renewal
	// after which a relay counts as silent.
	relayRenewalTimeout = 6 * time.Second
)

// newStatus returns the command that shows on how many nodes the newest version is
// in force.
func newStatus(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Show on how many nodes the newest version is in force",
		Long: `Shows on how many nodes the newest version is in force, by availability zone,
and which nodes refuse it. The relays of each availability zone aggregate this
and write it to the platform. Only reports written after the command started are
counted, so the command takes as long as a relay's renewal. An availability zone
whose relays do not report is listed: it may be disconnected from the platform,
or no longer exist.

With --wait the command returns when the version is in force on every node. It
exits with status 1 if the timeout expires first, listing the availability zones
that lack the version, and with status 3 as soon as every node that lacks it
refuses it. Without --wait, while the platform is unavailable, the command shows
the status of the node given by --node and of the nodes below it in the
distribution tree.`,
		Example: "  qhctl status\n  qhctl status --wait --timeout 30s",
		Args:    exactArgs(),
	}
	wait := command.Flags().Bool("wait", false, "wait until the version is in force on every node")
	renewalTimeout := command.Flags().Duration("patience", relayRenewalTimeout, "how long a relay may take to renew before it counts as silent")
	command.RunE = s.checkedRun(func(command *cobra.Command, _ []string) error {
		timeout := commandTimeout
		if *wait {
			timeout = waitTimeout
		}
		ctx, cancel := s.context(command.Context(), timeout)
		defer cancel()
		report, err := s.status(ctx, *wait, *renewalTimeout)
		if qherr.Is(err, qherr.Unavailable) && !*wait {
			return s.showNodeStatus(command, err)
		}
		if err != nil {
			return err
		}
		if err := show(s, command, report, (*qhtext.Writer).Status); err != nil || !*wait {
			return err
		}
		return incompleteError(report)
	})
	return command
}

// status returns the status from the relay leases on the platform.
func (s *session) status(ctx context.Context, wait bool, renewalTimeout time.Duration) (qhrollout.Report, error) {
	store, cleanup, err := s.openPlatform()
	if err != nil {
		return qhrollout.Report{}, err
	}
	defer cleanup()
	head, err := s.readHead(ctx, store, wait)
	if err != nil {
		return qhrollout.Report{}, err
	}
	watcher := qhrollout.NewWatcher(qhrollout.Options{Store: store, Version: head.Version, RenewalTimeout: renewalTimeout})
	if wait {
		return watcher.Wait(ctx, pollPeriod)
	}
	return watcher.Collect(ctx, pollPeriod)
}

// readHead reads the head. If wait is set, it retries until ctx ends while the
// platform is unavailable. The error is then that of the last call that was not cut off by
// the end of ctx, which says what is wrong with the platform.
func (s *session) readHead(ctx context.Context, store qhplatform.Store, wait bool) (qhhead.Head, error) {
	chain := qhhead.New(qhhead.Options{Store: store})
	var before error
	for {
		head, err := chain.ReadHead(ctx)
		if ctx.Err() != nil && err != nil && before != nil {
			return head, before
		}
		before = err
		if err == nil && head.Version == 0 && wait {
			return head, qherr.New(qherr.NotFound, nil, "confirm a plan first", "no version was confirmed yet")
		}
		if !wait || !qherr.Is(err, qherr.Unavailable) {
			return head, err
		}
		select {
		case <-ctx.Done():
			return head, err
		case <-time.After(pollPeriod):
		}
	}
}

// incompleteError returns the error of a wait that ended before the version was in
// force on every node, or nil if the version is.
func incompleteError(report qhrollout.Report) error {
	switch {
	case report.Complete():
		return nil
	case report.Nodes == 0:
		return qherr.New(qherr.Unavailable, nil, "check that nodes are running and reach the platform", "%s", qhtext.Headline(report))
	case report.Stalled():
		return qherr.New(qherr.Refused, nil, "inspect the node with qhctl explain NODE-ADDRESS, or roll back with qhctl back", "%s", qhtext.Headline(report))
	default:
		return qherr.New(qherr.Unavailable, nil, "wait longer with --timeout, or inspect the nodes of these availability zones with qhctl members",
			"version %d is not in force on every node: %s", report.Version, qhtext.IncompleteZones(report))
	}
}

// showNodeStatus shows the status reported by the configured node. It is used while
// the platform is unavailable; cause is the platform's error.
func (s *session) showNodeStatus(command *cobra.Command, cause error) error {
	settings, err := s.resolveSettings()
	if err != nil {
		return err
	}
	if settings.Node == "" {
		return qherr.New(qherr.Unavailable, cause, "use --node ADDRESS to get the status from a node", "the status cannot be read from the platform")
	}
	return withNode(s, command, settings.Node, func(ctx context.Context, node *qhask.Client) error {
		state, err := node.State(ctx)
		if err != nil {
			return err
		}
		summary, err := node.Summary(ctx)
		if err != nil {
			return err
		}
		report := NodeStatus{Platform: cause.Error(), Node: state.Node, Report: qhrollout.ReportOf(state.Config.Version, state.Zone, summary)}
		return show(s, command, report, writeNodeStatus)
	})
}

// NodeStatus is the status reported by one node while the platform is unavailable.
type NodeStatus struct {
	// Platform is the error of the platform.
	Platform string    `json:"platform"`
	Node     qhid.Node `json:"node"`
	qhrollout.Report
}

func writeNodeStatus(w *qhtext.Writer, status NodeStatus) {
	w.Line("the platform is unavailable: %s", status.Platform)
	w.Line("status of node %s and the nodes below it in the distribution tree; newer versions may be in force elsewhere", status.Node)
	w.Status(status.Report)
}
