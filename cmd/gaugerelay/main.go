// Command gaugerelay is the gateway: its command line and signals. Package gateway puts the parts together.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"gaugerelay/internal/config"
	"gaugerelay/internal/gateway"
	"gaugerelay/internal/logevent"
)

type serveCmd struct {
	Edge     string     `type:"path" placeholder:"FILE" help:"The operator's file for further fronts; none are on without it."`
	LogLevel slog.Level `default:"info" placeholder:"LEVEL" help:"The least level that is logged: debug (each request and attempt), info, warn or error."`
}

// Run serves until the program is told to end.
func (c *serveCmd) Run() error {
	logevent.Setup(os.Stderr, c.LogLevel)
	return run(c.Edge)
}

type showCmd struct {
	Addr string `arg:"" help:"Where the gateway's clients connect."`
}

// Run prints what a running gateway knows of its fleet.
func (c *showCmd) Run() error {
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + c.Addr + "/fleet")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is in no fleet, or is no gateway: %s", c.Addr, resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

func main() {
	var cli struct {
		Serve serveCmd `cmd:"" default:"withargs" help:"Serve; this is what is done without a command."`
		Fleet struct {
			Show showCmd `cmd:"" help:"What a running gateway knows of its fleet: bounds in force, members, parts held."`
		} `cmd:"" help:"Gateways that share limits."`
	}
	args := os.Args[1:]
	for i, a := range args {
		if a == "-edge" || strings.HasPrefix(a, "-edge=") { // as it was written before there were commands
			args[i] = "-" + a
		}
	}
	parser := kong.Must(&cli, kong.Name("gaugerelay"), kong.Description("The gateway."))
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gaugerelay:", err)
		os.Exit(1)
	}
}

func run(edgeFile string) error {
	// From the first moment on, and in a queue: SIGHUP would end the program, and one signal hide the next.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	edge := &config.Edge{}
	if edgeFile != "" {
		if edge, err = config.LoadEdge(edgeFile, &cfg.Settings); err != nil {
			return err
		}
	}
	limit(cfg)
	system, network, err := machine(cfg)
	if err != nil {
		return err
	}
	g, err := gateway.New(cfg, edge, system, network)
	if err != nil {
		return err
	}
	if err := g.Start(); err != nil {
		return err
	}
	for {
		select {
		case err := <-g.Ended():
			return err
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				g.Metrics.WriteText(os.Stderr)
			case syscall.SIGHUP:
				g.Reload()
			default:
				g.Stop()
				g.Metrics.WriteText(os.Stderr)
				return nil
			}
		}
	}
}

// limit keeps the program inside what the platform gives it.
func limit(cfg *config.Config) {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Floor(cfg.Cores))))
	}
	if cfg.MemoryMB > 0 {
		// What is live is a few MB and most of the limit is unused: collecting less often saves processor time,
		// which is short before memory is. Near the limit the collector runs as often as it must.
		debug.SetGCPercent(300)
		debug.SetMemoryLimit(int64(cfg.MemoryMB * 0.75 * (1 << 20)))
	}
}
