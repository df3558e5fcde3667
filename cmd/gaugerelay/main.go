// Command gaugerelay runs a gateway between clients and storage servers, or inspects a running one. It parses the command
// line, handles signals and sets the exit status; package gateway builds the components of the gateway and owns the
// goroutines in which they run. Signals are handled in the main goroutine.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// commandLine defines the commands and flags.
type commandLine struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Run the gateway. This is the default command."`
	Fleet struct {
		Show showCommand `cmd:"" help:"Show the fleet as seen by a running gateway: limits in force, members and quota."`
	} `cmd:"" help:"Inspect a fleet: gateways that share limits."`
}

func main() {
	if err := execute(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "gaugerelay:", err)
		os.Exit(1)
	}
}

// execute runs the command that the arguments name.
func execute(args []string) error {
	var command commandLine
	parser := kong.Must(&command, kong.Name("gaugerelay"), kong.Description("Gateway between clients and storage servers."))
	ctx, err := parser.Parse(withLongFlags(args))
	if err != nil {
		return err
	}
	return ctx.Run()
}

// withLongFlags replaces -edge by --edge. Earlier versions had the flag with a single dash, and deployments still use it.
func withLongFlags(args []string) []string {
	replaced := make([]string, len(args))
	for i, arg := range args {
		if arg == "-edge" || strings.HasPrefix(arg, "-edge=") {
			arg = "-" + arg
		}
		replaced[i] = arg
	}
	return replaced
}
