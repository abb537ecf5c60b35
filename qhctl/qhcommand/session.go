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
	// commandTimeout bounds a command that does not wait.
	commandTimeout = 15 * time.Second
	// reachTimeout bounds the question for a plan's reach.
	reachTimeout = 2 * time.Second
)

// Settings is the settings file of qhctl.
type Settings struct {
	// Platform is the base URL of the platform's object API.
	Platform string `json:"platform" validate:"omitempty,http_url"`
	// Node is the address of a node's operators' API.
	Node qhid.Address `json:"node" validate:"omitempty,address"`
	// Author is who plans and confirms.
	Author string `json:"author"`
}

// session is what the flags and the environment of one command say.
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
	flags.StringVar((*string)(&s.flags.Node), "node", "", "address of a node's operators' API, to ask for reach, calls and members")
	flags.StringVar(&s.flags.Author, "author", "", "who plans and confirms (default the user of the system)")
	flags.StringVar(&s.settingsPath, "settings", "", "file with platform, node and author, JSON with comments")
	flags.StringVarP(&s.output, "output", "o", outputText, "text or json")
	flags.DurationVar(&s.timeout, "timeout", 0, "bound of the command (default 15s, 1m0s for status --wait, 10m0s for prune)")
	_ = root.MarkPersistentFlagFilename("settings") // the flag exists
	completion := cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	_ = root.RegisterFlagCompletionFunc("output", completion) // the flag exists
}

// context bounds a command by the flag, or by preset where it is not given.
func (s *session) context(ctx context.Context, preset time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, cmp.Or(s.timeout, preset))
}

// resolveSettings returns the settings by flags, environment and file, in that order.
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

// author returns who plans and confirms.
func (s *session) author() (string, error) {
	settings, err := s.resolveSettings()
	return settings.Author, err
}

// openPlatform returns the platform and its clean-up.
func (s *session) openPlatform() (qhplatform.Store, func(), error) {
	settings, err := s.resolveSettings()
	if err != nil {
		return qhplatform.Store{}, nil, err
	}
	base, err := url.Parse(settings.Platform)
	switch {
	case settings.Platform == "":
		return qhplatform.Store{}, nil, qherr.New(qherr.BadInput, nil, "use --platform URL, QHCTL_PLATFORM or platform in --settings", "no platform is named")
	case err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https"):
		return qhplatform.Store{}, nil, qherr.New(qherr.BadInput, nil, "write a URL such as http://10.0.0.2:7000", "%q is no URL of a platform", settings.Platform)
	}
	store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: settings.Platform})
	return store, cleanup, nil
}

// newPlanner returns a planner on the platform and its clean-up.
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

// reachFrom asks the node for the reach of plans.
func reachFrom(address qhid.Address) qhplan.ReachFunc {
	return func(ctx context.Context, services []qhid.Service) (qhid.Address, qhoperate.Reach, error) {
		node, cleanup, err := qhask.New(address)
		if err != nil {
			return address, qhoperate.Reach{}, err
		}
		defer cleanup()
		ctx, cancel := context.WithTimeout(ctx, reachTimeout)
		defer cancel()
		reach, err := node.Reach(ctx, services)
		return address, reach, err
	}
}

// configuredNode returns the node that the settings name and its clean-up.
func (s *session) configuredNode() (*qhask.Client, func(), error) {
	settings, err := s.resolveSettings()
	if err != nil {
		return nil, nil, err
	}
	if settings.Node == "" {
		return nil, nil, qherr.New(qherr.BadInput, nil, "use --node ADDRESS, QHCTL_NODE or node in --settings", "no node is named")
	}
	return qhask.New(settings.Node)
}
