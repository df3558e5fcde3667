// Command faultbench tests the gateway under faults, against fakes of the outside systems on loopback. Each subcommand
// prints a summary line and exits with status 1 if an invariant was violated. The fields of the subcommands are their flags.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

func main() {
	var cli struct {
		Fleet   fleetCmd   `cmd:"" help:"Run scenarios of faults in a fleet of gateway processes and between them."`
		Chaos   chaosCmd   `cmd:"" help:"Inject random overlapping faults into gateway processes and check the invariants."`
		Members membersCmd `cmd:"" help:"Simulate membership in fleets of 3 to 1,000 gateways, with lost datagrams and failing gateways."`
		Soak    soakCmd    `cmd:"" help:"Run devices on poor links against a gateway whose servers fail, drain and restart."`
	}
	ctx := kong.Parse(&cli, kong.Name("faultbench"), kong.Description("Tests the gateway under faults, against fakes on loopback."),
		kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "faultbench:", err)
		os.Exit(1)
	}
}

// gatewayBinary returns the path of the gateway program: the given one, or gaugerelay beside this program if it is empty.
func gatewayBinary(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("no path of this program: %w", err)
	}
	return filepath.Join(filepath.Dir(self), "gaugerelay"), nil
}

// printViolations prints a line for each violation.
func printViolations(violations []string) {
	for _, text := range violations {
		fmt.Println("violation:", text)
	}
}

// violationError returns an error if there were violations.
func violationError(count int) error {
	if count == 0 {
		return nil
	}
	return fmt.Errorf("%d violations of invariants", count)
}
