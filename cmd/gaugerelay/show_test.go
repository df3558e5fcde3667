package main

import (
	"strings"
	"testing"
)

// The command fleet show prints the status of a gateway in a fleet. It fails for a gateway that is in no fleet. The printed
// bound part_back_ms is 2040 ms: the default quota lease of 2000 ms, lengthened for the default clock drift of 0.01.
func TestFleetShow(t *testing.T) {
	show := func(addr string) (string, error) {
		out, err := newCommand(t.Context(), writeFile(t, "config.json", ""), "fleet", "show", addr).Output()
		return string(out), err
	}
	edge := writeFile(t, "edge.jsonc", `{"fleet":{"listen":"127.0.0.1:0","self":0,"peers":["127.0.0.1:9","127.0.0.1:10"]}}`)
	member := startProgram(t, settingsFor(unusedServer), "--edge", edge)
	member.waitForLog("for=fleet")
	text, err := show(member.waitForAddr("for=clients"))
	if err != nil || !strings.Contains(text, "member 1 127.0.0.1:10 alive") || !strings.Contains(text, "bound part_back_ms 2040") {
		t.Errorf("fleet show printed %q, error %v; want member 1 and the bound part_back_ms", text, err)
	}
	single := startProgram(t, settingsFor(unusedServer))
	if text, err := show(single.waitForAddr("for=clients")); err == nil {
		t.Errorf("fleet show printed %q for a gateway that is in no fleet, want an error", text)
	}
}
