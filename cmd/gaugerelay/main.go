// Command gaugerelay is the gateway's program: its command line, its signals and its exit code. Package gateway puts the
// parts of the gateway together. The main goroutine handles signals; the parts run in goroutines that package gateway owns.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// commandLine is the program's commands and flags.
type commandLine struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Run the gateway. This is the default command."`
	Fleet struct {
		Show showCommand `cmd:"" help:"Show the fleet as a running gateway sees it: limits in force, members and quota."`
	} `cmd:"" help:"Inspect gateways that share limits."`
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

// withLongFlags replaces -edge by --edge: the flag was written with one dash before there were commands, and deployments
// still do so.
func withLongFlags(args []string) []string {
	long := make([]string, len(args))
	for i, arg := range args {
		if arg == "-edge" || strings.HasPrefix(arg, "-edge=") {
			arg = "-" + arg
		}
		long[i] = arg
	}
	return long
}
