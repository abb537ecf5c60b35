package qhcommand

import (
	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
)

const (
	// keptVersions is how many versions prune keeps.
	keptVersions = 1000
	// leastVersions is the least that it can be told to keep.
	leastVersions = 32
)

// newPrune returns the command that deletes old versions.
func newPrune(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "prune",
		Short: "Delete old versions from the platform",
		Long: `Deletes the records and parts of old versions. The newest versions stay whole,
and commits that run meanwhile are not harmed. A version that was deleted can't
be gone back to or explained any more.`,
		Example: "  qhctl prune --keep 1000",
		Args:    exactArgs(),
	}
	keep := command.Flags().Int("keep", keptVersions, "how many of the newest versions to keep")
	command.RunE = s.run(func(command *cobra.Command, _ []string) error {
		if *keep < leastVersions {
			return qherr.New(qherr.BadInput, nil, "keep at least 32, so that no node that is behind misses one", "--keep can't be %d", *keep)
		}
		store, cleanup, err := s.platform()
		if err != nil {
			return err
		}
		defer cleanup()
		ctx, cancel := s.context(command.Context(), waitTimeout)
		defer cancel()
		pruned, err := qhhead.New(qhhead.Options{Store: store}).Prune(ctx, *keep)
		if err != nil {
			return err
		}
		return show(s, command, pruned, writePruned)
	})
	return command
}

func writePruned(w *qhtext.Writer, pruned qhhead.Pruned) {
	w.Line("deleted %d records and %d parts, %d bytes", pruned.Records, pruned.Parts, pruned.Size)
	if pruned.Left > 0 {
		w.Line("%d more could not be deleted now; prune again later", pruned.Left)
	}
}
