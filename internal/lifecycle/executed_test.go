package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"gaugerelay/internal/scheduler"
)

// Guards against requests that run twice because their client has left and sends them again under the same id.
func TestRepeatedRequestsRunOnce(t *testing.T) {
	const nowMs, shard = 1e6, 3
	class := func(name string, idempotency scheduler.Idempotency, scope scheduler.DedupScope) scheduler.Class {
		return scheduler.Class{Name: name, Idempotency: idempotency, DedupScope: scope, DedupWindow: 2 * time.Second, Deadline: time.Second}
	}
	classes := []scheduler.Class{
		class("read", scheduler.Idempotent, scheduler.DedupAll),
		class("keyed", scheduler.IdempotentWithKey, scheduler.DedupShard),
		class("keyed-zone", scheduler.IdempotentWithKey, scheduler.DedupZone),
		class("keyed-all", scheduler.IdempotentWithKey, scheduler.DedupAll),
		class("once", scheduler.NotIdempotent, scheduler.DedupAll),
	}
	for _, test := range []struct {
		name, class, key, repeatedKey string
		repeatedShard                 int
		afterMs                       float64
		admitted                      bool
		shard                         int
	}{
		{"a read", "read", "", "", anyShard, 100, true, anyShard},
		{"to any shard", "keyed", "k", "k", anyShard, 100, true, shard},
		{"to the same shard", "keyed", "k", "k", shard, 100, true, shard},
		{"to another shard", "keyed", "k", "k", 1, 100, false, 0},
		{"with another key", "keyed", "k", "l", anyShard, 100, false, 0},
		{"at the end of the window", "keyed", "k", "k", anyShard, 2000 - repetitionMarginMs, false, 0},
		{"after the window", "keyed", "k", "k", anyShard, 2500, false, 0},
		{"forgotten", "keyed", "k", "k", anyShard, 3500, true, anyShard},
		{"recognized in a zone", "keyed-zone", "k", "k", shard, 100, false, 0},
		{"recognized everywhere", "keyed-all", "k", "k", anyShard, 100, true, anyShard},
		{"not idempotent", "once", "", "", shard, 100, false, 0},
	} {
		executed := newExecutedRequests(classes)
		first := &attemptState{server: &Server{Shard: shard}, sentMs: nowMs - 200}
		executed.remember(nowMs, &Request{ClientID: "id", Class: test.class, IdempotencyKey: test.key}, first)
		repeated := &Request{ClientID: "id", Class: test.class, IdempotencyKey: test.repeatedKey, Shard: test.repeatedShard, RemainingMs: 1e5}
		before := Request{Shard: repeated.Shard, RemainingMs: repeated.RemainingMs}
		admitted, ok := executed.admit(nowMs-200+test.afterMs, repeated)
		if ok != test.admitted || ok && admitted.shard != test.shard {
			t.Errorf("%s: admitted is %v with shard %d, want %v with %d", test.name, ok, admitted.shard, test.admitted, test.shard)
		}
		if test.class == "keyed" && ok && test.afterMs < 3000 && admitted.remainingMs > 2000-repetitionMarginMs-test.afterMs {
			t.Errorf("%s: the remaining time is %v ms, want it to end with the window", test.name, admitted.remainingMs)
		}
		if repeated.Shard != before.Shard || repeated.RemainingMs != before.RemainingMs {
			t.Errorf("%s: the request was changed, though its frontend reads it", test.name)
		}
	}
}

// Guards against keys that run at two shards because a client's retry has a fresh id.
func TestRetriesWithFreshIDsRunAtTheSameShard(t *testing.T) {
	const nowMs, shard, window = 1e6, 3, 2000
	class := func(name string, idempotency scheduler.Idempotency, scope scheduler.DedupScope) scheduler.Class {
		return scheduler.Class{Name: name, Idempotency: idempotency, DedupScope: scope, DedupWindow: window * time.Millisecond, Deadline: time.Second}
	}
	classes := []scheduler.Class{class("keyed", scheduler.IdempotentWithKey, scheduler.DedupShard),
		class("keyed-zone", scheduler.IdempotentWithKey, scheduler.DedupZone), class("keyed-all", scheduler.IdempotentWithKey, scheduler.DedupAll),
		class("once", scheduler.NotIdempotent, scheduler.DedupAll)}
	for _, test := range []struct {
		name, class, idempotencyKey string
		volume, key                 uint64
		repeatedShard               int
		afterMs                     float64
		shard                       int
		limited                     bool // whether the request must end with the window
	}{
		{"to any shard", "keyed", "k", 7, 9, anyShard, 100, shard, true},
		{"to the same shard", "keyed", "k", 7, 9, shard, 100, shard, true},
		{"with another key", "keyed", "l", 7, 9, anyShard, 100, anyShard, false},
		{"for other data", "keyed", "k", 7, 10, anyShard, 100, anyShard, false},
		{"of another volume", "keyed", "k", 8, 9, anyShard, 100, anyShard, false},
		{"after the window", "keyed", "k", 7, 9, anyShard, window, anyShard, false},
		{"recognized in a zone", "keyed-zone", "k", 7, 9, anyShard, 100, shard, true},
		{"recognized everywhere", "keyed-all", "k", 7, 9, anyShard, 100, anyShard, true},
		{"not idempotent", "once", "k", 7, 9, anyShard, 100, anyShard, false},
	} {
		executed := newExecutedRequests(classes)
		for number, at := range []int{shard, shard + 1} { // the second run, which servers have recognized, changes nothing
			first := &attemptState{server: &Server{Shard: at}, sentMs: nowMs - 200 + float64(number)}
			executed.remember(nowMs, &Request{ClientID: fmt.Sprint(number), Class: test.class, IdempotencyKey: "k", Volume: 7, Key: 9}, first)
		}
		repeated := &Request{ClientID: "fresh", Class: test.class, IdempotencyKey: test.idempotencyKey, Volume: test.volume, Key: test.key,
			Shard: test.repeatedShard, RemainingMs: 1e5}
		admitted, ok := executed.admit(nowMs-200+test.afterMs, repeated)
		if !ok || admitted.shard != test.shard {
			t.Errorf("%s: admitted is %v with shard %d, want true with %d", test.name, ok, admitted.shard, test.shard)
		}
		if limited := admitted.remainingMs <= window-repetitionMarginMs-test.afterMs; limited != test.limited {
			t.Errorf("%s: the remaining time is %v ms; want it to end with the window: %v", test.name, admitted.remainingMs, test.limited)
		}
	}
}

func TestExecutedRequestsAreBounded(t *testing.T) {
	executed := newExecutedRequests([]scheduler.Class{{Name: "once", Idempotency: scheduler.NotIdempotent, Deadline: time.Second}})
	first := &attemptState{server: &Server{}}
	for number := range maxExecutedRequests + 10 {
		executed.remember(0, &Request{ClientID: fmt.Sprint(number), Class: "once", IdempotencyKey: fmt.Sprint("k-", number)}, first)
	}
	if count := len(executed.byClientID); count != maxExecutedRequests || len(executed.oldestFirst) != count {
		t.Errorf("%d requests are remembered by id and %d by time, want %d", count, len(executed.oldestFirst), maxExecutedRequests)
	}
	if count := len(executed.byEffect); count > maxExecutedRequests {
		t.Errorf("%d requests are remembered by effect, want at most %d", count, maxExecutedRequests)
	}
	if _, ok := executed.admit(0, &Request{ClientID: fmt.Sprint(maxExecutedRequests), Class: "once"}); ok {
		t.Error("a late request may be repeated, want the oldest ones forgotten first")
	}
}
