package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"gaugerelay/internal/gateway"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/linkshaper"
	"gaugerelay/internal/testbed/soak"
)

// Mean times between faults in a soak test.
const (
	restartInterval     = 45 * time.Second // mean time between restarts of the gateway
	replacementInterval = 8 * time.Second  // mean time between replacements of a server
)

// serverFaults are the faults of the storage servers in a soak test: probabilities, and the delay of a slow response.
var serverFaults = fakestorage.Faults{Reject: 0.02, ErrorAfter: 0.02, ResetAfter: 0.02, ResetBefore: 0.01, Slow: 0.05,
	SlowDelay: 700 * time.Millisecond}

// linkProfiles maps the values of the flag --links to the profiles of the devices' links.
var linkProfiles = map[string][]linkshaper.Profile{
	"all":      {linkshaper.Good, linkshaper.Middling, linkshaper.Bad},
	"good":     {linkshaper.Good},
	"middling": {linkshaper.Middling},
	"bad":      {linkshaper.Bad},
}

// soakCmd holds the flags of the subcommand soak.
type soakCmd struct {
	Seconds  float64 `default:"60" help:"Duration of the run, in seconds."`
	Seed     uint64  `default:"1" help:"Seed of devices, links and faults; the same seed gives the same ones."`
	Devices  int     `default:"36" help:"Number of devices."`
	Uploads  int     `default:"4" help:"Number of clients that upload files by file commands, break their connections and begin anew."`
	Wires    string  `default:"chf" help:"Protocols of the devices, assigned in turn: c for CoAP, h for HTTP, f for file commands."`
	Links    string  `default:"all" enum:"all,good,middling,bad" help:"Quality of the devices' links: all, good, middling or bad."`
	Odd      float64 `default:"0.15" help:"Fraction of the exchanges in which a device misbehaves."`
	Calm     bool    `help:"Run without server faults, drains and restarts."`
	Baseline bool    `default:"true" negatable:"" help:"Also run the same load without deduplication, for comparison."`
	Crowds   bool    `default:"true" negatable:"" help:"Let crowds of clients that stop within their requests hold connections."`
	Log      bool    `help:"Show the gateway's log."`
}

// Run runs the soak test and, unless the flags disable it, the baseline without deduplication. It returns an error if an
// invariant was violated.
func (c *soakCmd) Run() error {
	if !c.Log {
		logevent.Setup(io.Discard, slog.LevelError)
	}
	report, baseline, err := c.runWithBaseline()
	if err != nil {
		return err
	}
	printReport("with deduplication", report)
	baselineFraction := 0.0
	if baseline != nil {
		printReport("without deduplication", baseline)
		baselineFraction = servedInTimeFraction(baseline)
	}
	printViolations(report.Violations)
	fmt.Printf("exchanges=%d double_answers=%d unallowed_repeats=%d unanswered=%d damaged_uploads=%d served_in_time=%.4f baseline=%.4f\n",
		report.Exchanges, report.DuplicateResponses, report.DisallowedRetries, report.MissingResponses, report.DamagedUploads, servedInTimeFraction(report), baselineFraction)
	if report.UnreleasedBytes != 0 {
		return fmt.Errorf("the gateway still counts %d bytes of clients' data after its end", report.UnreleasedBytes)
	}
	return violationError(report.ViolationCount())
}

// runWithBaseline runs the soak test and the baseline concurrently, since they share no state. The baseline's report is nil
// if the flags disable the baseline.
func (c *soakCmd) runWithBaseline() (report, baseline *soak.Report, err error) {
	options := c.options()
	var baselineErr error
	var baselineRun sync.WaitGroup
	if c.Baseline {
		baselineOptions := options
		baselineOptions.Deduplication, baselineOptions.Crowds = false, false
		baselineRun.Go(func() { baseline, baselineErr = soak.Run(baselineOptions) })
	}
	report, err = soak.Run(options)
	baselineRun.Wait()
	return report, baseline, errors.Join(err, baselineErr)
}

func (c *soakCmd) options() soak.Options {
	options := soak.Options{Duration: time.Duration(c.Seconds * float64(time.Second)), Seed: c.Seed, Devices: c.Devices, Uploaders: c.Uploads,
		Links: linkProfiles[c.Links], Protocols: c.Wires, Deduplication: true, QuirkRate: c.Odd, Crowds: c.Crowds,
		Network: gateway.SystemNetwork()}
	if !c.Calm {
		options.RestartInterval, options.ReplacementInterval, options.Faults = restartInterval, replacementInterval, serverFaults
	}
	return options
}

func servedInTimeFraction(r *soak.Report) float64 {
	return float64(r.ServedInTime) / float64(max(1, r.Exchanges))
}

// printReport prints a report under a title.
func printReport(title string, r *soak.Report) {
	fmt.Printf("%s: %d exchanges, %d of them writes; %d servers replaced, %d restarts of the gateway\n", title, r.Exchanges,
		r.Writes, r.Replacements, r.Restarts)
	fmt.Printf("  duplicate responses %d, disallowed retries %d, without response %d, served but not executed %d, sends to draining servers %d, file writes executed again after a restart %d\n",
		r.DuplicateResponses, r.DisallowedRetries, r.MissingResponses, r.LostWrites, r.SendsToDraining, r.RewritesAfterRestart)
	fmt.Printf("  uploads of files %d, damaged %d\n", r.Uploads, r.DamagedUploads)
	fmt.Printf("  served in time %.4f, by weight %.4f; executions per write %.3f; bytes sent per byte %.2f; time to the final response p50 %d ms, p99 %d ms\n",
		servedInTimeFraction(r), r.WeightInTime/max(1, r.Weight), float64(r.WriteExecutions)/float64(max(1, r.Writes)),
		float64(r.BytesSent)/float64(max(1, r.PayloadBytes)), r.Quantile(0.5).Milliseconds(), r.Quantile(0.99).Milliseconds())
	fmt.Println("  not served in time, by the last response that their devices received:")
	for _, response := range slices.Sorted(maps.Keys(r.Unserved)) {
		fmt.Printf("    %d %s\n", r.Unserved[response], response)
	}
}
