package permission

import (
	"math"
	"testing"
)

func TestMayBegin(t *testing.T) {
	open := Facts{NowMs: 100, ListUntilMs: math.Inf(1), DeadlineMs: 1000}
	for _, c := range []struct {
		name   string
		change func(*Facts)
		want   Denial
	}{
		{"nothing against it", func(*Facts) {}, Allowed},
		{"client gone", func(f *Facts) { f.ClientGone = true }, ClientGone},
		{"server closed", func(f *Facts) { f.ServerClosed = true }, ServerClosed},
		{"list valid for a moment more", func(f *Facts) { f.ListUntilMs = 100.1 }, Allowed},
		{"list expired in this moment", func(f *Facts) { f.ListUntilMs = 100 }, ListExpired},
		{"news unread", func(f *Facts) { f.ListUnread = true }, ListUnread},
		{"window open for a moment more", func(f *Facts) { f.BeginBeforeMs = 100.1 }, Allowed},
		{"window over in this moment", func(f *Facts) { f.BeginBeforeMs = 100 }, WindowOver},
		{"a millisecond left", func(f *Facts) { f.DeadlineMs = 101 }, Allowed},
		{"less than a millisecond left", func(f *Facts) { f.DeadlineMs = 100.9 }, TimeUp},
		{"no time left", func(f *Facts) { f.DeadlineMs = 50 }, TimeUp},
		{"several", func(f *Facts) { f.ClientGone, f.ServerClosed, f.DeadlineMs = true, true, 0 }, ClientGone},
	} {
		f := open
		c.change(&f)
		if got := MayBegin(f); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := LeftMs(Facts{NowMs: 100.2, DeadlineMs: 300}); got != 199 {
		t.Errorf("left: %v, want 199", got)
	}
	if Denial(99).String() != "unknown" || TimeUp.String() != "time_up" {
		t.Error("names of denials")
	}
}
