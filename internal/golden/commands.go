package golden

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Commands writes the usage of a command and of all its subcommands, with the names, types, defaults and properties of
// their flags, but without help texts.
func Commands(out *bytes.Buffer, command *cobra.Command) {
	usage := strings.TrimPrefix(command.Use, command.Name())
	fmt.Fprintf(out, "%s%s", command.CommandPath(), usage)
	if len(command.Aliases) > 0 {
		fmt.Fprintf(out, ", also %s", strings.Join(command.Aliases, ", "))
	}
	if command.Hidden {
		fmt.Fprint(out, ", hidden")
	}
	fmt.Fprintln(out)
	writeFlag := func(flag *pflag.Flag) {
		fmt.Fprintf(out, "    --%s %s, default %q", flag.Name, flag.Value.Type(), flag.DefValue)
		for _, property := range []struct {
			name, value string
		}{{"short", flag.Shorthand}, {"alone", flag.NoOptDefVal}, {"deprecated", flag.Deprecated}} {
			if property.value != "" {
				fmt.Fprintf(out, ", %s %q", property.name, property.value)
			}
		}
		if flag.Hidden {
			fmt.Fprint(out, ", hidden")
		}
		if _, required := flag.Annotations[cobra.BashCompOneRequiredFlag]; required {
			fmt.Fprint(out, ", required")
		}
		fmt.Fprintln(out)
	}
	command.LocalFlags().VisitAll(writeFlag)
	for _, subcommand := range command.Commands() {
		Commands(out, subcommand)
	}
}
