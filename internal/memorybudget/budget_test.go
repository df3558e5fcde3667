package memorybudget

import (
	"testing"

	"gaugerelay/internal/metrics"
)

// fakeConns is a set of connections, of which the first makes the least progress.
type fakeConns struct {
	accounts []*Account
	ended    []*Account
}

func (f *fakeConns) Slowest() (Candidate, bool) {
	if len(f.accounts) == len(f.ended) {
		return Candidate{}, false
	}
	account := f.accounts[len(f.ended)]
	return Candidate{Account: account, BytesPerMs: float64(len(f.ended)), End: func() bool {
		f.ended = append(f.ended, account)
		return true
	}}, true
}

func checkUsed(t *testing.T, b *Budget, want int64) {
	t.Helper()
	if used := b.Used(); used != want {
		t.Errorf("%d bytes are used, want %d", used, want)
	}
}

func TestBudgetRefusesBytesBeyondTheLimit(t *testing.T) {
	counters := metrics.New()
	b := New(100, counters)
	first, second := b.NewAccount(), b.NewAccount()
	if !first.Reserve(60) || second.Reserve(60) || !second.Reserve(40) {
		t.Error("want 60 and 40 bytes of 100 reserved, and 60 more refused")
	}
	second.Force(10)
	checkUsed(t, b, 110)
	first.Release(1000)
	checkUsed(t, b, 50)
	second.Close()
	second.Force(10)
	checkUsed(t, b, 0)
	if refused, overrun := counters.Get(counterRefused), counters.Get(counterOverrun); refused != 1 || overrun != 1 {
		t.Errorf("%d reservations were refused and %d overran, want 1 and 1", refused, overrun)
	}
}

func TestBudgetEndsSlowestConnectionsUnderPressure(t *testing.T) {
	b, conns := New(100, metrics.New()), &fakeConns{}
	b.AddEvictor(conns)
	for range 10 {
		account := b.NewAccount()
		account.Reserve(7)
		conns.accounts = append(conns.accounts, account)
	}
	other := b.NewAccount()
	other.Reserve(18) // 88 bytes are used: 13 more than without pressure, so two connections of 7 bytes have to end
	if len(conns.ended) != 2 || conns.ended[0] != conns.accounts[0] {
		t.Fatalf("%d connections were ended, want the two slowest", len(conns.ended))
	}
	other.Reserve(1)
	other.Release(1)
	if len(conns.ended) != 2 {
		t.Error("connections were ended although those that are being ended release enough")
	}
	for _, account := range conns.ended {
		account.Close()
	}
	checkUsed(t, b, 74)
	other.Reserve(2)
	if len(conns.ended) != 3 {
		t.Errorf("%d connections were ended, want a third one once the bytes of the first two are used again", len(conns.ended))
	}
}

// A reservation that does not fit must end connections until the next attempt fits, also below the pressure that ends connections anyway.
func TestRefusedReservationMakesRoom(t *testing.T) {
	b, conns := New(100, metrics.New()), &fakeConns{}
	b.AddEvictor(conns)
	for range 7 {
		account := b.NewAccount()
		account.Reserve(10)
		conns.accounts = append(conns.accounts, account)
	}
	large := b.NewAccount()
	if large.ReserveBulk(40) {
		t.Fatal("40 bytes were reserved beside 70, want them refused")
	}
	if len(conns.ended) != 3 { // 85 may be reserved in bulk
		t.Fatalf("%d connections were ended, want 3", len(conns.ended))
	}
	for _, account := range conns.ended {
		account.Close()
	}
	if !large.ReserveBulk(40) {
		t.Error("40 bytes were refused beside 40")
	}
}

func TestBudgetWithoutLimit(t *testing.T) {
	var none *Budget
	for _, account := range []*Account{none.NewAccount(), New(0, metrics.New()).NewAccount(), {}} {
		if !account.Reserve(1 << 40) {
			t.Error("bytes were refused without a limit")
		}
		account.Release(1)
		account.Close()
	}
}

// fakeData is data of one account that can be obtained again.
type fakeData struct {
	account *Account
	sizes   []int
}

func (f *fakeData) Drop() bool {
	if len(f.sizes) == 0 {
		return false
	}
	f.account.Release(f.sizes[0])
	f.sizes = f.sizes[1:]
	return true
}

// Guards against bytes that are refused, and connections that are ended, although data that can be obtained again takes the memory.
func TestBudgetDropsDataBeforeItRefuses(t *testing.T) {
	counters := metrics.New()
	b, conns := New(100, counters), &fakeConns{}
	kept, other := b.NewAccount(), b.NewAccount()
	data := &fakeData{kept, []int{30, 30, 10}}
	b.AddDropper(data)
	conns.accounts = append(conns.accounts, kept)
	kept.Reserve(70)
	if !other.ReserveUpTo(0.5, 15) || len(data.sizes) != 1 {
		t.Errorf("%v is left of the data, want the first two dropped, and 15 bytes reserved of 50", data.sizes)
	}
	other.Force(90)
	if len(data.sizes) != 0 {
		t.Errorf("%v is left of the data beyond the limit, want it dropped", data.sizes)
	}
	checkUsed(t, b, 105)
	if other.Reserve(1) {
		t.Error("bytes beyond the limit were reserved, want them refused")
	}
}

func TestAccountIsResized(t *testing.T) {
	b := New(100, metrics.New())
	account := b.NewAccount()
	for _, bytes := range []int{10, 150, 150, 3, 0} {
		account.Resize(bytes)
		checkUsed(t, b, int64(bytes))
	}
	account.Close()
	account.Resize(5)
	checkUsed(t, b, 0)
}
