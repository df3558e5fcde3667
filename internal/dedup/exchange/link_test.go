package exchange

import (
	"math"
	"math/rand/v2"
	"testing"
)

var linkSettings = LinkSettings{MinIdleTimeoutMs: 1000, MaxIdleTimeoutMs: 10_000, MinBlockSize: 64, MaxBlockSize: 16384, MaxBlockTransferMs: 400}

func TestLinkFollowsWhatItIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		rtt, jitter, rate, gap float64
		block                  int
		dead                   [2]float64
	}{
		"good":     {20, 4, 1000, 5, 16384, [2]float64{1000, 1000}},
		"slow":     {300, 60, 10, 50, 2048, [2]float64{1000, 1500}},
		"stalling": {100, 20, 50, 2500, 16384, [2]float64{4500, 6000}},
		"hopeless": {2000, 500, 0.5, 9000, 128, [2]float64{10_000, 10_000}},
	} {
		r, l := rand.New(rand.NewPCG(1, 1)), &LinkEstimator{}
		for range 200 {
			l.Observe(LinkSample{RoundTripMs: c.rtt + c.jitter*(2*r.Float64()-1), Bytes: 2000, TransferMs: 2000 / c.rate, MaxGapMs: c.gap})
		}
		a := l.Advise(&linkSettings)
		if a.BlockSize != c.block || a.IdleTimeoutMs < c.dead[0] || a.IdleTimeoutMs > c.dead[1] {
			t.Errorf("%s: %+v, want blocks of %d and dead after %v", name, a, c.block, c.dead)
		}
		// An answer of 1,000 bytes: there and back, on the wire, half a usual stall, and what it may vary.
		want := c.rtt + 1000/c.rate + c.gap/2
		if got := l.ExpectedOverheadMs(1000, 1e6); got < want*0.9 || got > want*1.1+max(25, 4*c.jitter) {
			t.Errorf("%s: %v ms for an answer, want about %v", name, got, want)
		}
	}
}

// What devices tell may be anything.
func TestLinkLeavesOutNonsense(t *testing.T) {
	l := &LinkEstimator{}
	for _, x := range []float64{math.NaN(), math.Inf(1), -5, 0, 1e12} {
		l.Observe(LinkSample{RoundTripMs: x, Bytes: 1000, TransferMs: x, MaxGapMs: x})
	}
	l.Observe(LinkSample{Bytes: 3, TransferMs: 1})
	if l.rtt != 0 || l.rate != 0 || l.gaps.Count() != 0 {
		t.Errorf("%+v", l)
	}
	// Of a link that nothing is known of, up to 600 ms or a quarter of the time go to the ways.
	for left, want := range map[float64]float64{400: 100, 2400: 600, 1e5: 600, -3: 0} {
		if got := l.roundTrip(left); got != want {
			t.Errorf("of %v ms: %v, want %v", left, got, want)
		}
	}
	if a := l.Advise(&linkSettings); a.IdleTimeoutMs != 10_000 {
		t.Errorf("an unknown link is dead after %v", a.IdleTimeoutMs)
	}
}

// A request whose answer could not arrive in time is refused at once, and nothing is sent; what its link takes is
// not given to the module.
func TestTimeForTheWays(t *testing.T) {
	l, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	offer := func(id CopyID, left, rtt float64) Action {
		return l.Step(1e6, CopyReceived{Copy: id, Device: "d", Key: string(rune('a' + id)), RemainingMs: left, ResendHistory: ResendHistory{AgeMs: -1}, Link: LinkSample{RoundTripMs: rtt}})[0]
	}
	if r, ok := offer(1, 2000, 400).(StartRun); !ok || r.RemainingMs > 1600 || r.RemainingMs < 700 {
		t.Errorf("%+v", r)
	}
	if a, ok := offer(2, 300, 0).(Respond); !ok || a.Outcome != OutcomeTooLate {
		t.Errorf("%+v", a)
	}
	for i, left := range []float64{0, -100, math.NaN()} {
		if a, ok := offer(CopyID(10+i), left, 0).(Respond); !ok || a.Outcome != OutcomeTooLate {
			t.Errorf("%v ms left: %+v", left, a)
		}
	}
}

func TestSettingsOutOfRange(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"exchanges": func(s *Settings) { s.MaxExchanges = 0 }, "bytes": func(s *Settings) { s.MaxHeldBytes = s.MaxBodyBytes },
		"keeping": func(s *Settings) { s.RetentionMs = math.NaN() }, "dead": func(s *Settings) { s.Link.MaxIdleTimeoutMs = 1 },
		"block": func(s *Settings) { s.Link.MinBlockSize = 8 }, "come back": func(s *Settings) { s.MaxRetryAfterMs = 1 },
	} {
		set := testSettings()
		change(&set)
		if _, err := New(set); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
