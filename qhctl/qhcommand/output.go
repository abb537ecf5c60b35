package qhcommand

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qherr"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// checkOutput validates --output. The error is of kind BadInput.
func (s *session) checkOutput() error {
	if s.output == outputText || s.output == outputJSON {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "use text or json", "--output cannot be %q", s.output)
}

// show writes a value to the output, as JSON or with the text function.
func show[T any](s *session, command *cobra.Command, value T, text func(*qhtext.Writer, T)) error {
	if s.output == outputJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := qhtext.NewWriter(command.OutOrStdout())
	text(writer, value)
	return writer.Err()
}

// checkedRun returns a run function that validates --output before it calls do.
func (s *session) checkedRun(do func(command *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		if err := s.checkOutput(); err != nil {
			return err
		}
		return do(command, args)
	}
}
