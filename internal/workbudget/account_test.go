package workbudget

import (
	"fmt"
	"net"
	"testing"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/metrics"
)

// tcpAddr returns an address of a client.
func tcpAddr(host byte, port int) net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, host), Port: port}
}

// An operator must see which connections and hosts cause the most work, also by connections that have ended.
func TestBusiestNamesConnectionsAndHosts(t *testing.T) {
	now := clock.NewManual(0)
	budget := New(1, now, metrics.New())
	one, two := budget.Open(tcpAddr(1, 1001)), budget.Open(tcpAddr(2, 1002))
	one.Charge(100 * Request)
	for port := range 50 {
		short := budget.Open(tcpAddr(3, 2000+port))
		short.Charge(Request)
		short.Close()
	}
	connections, hosts := budget.Busiest(2)
	if len(connections) != 2 || connections[0].Client != "127.0.0.1:1001" || connections[1].Client != "127.0.0.2:1002" {
		t.Errorf("the busiest connections are %v", connections)
	}
	if len(hosts) != 2 || hosts[0].Client != "127.0.0.3" || hosts[1].Client != "127.0.0.1" {
		t.Errorf("the busiest hosts are %v", hosts)
	}
	now.Advance(10 * usageDecayMs)
	two.Charge(Request)
	if connections, _ := budget.Busiest(1); connections[0].Client != "127.0.0.2:1002" {
		t.Errorf("after a while without work, the busiest connection is %v", connections[0])
	}
}

// The state must stay bounded while clients come from ever new hosts.
func TestHostsAreBounded(t *testing.T) {
	now := clock.NewManual(0)
	budget := New(1, now, metrics.New())
	for host := range 3 * maxHosts {
		account := budget.Open(&net.UnixAddr{Name: fmt.Sprint("host-", host)})
		account.Charge(Request)
		account.Close()
		account.Close()
	}
	if n := len(budget.hosts); n > maxHosts+1 {
		t.Errorf("%d hosts are counted, want at most %d and one for the others", n, maxHosts)
	}
	now.Advance(60 * usageDecayMs)
	budget.Open(tcpAddr(1, 1)).Close()
	if n := len(budget.hosts); n > 2 {
		t.Errorf("%d hosts are still counted after their work has decayed", n)
	}
}

func TestNilBudgetCountsNothing(t *testing.T) {
	var budget *Budget
	account := budget.Open(tcpAddr(1, 1))
	account.Charge(Request)
	account.Close()
}
