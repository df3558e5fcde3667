package main

import (
	"strings"
	"testing"
)

// A gateway in a fleet shows its status; one in none reports an error, and does not listen for others.
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
		t.Errorf("%q, %v", text, err)
	}
	single := startProgram(t, settingsFor(unusedServer))
	if text, err := show(single.waitForAddr("for=clients")); err == nil {
		t.Errorf("a gateway in no fleet shows %q", text)
	}
}
