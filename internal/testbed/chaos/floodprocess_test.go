//go:build overload

package chaos

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"

	"gaugerelay/internal/testbed/overload"
)

// A flood runs in a process of its own, with few processors: a flood in the process of the bystanders would delay them itself.
const (
	// floodVariable is the environment variable that makes the test program flood. Its value is a floodOrder.
	floodVariable = "GAUGERELAY_TEST_FLOOD"
	// floodProcessors is the number of processors of the process that floods.
	floodProcessors = 3
	floodSeed       = 1
)

// floodOrder is what a process of a flood does.
type floodOrder struct {
	Target  overload.Target
	Options overload.FloodOptions
}

// TestMain runs the tests, or a flood if floodVariable says so.
func TestMain(m *testing.M) {
	text := os.Getenv(floodVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	var order floodOrder
	if err := json.Unmarshal([]byte(text), &order); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(runFlood(order))
}

// runFlood floods until the standard input ends, and returns the number of requests.
func runFlood(order floodOrder) (requests int) {
	stop := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // ends when the process that has started this one closes the pipe or ends
		close(stop)
	}()
	return overload.Flood(order.Target, order.Options, floodSeed, stop)
}

// floodFromProcess floods from another process until stop is closed, and returns the number of requests.
func floodFromProcess(t *testing.T, target overload.Target, options overload.FloodOptions, stop <-chan struct{}) (requests int) {
	t.Helper()
	order, err := json.Marshal(floodOrder{target, options})
	if err != nil {
		t.Error(err)
		return 0
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), floodVariable+"="+string(order), fmt.Sprintf("GOMAXPROCS=%d", floodProcessors))
	input, err := cmd.StdinPipe()
	if err != nil {
		t.Error(err)
		return 0
	}
	go func() {
		<-stop
		_ = input.Close() // the process ends in any case
	}()
	output, err := cmd.Output()
	if err != nil {
		t.Error(err)
		return 0
	}
	if _, err := fmt.Sscan(string(output), &requests); err != nil {
		t.Error(err)
	}
	return requests
}
