package cluster

import (
	"fmt"
	"io"
	"time"
)

// Run runs the scenario with the given name, or all scenarios in turn if the name is empty. It repeats them until duration
// is over; if duration is 0, it runs each once. A scenario that violates an invariant ends the run. Run writes a line for
// each scenario to out, and the log around the first violation. An error means that the run could not be started;
// violations are in the result.
func Run(options Options, duration time.Duration, scenarioName string, out io.Writer) (Result, error) {
	selected := scenariosNamed(scenarioName)
	if len(selected) == 0 {
		return Result{}, fmt.Errorf("cluster: unknown scenario %q", scenarioName)
	}
	c, err := StartCluster(options)
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	start := time.Now()
	for i := 0; duration == 0 && i < len(selected) || time.Since(start) < duration; i++ {
		if !c.runScenario(selected[i%len(selected)], out) {
			break
		}
	}
	return c.Result(), nil
}

// scenariosNamed returns the scenario with a name, or all scenarios if the name is empty.
func scenariosNamed(name string) (selected []scenario) {
	for _, s := range scenarios {
		if name == "" || s.name == name {
			selected = append(selected, s)
		}
	}
	return selected
}

// runScenario runs a scenario and reports whether no invariant has been violated so far.
func (c *Cluster) runScenario(s scenario, out io.Writer) bool {
	before := c.Result()
	c.log.Printf("(scenario: %s)", s.name)
	s.run(c)
	c.restartCrashed()
	after := c.Result()
	writef(out, "%-66s served %5d units, rejected %4d; at most %5.1f units over a limit, %.1f are allowed\n", s.name,
		int(after.ServedUnits-before.ServedUnits), after.Rejected-before.Rejected, after.MaxOverLimit, after.AllowedOverLimit)
	if len(after.Violations) == 0 {
		return true
	}
	writef(out, "seed %d, %s; the merged log around the first violation:\n%s\n", c.options.Seed, s.name, c.FirstViolationLog())
	return false
}

// restartCrashed records a violation for each gateway that has exited unexpectedly, and starts it again.
func (c *Cluster) restartCrashed() {
	for _, gateway := range c.gateways {
		if !gateway.Running() {
			c.addViolation("%s exited unexpectedly", gateway.Name)
			c.updateResult(func(result *Result) { result.Crashed++ })
			c.restart(gateway.Index)
		}
	}
}

// writef writes progress to out. Write errors are ignored, since the result does not depend on the output.
func writef(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
