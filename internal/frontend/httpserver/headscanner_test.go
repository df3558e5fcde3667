package httpserver

import (
	"strings"
	"testing"
)

func TestHeadScannerFindsTheEndOfTheHead(t *testing.T) {
	for _, test := range []struct {
		head  string
		lines int
	}{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3},
		{"GET / HTTP/1.1\nHost: a\n\n", 3},
		{"GET / HTTP/1.1\r\nHost: a\n\r\n", 3},
		{"\r\n", 1},
		{"\n", 1},
		{"GET / HTTP/1.1\r\nA:\r\r\n\r\n", 3},
	} {
		data := test.head + "the body\r\n\r\n"
		for piece := 1; piece <= len(data); piece++ {
			var scanner headScanner
			headBytes, complete := 0, false
			for rest := data; !complete; rest = data[headBytes:] {
				if rest == "" {
					t.Fatalf("%q in pieces of %d bytes: the head does not end", test.head, piece)
				}
				n, end := scanner.scan([]byte(rest[:min(piece, len(rest))]))
				headBytes, complete = headBytes+n, end
			}
			if headBytes != len(test.head) || scanner.lines != test.lines {
				t.Errorf("%q in pieces of %d bytes: the head has %d bytes and %d lines, want %d and %d", test.head, piece, headBytes,
					scanner.lines, len(test.head), test.lines)
			}
		}
	}
}

func TestHeadScannerLimitsLines(t *testing.T) {
	var scanner headScanner
	scanner.scan([]byte(strings.Repeat("a:\n", maxHeadLines)))
	if scanner.tooManyLines() {
		t.Errorf("%d lines are too many, want them allowed", maxHeadLines)
	}
	scanner.scan([]byte("a:\n"))
	if !scanner.tooManyLines() {
		t.Errorf("%d lines are allowed, want them too many", maxHeadLines+1)
	}
}
