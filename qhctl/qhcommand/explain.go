package qhcommand

import (
	"context"
	"net/netip"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhask"
	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplan"
)

// subjectKind is the kind of the argument of explain.
type subjectKind string

// The kinds of arguments, which are also the values of --as.
const (
	subjectVersion subjectKind = "version"
	subjectPlan    subjectKind = "plan"
	subjectNode    subjectKind = "node"
	subjectRequest subjectKind = "request"
)

// guessSubject returns the kind of an argument by its form.
func guessSubject(text string) subjectKind {
	if _, err := parseVersion(text); err == nil {
		return subjectVersion
	}
	if qhplan.IsID(text) {
		return subjectPlan
	}
	if _, err := netip.ParseAddrPort(text); err == nil {
		return subjectNode
	}
	return subjectRequest
}

func parseVersion(text string) (qhid.Version, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, qherr.New(qherr.BadInput, nil, "use a number that qhctl history lists", "%q is not a version", text)
	}
	return qhid.Version(version), nil
}

// newExplain returns the command that explains a version, plan, node or call.
func newExplain(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "explain VERSION|PLAN|NODE-ADDRESS|REQUEST",
		Short: "Explain who changed what, when and why, or how a call was routed",
		Long: `Explains a version (who created it, when, why, what it changed, its plan and the
concurrent plans), a plan (its changes and its state), a node by the address of
its operator API (the version in force and the refused ones), or a call by
its request id (the decisions of the node given by --node).`,
		Example: "  qhctl explain 12\n  qhctl explain p12-0123456789ab\n  qhctl explain 10.0.0.4:7105\n  qhctl explain 5f0c62b1d9a3 --node 10.0.0.4:7105",
		Args:    exactArgs("VERSION, PLAN, NODE-ADDRESS or REQUEST"),
	}
	as := command.Flags().String("as", "", "what the argument is: version, plan, node or request (default by its form)")
	kinds := []string{string(subjectVersion), string(subjectPlan), string(subjectNode), string(subjectRequest)}
	_ = command.RegisterFlagCompletionFunc("as", cobra.FixedCompletions(kinds, cobra.ShellCompDirectiveNoFileComp)) // the flag exists
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		kind := guessSubject(args[0])
		if *as != "" {
			kind = subjectKind(*as)
		}
		if !slices.Contains(kinds, string(kind)) {
			return qherr.New(qherr.BadInput, nil, "use version, plan, node or request", "--as cannot be %q", *as)
		}
		return s.explain(command, kind, args[0])
	})
	return command
}

func (s *session) explain(command *cobra.Command, kind subjectKind, text string) error {
	switch kind {
	case subjectVersion:
		return s.explainVersion(command, text)
	case subjectPlan:
		return withPlanner(s, command, func(ctx context.Context, planner *qhplan.Planner) error {
			explanation, err := planner.ExplainPlan(ctx, qhid.Plan(text))
			if err != nil {
				return err
			}
			return show(s, command, explanation, (*qhtext.Writer).PlanExplanation)
		})
	case subjectNode:
		return withNode(s, command, qhid.Address(text), func(ctx context.Context, node *qhask.Client) error {
			state, err := node.State(ctx)
			if err != nil {
				return err
			}
			return show(s, command, state, (*qhtext.Writer).Node)
		})
	default:
		return s.explainRequest(command, qhid.Request(text))
	}
}

func (s *session) explainVersion(command *cobra.Command, text string) error {
	version, err := parseVersion(text)
	if err != nil {
		return err
	}
	return withPlanner(s, command, func(ctx context.Context, planner *qhplan.Planner) error {
		explanation, err := planner.ExplainVersion(ctx, version)
		if err != nil {
			return err
		}
		return show(s, command, explanation, (*qhtext.Writer).VersionExplanation)
	})
}

func (s *session) explainRequest(command *cobra.Command, request qhid.Request) error {
	return withNode(s, command, "", func(ctx context.Context, node *qhask.Client) error {
		decisions, err := node.Decisions(ctx, request)
		if err != nil {
			return err
		}
		return show(s, command, decisions, func(w *qhtext.Writer, decisions []qhask.Decision) {
			w.Decisions(request, node.Address(), decisions)
		})
	})
}

// withNode calls do with a client of the node at the address, or of the configured
// node if it is empty, and with the timeout of the command.
func withNode(s *session, command *cobra.Command, address qhid.Address, do func(ctx context.Context, node *qhask.Client) error) error {
	node, cleanup, err := s.nodeClient(address)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := s.context(command.Context(), commandTimeout)
	defer cancel()
	return do(ctx, node)
}

func (s *session) nodeClient(address qhid.Address) (*qhask.Client, func(), error) {
	if address == "" {
		return s.configuredNode()
	}
	return qhask.New(address)
}

// newHistory returns the command that lists the newest versions.
func newHistory(s *session) *cobra.Command {
	const defaultLimit = 20
	command := &cobra.Command{
		Use:     "history",
		Short:   "List the newest versions with time, author, plan and reason",
		Example: "  qhctl history --limit 5",
		Args:    exactArgs(),
	}
	limit := command.Flags().Int("limit", defaultLimit, "how many versions to list")
	command.RunE = s.checkedRun(func(command *cobra.Command, _ []string) error {
		if *limit < 1 {
			return qherr.New(qherr.BadInput, nil, "use 1 or more", "--limit cannot be %d", *limit)
		}
		return withPlanner(s, command, func(ctx context.Context, planner *qhplan.Planner) error {
			records, err := planner.History(ctx, *limit)
			if err != nil {
				return err
			}
			if records == nil {
				records = []qhhead.Record{}
			}
			return show(s, command, records, (*qhtext.Writer).History)
		})
	})
	return command
}
