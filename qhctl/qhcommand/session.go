package qhcommand

import (
	"cmp"
	"context"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhask"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhoperate"
	"quetzalhaven.dev/qhplan"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsetting"
)

const (
	// commandTimeout is the default timeout of most commands.
	commandTimeout = 15 * time.Second
	// reachTimeout limits the query for the reach of a plan.
	reachTimeout = 2 * time.Second
)

// Settings holds the settings of qhctl.
type Settings struct {
	// Platform is the base URL of the platform's object API.
	Platform string `json:"platform" validate:"omitempty,http_url"`
	// Node is the address of the operator API of a node.
	Node qhid.Address `json:"node" validate:"omitempty,address"`
	// Author is the author recorded in plans and versions.
	Author string `json:"author"`
}

// session holds the flags and the environment of one run of qhctl.
type session struct {
	Options
	flags        Settings
	settingsPath string
	output       string
	timeout      time.Duration
}

func (s *session) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringVar(&s.flags.Platform, "platform", "", "base URL of the platform's object API")
	flags.StringVar((*string)(&s.flags.Node), "node", "", "address of the operator API of a node, to query reach, calls and members")
	flags.StringVar(&s.flags.Author, "author", "", "author of plans and versions (default the current user)")
	flags.StringVar(&s.settingsPath, "settings", "", "settings file with platform, node and author, JSON with comments")
	flags.StringVarP(&s.output, "output", "o", outputText, "text or json")
	flags.DurationVar(&s.timeout, "timeout", 0, "timeout of the command (default 15s, 1m0s for status --wait, 10m0s for prune)")
	_ = root.MarkPersistentFlagFilename("settings") // the flag exists
	completion := cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	_ = root.RegisterFlagCompletionFunc("output", completion) // the flag exists
}

// context returns a context with the timeout of the flag, or with defaultTimeout
// if the flag is not set.
func (s *session) context(ctx context.Context, defaultTimeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, cmp.Or(s.timeout, defaultTimeout))
}

// resolveSettings returns the settings from flags, environment and settings file,
// in that order of precedence.
func (s *session) resolveSettings() (Settings, error) {
	var file Settings
	if path := cmp.Or(s.settingsPath, s.Getenv("QHCTL_SETTINGS")); path != "" {
		var err error
		if file, err = qhsetting.Load(path, qhsetting.Spec[Settings]{}); err != nil {
			return Settings{}, err
		}
	}
	return Settings{
		Platform: cmp.Or(s.flags.Platform, s.Getenv("QHCTL_PLATFORM"), file.Platform),
		Node:     cmp.Or(s.flags.Node, qhid.Address(s.Getenv("QHCTL_NODE")), file.Node),
		Author:   cmp.Or(s.flags.Author, s.Getenv("QHCTL_AUTHOR"), file.Author, s.User()),
	}, nil
}

// author returns the author of plans and versions.
func (s *session) author() (string, error) {
	settings, err := s.resolveSettings()
	return settings.Author, err
}

// openPlatform returns the platform's object store and a function that closes it.
func (s *session) openPlatform() (qhplatform.Store, func(), error) {
	settings, err := s.resolveSettings()
	if err != nil {
		return qhplatform.Store{}, nil, err
	}
	base, err := url.Parse(settings.Platform)
	switch {
	case settings.Platform == "":
		return qhplatform.Store{}, nil, qherr.New(qherr.BadInput, nil, "use --platform URL, QHCTL_PLATFORM or platform in --settings", "no platform is given")
	case err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https"):
		return qhplatform.Store{}, nil, qherr.New(qherr.BadInput, nil, "write a URL such as http://10.0.0.2:7000", "%q is not the URL of a platform", settings.Platform)
	}
	store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: settings.Platform})
	return store, cleanup, nil
}

// newPlanner returns a planner on the platform and a function that closes it.
func (s *session) newPlanner() (*qhplan.Planner, func(), error) {
	store, cleanup, err := s.openPlatform()
	if err != nil {
		return nil, nil, err
	}
	settings, err := s.resolveSettings()
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	options := qhplan.Options{Store: store, Chain: qhhead.New(qhhead.Options{Store: store})}
	if settings.Node != "" {
		options.Reach = reachFrom(settings.Node)
	}
	return qhplan.New(options), cleanup, nil
}

// reachFrom returns a function that queries the node at the address for the reach
// of plans.
func reachFrom(address qhid.Address) qhplan.ReachFunc {
	return func(ctx context.Context, services []qhid.Service) (qhid.Address, qhoperate.AffectedCounts, error) {
		node, cleanup, err := qhask.New(address)
		if err != nil {
			return address, qhoperate.AffectedCounts{}, err
		}
		defer cleanup()
		ctx, cancel := context.WithTimeout(ctx, reachTimeout)
		defer cancel()
		reach, err := node.Reach(ctx, services)
		return address, reach, err
	}
}

// configuredNode returns a client of the node in the settings and a function that
// closes it.
func (s *session) configuredNode() (*qhask.Client, func(), error) {
	settings, err := s.resolveSettings()
	if err != nil {
		return nil, nil, err
	}
	if settings.Node == "" {
		return nil, nil, qherr.New(qherr.BadInput, nil, "use --node ADDRESS, QHCTL_NODE or node in --settings", "no node is given")
	}
	return qhask.New(settings.Node)
}
