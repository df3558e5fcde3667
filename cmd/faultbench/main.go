// Command faultbench tries the gateway out: long soaks of its fronts for devices against stand-ins, on loopback.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"gaugerelay/internal/gateway"
	"gaugerelay/internal/logevent"
	"gaugerelay/internal/testbed/fakestorage"
	"gaugerelay/internal/testbed/linkshaper"
	"gaugerelay/internal/testbed/soak"
)

type soakCmd struct {
	Seconds  float64 `default:"60" help:"How long devices go on."`
	Seed     uint64  `default:"1" help:"What is drawn; the same seed draws the same devices, links and faults."`
	Devices  int     `default:"36" help:"How many devices."`
	Wires    string  `default:"chf" help:"Protocols dealt out among them: c CoAP, h HTTP, f file commands."`
	Links    string  `default:"all" enum:"all,good,middling,bad" help:"Kinds of links: all, good, middling or bad."`
	Odd      float64 `default:"0.15" help:"Part of the exchanges in which a device behaves oddly."`
	Calm     bool    `help:"No faults at nodes, no drains, no restarts."`
	Baseline bool    `default:"true" negatable:"" help:"Run the same once more without the ledger."`
	Log      bool    `help:"Show the gateway's log."`
}

// Run runs the soak; what must never be makes it fail.
func (c *soakCmd) Run() error {
	if !c.Log {
		logevent.Setup(io.Discard, slog.LevelError)
	}
	links := map[string][]linkshaper.Profile{"all": {linkshaper.Good, linkshaper.Middling, linkshaper.Bad}, "good": {linkshaper.Good},
		"middling": {linkshaper.Middling}, "bad": {linkshaper.Bad}}[c.Links]
	o := soak.Options{Duration: time.Duration(c.Seconds * float64(time.Second)), Seed: c.Seed, Devices: c.Devices, Links: links,
		Protocols: c.Wires, Deduplication: true, QuirkRate: c.Odd, Network: gateway.SystemNetwork()}
	if !c.Calm {
		o.RestartInterval, o.ReplacementInterval = 45*time.Second, 8*time.Second
		o.Faults = fakestorage.Faults{Reject: 0.02, ErrorAfter: 0.02, ResetAfter: 0.02, ResetBefore: 0.01, Slow: 0.05,
			SlowDelay: 700 * time.Millisecond}
	}
	// Both at once: they share nothing but the machine.
	var without *soak.Report
	var failed error
	var both sync.WaitGroup
	if c.Baseline {
		plain := o
		plain.Deduplication = false
		both.Go(func() { without, failed = soak.Run(plain) })
	}
	rep, err := soak.Run(o)
	both.Wait()
	if err = errors.Join(err, failed); err != nil {
		return err
	}
	show("with the ledger", rep)
	part := func(r *soak.Report) float64 { return float64(r.ServedInTime) / float64(max(1, r.Exchanges)) }
	base := 0.0
	if without != nil {
		show("without", without)
		base = part(without)
	}
	for _, f := range rep.Violations {
		fmt.Println("fault:", f)
	}
	fmt.Printf("exchanges=%d double_answers=%d unallowed_repeats=%d unanswered=%d served_in_time=%.4f baseline=%.4f\n",
		rep.Exchanges, rep.DuplicateResponses, rep.DisallowedRetries, rep.MissingResponses, part(rep), base)
	if n := rep.ViolationCount(); n > 0 {
		return fmt.Errorf("%d of what must never be", n)
	}
	return nil
}

func show(what string, r *soak.Report) {
	fmt.Printf("%s: %d exchanges, %d of them writes; %d node replacements, %d restarts of the gateway\n", what, r.Exchanges,
		r.Writes, r.Replacements, r.Restarts)
	fmt.Printf("  double answers %d, unallowed repeats %d, unanswered %d, served but never run %d, sends to draining nodes %d, file writes run anew after a restart %d\n",
		r.DuplicateResponses, r.DisallowedRetries, r.MissingResponses, r.LostWrites, r.SendsToDraining, r.RewritesAfterRestart)
	fmt.Printf("  served in time %.4f, worth %.4f; runs per write %.3f; bytes sent per byte %.2f; time to a final answer p50 %d ms, p99 %d ms\n",
		float64(r.ServedInTime)/float64(max(1, r.Exchanges)), r.WeightInTime/max(1, r.Weight), float64(r.WriteExecutions)/float64(max(1, r.Writes)),
		float64(r.BytesSent)/float64(max(1, r.PayloadBytes)), r.Quantile(0.5).Milliseconds(), r.Quantile(0.99).Milliseconds())
	fmt.Println("  not served in time, by the last that their devices heard:")
	for _, what := range slices.Sorted(maps.Keys(r.Unserved)) {
		fmt.Printf("    %d %s\n", r.Unserved[what], what)
	}
}

func main() {
	var cli struct {
		Fleet   fleetCmd   `cmd:"" help:"Several gateways, the real program, with faults between them and into them."`
		Chaos   chaosCmd   `cmd:"" help:"Several gateways, the real program, with random faults that overlap, judged by the rules."`
		Members membersCmd `cmd:"" help:"Membership of fleets of 3 to 1,000 gateways, with losses and deaths."`
		Soak    soakCmd    `cmd:"" help:"Devices on poor links against a gateway whose nodes fail, drain and restart."`
	}
	ctx := kong.Parse(&cli, kong.Name("faultbench"), kong.Description("Tries the gateway out against stand-ins, on loopback."),
		kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "faultbench:", err)
		os.Exit(1)
	}
}
