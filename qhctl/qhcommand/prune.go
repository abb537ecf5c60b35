package qhcommand

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhplan"
	"quetzalhaven.dev/qhplatform"
)

const (
	// defaultKeptVersions is the default of --keep.
	defaultKeptVersions = 1000
	// minKeptVersions is the minimum of --keep.
	minKeptVersions = 32
	// pruneTimeout is the default timeout of prune.
	pruneTimeout = 10 * time.Minute
)

// newPrune returns the command that deletes old versions.
func newPrune(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "prune",
		Short: "Delete old versions from the platform",
		Long: `Deletes the records and parts of old versions, and the plans that were made from
them. The newest versions are kept, and concurrent commits are not affected. A
deleted version can no longer be explained or rolled back to.`,
		Example: "  qhctl prune --keep 1000",
		Args:    exactArgs(),
	}
	keep := command.Flags().Int("keep", defaultKeptVersions, "how many of the newest versions to keep")
	command.RunE = s.checkedRun(func(command *cobra.Command, _ []string) error {
		if *keep < minKeptVersions {
			return qherr.New(qherr.BadInput, nil, "keep at least 32, so that nodes that are behind can still catch up", "--keep cannot be %d", *keep)
		}
		store, cleanup, err := s.openPlatform()
		if err != nil {
			return err
		}
		defer cleanup()
		ctx, cancel := s.context(command.Context(), pruneTimeout)
		defer cancel()
		pruned, err := prune(ctx, store, *keep)
		if err != nil {
			return err
		}
		return show(s, command, pruned, writePruneResult)
	})
	return command
}

func prune(ctx context.Context, store qhplatform.Store, keep int) (PruneResult, error) {
	chain := qhhead.New(qhhead.Options{Store: store})
	versions, err := chain.Prune(ctx, keep)
	if err != nil {
		return PruneResult{}, pruneError(ctx, err)
	}
	plans, err := qhplan.New(qhplan.Options{Store: store, Chain: chain}).Prune(ctx, keep)
	if err != nil {
		return PruneResult{}, pruneError(ctx, err)
	}
	return PruneResult{Versions: versions, Plans: plans}, nil
}

// pruneError replaces the error of an expired timeout by one that tells how to
// continue.
func pruneError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return qherr.New(qherr.Unavailable, err, "run prune again to continue, or increase --timeout", "the timeout expired before everything was pruned")
}

// PruneResult counts what prune deleted.
type PruneResult struct {
	Versions qhhead.PruneResult `json:"versions"`
	Plans    qhplan.PruneResult `json:"plans"`
}

func writePruneResult(w *qhtext.Writer, pruned PruneResult) {
	w.Line("deleted %d records, %d parts and %d plans", pruned.Versions.Records, pruned.Versions.Parts, pruned.Plans.Plans)
	if left := pruned.Versions.NotDeleted + pruned.Plans.NotDeleted; left > 0 {
		w.Line("%d more were not deleted; run prune again later", left)
	}
}
