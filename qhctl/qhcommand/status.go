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
	// waitTimeout bounds status --wait.
	waitTimeout = time.Minute
	// pollPeriod is the time between two looks at the relay objects.
	pollPeriod = 250 * time.Millisecond
	// relayRenewalTimeout is how long a relay may take to renew.
	relayRenewalTimeout = 6 * time.Second
)

// newStatus returns the command that tells how far a version is in force.
func newStatus(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Tell how far the newest version is in force",
		Long: `Tells on how many nodes the newest version is in force, by availability zone,
and who refuses it. The relays of each availability zone add this up and put it
on the platform. Only what a relay told after the command began is counted, so
that it takes as long as a relay's renewal. An availability zone whose relays
are silent is named: it may be cut off from the platform, or gone.

With --wait it returns once the version is in force on every node, or else says
which availability zones lack it, with exit status 1, or 3 where all that lack
it refuse it. While the platform is out, the node that --node names tells of
itself and of the nodes below it.`,
		Example: "  qhctl status\n  qhctl status --wait --timeout 30s",
		Args:    exactArgs(),
	}
	wait := command.Flags().Bool("wait", false, "wait until the version is in force everywhere")
	patience := command.Flags().Duration("patience", relayRenewalTimeout, "how long a relay may take to renew before it counts as silent")
	command.RunE = s.checkedRun(func(command *cobra.Command, _ []string) error {
		preset := commandTimeout
		if *wait {
			preset = waitTimeout
		}
		ctx, cancel := s.context(command.Context(), preset)
		defer cancel()
		report, err := s.status(ctx, *wait, *patience)
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

// status asks the platform.
func (s *session) status(ctx context.Context, wait bool, patience time.Duration) (qhrollout.Report, error) {
	store, cleanup, err := s.openPlatform()
	if err != nil {
		return qhrollout.Report{}, err
	}
	defer cleanup()
	head, err := s.readHead(ctx, store, wait)
	if err != nil {
		return qhrollout.Report{}, err
	}
	watcher := qhrollout.NewWatcher(qhrollout.Options{Store: store, Version: head.Version, RenewalTimeout: patience})
	if wait {
		return watcher.Wait(ctx, pollPeriod)
	}
	return watcher.Collect(ctx, pollPeriod)
}

// readHead reads the head; it asks again until ctx ends where the command waits.
func (s *session) readHead(ctx context.Context, store qhplatform.Store, wait bool) (qhhead.Head, error) {
	chain := qhhead.New(qhhead.Options{Store: store})
	for {
		head, err := chain.Read(ctx)
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

// incompleteError is the error of a wait that ended before the version was in force
// everywhere, nil where it is.
func incompleteError(report qhrollout.Report) error {
	switch {
	case report.Complete():
		return nil
	case report.Nodes == 0:
		return qherr.New(qherr.Unavailable, nil, "check that nodes run and reach the platform", "%s", qhtext.Headline(report))
	case report.Stalled():
		return qherr.New(qherr.Refused, nil, "look at the node with qhctl explain NODE-ADDRESS, and go back with qhctl back", "%s", qhtext.Headline(report))
	default:
		return qherr.New(qherr.Unavailable, nil, "wait longer with --timeout, or look at the nodes of these availability zones with qhctl members",
			"version %d is not in force everywhere: %s", report.Version, qhtext.IncompleteZones(report))
	}
}

// showNodeStatus asks the node of the settings, as the platform is out.
func (s *session) showNodeStatus(command *cobra.Command, cause error) error {
	settings, err := s.resolveSettings()
	if err != nil {
		return err
	}
	if settings.Node == "" {
		return qherr.New(qherr.Unavailable, cause, "name a node with --node ADDRESS to ask it instead", "the platform does not tell the status")
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

// NodeStatus is what one node tells while the platform is out.
type NodeStatus struct {
	// Platform tells why the platform was not asked.
	Platform string    `json:"platform"`
	Node     qhid.Node `json:"node"`
	qhrollout.Report
}

func writeNodeStatus(w *qhtext.Writer, status NodeStatus) {
	w.Line("the platform does not answer: %s", status.Platform)
	w.Line("node %s tells of itself and of the nodes below it, and newer versions may be in force elsewhere", status.Node)
	w.Status(status.Report)
}
