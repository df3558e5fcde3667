// Command faultbench tests the gateway under faults, with fakes of the external systems on loopback addresses. Each
// subcommand prints a summary line and exits with status 1 if an invariant was violated. Each subcommand is a struct whose
// fields are its flags.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

func main() {
	var cli struct {
		Fleet   fleetCmd   `cmd:"" help:"Run fault scenarios in a fleet of gateway processes and on the network between them."`
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

// gatewayBinary returns the path of the gateway program: path, or gaugerelay in the directory of this program if path is "".
func gatewayBinary(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	executable, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("cannot find the path of this program: %w", err)
	}
	return filepath.Join(filepath.Dir(executable), "gaugerelay"), nil
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
	return fmt.Errorf("found %d violations of invariants", count)
}
