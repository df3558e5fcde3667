package workbudget

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

// newTestBudget returns a budget for one core on the clock of a synctest bubble.
func newTestBudget() *Budget { return New(1, clock.NewSystem(), metrics.New()) }

// flood answers requests on an account until the duration is over, and returns their number.
func flood(account *Account, duration time.Duration) (answers int) {
	for end := time.Now().Add(duration); time.Now().Before(end); answers++ {
		if !account.AwaitRead() || !account.AwaitAnswer(Request) {
			return answers
		}
	}
	return answers
}

// workOf returns the work of a number of answers in milliseconds.
func workOf(answers int) float64 { return float64(answers) * float64(Request) / microsPerMs }

// A connection that is answered at full speed must not take more than its share, however long it goes on.
func TestConnectionGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds = 3
		account := newTestBudget().Open(tcpAddr(1, 1))
		got := workOf(flood(account, seconds*time.Second))
		if want := seconds*1000*connectionShare + float64(connectionBurst)/microsPerMs; got > 1.01*want || got < 0.9*want {
			t.Errorf("the connection got %.1f ms of work, want %.1f", got, want)
		}
		if !account.Overused() {
			t.Error("the connection does not count as overused")
		}
		time.Sleep(time.Second)
		if account.Overused() {
			t.Error("the connection still counts as overused after a pause")
		}
	})
}

// Connections of one host, and all connections together, must not take more than their shares. Each of the floods must get something or be
// refused in time, and one that is refused must not be charged.
func TestHostsGetTheirShare(t *testing.T) {
	for _, test := range []struct {
		hosts int
		share float64
		burst Work
	}{{1, hostShare, hostBurst}, {10, totalShare, totalBurst}} {
		synctest.Test(t, func(t *testing.T) {
			const seconds, conns = 1, 100
			budget := newTestBudget()
			total := make(chan int)
			for conn := range conns {
				account := budget.Open(tcpAddr(byte(1+conn%test.hosts), conn))
				go func() { total <- flood(account, seconds*time.Second) }()
			}
			answers := 0
			for range conns {
				answers += <-total
			}
			limit := seconds*1000*test.share + float64(test.burst)/microsPerMs
			if got := workOf(answers); got > 1.05*limit || got < 0.8*limit {
				t.Errorf("with %d hosts the connections got %.1f ms of work, want nearly %.1f", test.hosts, got, limit)
			}
			if budget.waitingNow() != 0 {
				t.Errorf("%d connections still wait", budget.waitingNow())
			}
		})
	}
}

// floodHost lets clients of a host flood for the duration, on connections that are kept or that carry one request each.
func floodHost(budget *Budget, running *sync.WaitGroup, clients int, reconnect bool, duration time.Duration) {
	for client := range clients {
		running.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				account := budget.Open(tcpAddr(1, 100+client))
				if reconnect {
					_ = account.AwaitAnswer(Request)
				} else {
					flood(account, time.Until(end))
				}
				account.Close()
				time.Sleep(time.Microsecond)
			}
		})
	}
}

// awaitCheck returns how long a health check waits. It fails the test if the check is refused.
func awaitCheck(t *testing.T, account *Account) time.Duration {
	t.Helper()
	startedAt := time.Now()
	if !account.AwaitRead() || !account.AwaitAnswer(Request) {
		t.Error("a health check was refused")
	}
	return time.Since(startedAt)
}

// Clients at the rate of health checks must be answered soon beside a flood from the same host, on kept connections and on new ones.
func TestHealthChecksDoNotWaitBehindFlood(t *testing.T) {
	const floods, checks, maxWait, floodTime = 100, 20, 50 * time.Millisecond, 4 * time.Second
	for _, reconnect := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var running sync.WaitGroup
			defer running.Wait()
			budget := newTestBudget()
			kept := budget.Open(tcpAddr(1, 1))
			floodHost(budget, &running, floods, reconnect, floodTime)
			time.Sleep(time.Second)
			for range checks {
				fresh := budget.Open(tcpAddr(1, 2))
				if wait := awaitCheck(t, fresh); wait > maxWait {
					t.Errorf("flood that reconnects: %v; a check on a new connection waited for %v", reconnect, wait)
				}
				fresh.Close()
				if wait := awaitCheck(t, kept); wait > maxWait {
					t.Errorf("flood that reconnects: %v; a check on a kept connection waited for %v", reconnect, wait)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// A connection that sends valid requests at a usual rate must never wait, whatever its host does besides.
func TestUsualRequestsDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := newTestBudget()
		var running sync.WaitGroup
		defer running.Wait()
		for conn := range 20 {
			account := budget.Open(tcpAddr(1, 100+conn))
			running.Go(func() { flood(account, 5*time.Second) })
		}
		account := budget.Open(tcpAddr(1, 1))
		for range 200 {
			startedAt := time.Now()
			if !account.AwaitRead() || time.Since(startedAt) > 0 {
				t.Fatalf("a request waited for %v", time.Since(startedAt))
			}
			account.Charge(Read + Submission)
			time.Sleep(25 * time.Millisecond)
		}
	})
}

// Work that waits for too long must be refused within the time that the platform gives for bad clients, and must not be charged.
func TestLongWaitsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := metrics.New()
		budget := New(1e-6, clock.NewSystem(), registry)
		account := budget.Open(tcpAddr(1, 1))
		budget.mu.Lock()
		budget.total.take(2*totalBurst, clock.NewSystem().NowMs())
		budget.mu.Unlock()
		startedAt := time.Now()
		if account.AwaitAnswer(Request) {
			t.Error("the work passed although there is none left")
		}
		if waited := time.Since(startedAt); waited != maxWaitMs*time.Millisecond {
			t.Errorf("the work waited for %v", waited)
		}
		if registry.Get(counterRefused) != 1 || budget.waitingNow() != 0 {
			t.Errorf("%d refused, %d waiting; want 1 and 0", registry.Get(counterRefused), budget.waitingNow())
		}
	})
}

// The guard is part of the way of each valid request.
func BenchmarkRequest(b *testing.B) {
	account := newTestBudget().Open(tcpAddr(1, 1))
	for b.Loop() {
		account.AwaitRead()
		account.Charge(Read + Bytes(300))
		account.Charge(Submission)
		account.budget.mu.Lock()
		account.bucket.level, account.usage.work = connectionBurst, 0
		account.budget.mu.Unlock()
	}
}
