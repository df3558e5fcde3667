package discovery

import (
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// jsonObjects returns the objects at the start of a text, as encoding/json reads them, and whether the text contains nothing but
// objects.
func jsonObjects(text string) (objects []string, onlyObjects bool) {
	decoder := json.NewDecoder(strings.NewReader(text))
	for {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return objects, err == io.EOF
		}
		if raw[0] != '{' {
			return objects, false
		}
		objects = append(objects, string(raw))
	}
}

// FuzzObjectReader checks that a sequence of JSON objects is read as exactly these objects, and that reading any other text
// terminates.
func FuzzObjectReader(f *testing.F) {
	f.Add("{\"a\":[1,{\"b\":\"}\\\"\"}]}\n\n {\n \"c\" : \"\\\\\" }{}\r\n")
	f.Add("{\"a\":\"]\"} x")
	f.Add("{[}]")
	f.Fuzz(func(t *testing.T, text string) {
		want, onlyObjects := jsonObjects(text)
		reader := newObjectReader(strings.NewReader(text))
		var got []string
		for {
			object, err := reader.next()
			if err != nil {
				// The error of a truncated object is both errNotAnObject and io.EOF.
				if onlyObjects && (!errors.Is(err, io.EOF) || errors.Is(err, errNotAnObject)) {
					t.Fatalf("%q: reading failed with %v, want io.EOF after the last object", text, err)
				}
				break
			}
			if object != nil {
				got = append(got, string(object))
			}
		}
		if onlyObjects && !slices.Equal(got, want) || !onlyObjects && len(got) < len(want) {
			t.Fatalf("%q: read %q, want %q", text, got, want)
		}
	})
}
