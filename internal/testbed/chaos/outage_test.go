package chaos

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// program builds the real program.
func program(t *testing.T) string {
	t.Helper()
	at := filepath.Join(t.TempDir(), "gaugerelay")
	if out, err := exec.Command("go", "build", "-o", at, "gaugerelay/cmd/gaugerelay").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return at
}

// A server begins to drain right behind an outage of discovery, while the gateways, which know themselves as some of a
// large fleet, have seen their calls fail again and again: none of them sends it anything once the change counts as told.
func TestNoListIsUsedForTooLongBehindAnOutage(t *testing.T) {
	const (
		processes = 8
		outageFor = 9 * time.Second
		seenFor   = notifyWithin + drainGrace + 2*time.Second
	)
	r, err := start(Options{Binary: program(t), Gateways: processes, FleetSize: 300, Shards: 2, Seed: 1, RequestRate: 20})
	defer r.close()
	if err != nil {
		t.Fatal(err)
	}
	r.discovery.setDown(true, refusing) // before most of them have called for the first time
	for _, c := range r.clients {
		r.all.Go(func() { c.traffic(r.opt.RequestRate, r.opt.Shards, r.stop, &r.all) })
	}
	go r.watchMachine()
	r.sleep(outageFor)
	r.discovery.setDown(false, 0)
	r.current[0].drain(false)
	r.discovery.publish(change{server: r.current[0], state: "Terminating"})
	r.sleep(seenFor)
	close(r.stop)
	r.all.Wait()
	res := r.finish()
	for _, text := range res.Violations {
		t.Error(text)
	}
	if res.Served < 100*processes {
		t.Errorf("%d of %d requests were served: too few to show anything", res.Served, res.Requests)
	}
}
