package discovery

import (
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// jsonObjects returns the leading objects of a text as encoding/json reads them, and whether the text consists of objects
// only.
func jsonObjects(text string) (objects []string, sound bool) {
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

// FuzzObjectReader checks that a sequence of JSON objects is read as just these objects, and that reading any other text
// comes to an end.
func FuzzObjectReader(f *testing.F) {
	f.Add("{\"a\":[1,{\"b\":\"}\\\"\"}]}\n\n {\n \"c\" : \"\\\\\" }{}\r\n")
	f.Add("{\"a\":\"]\"} x")
	f.Add("{[}]")
	f.Fuzz(func(t *testing.T, text string) {
		want, sound := jsonObjects(text)
		reader := newObjectReader(strings.NewReader(text))
		var got []string
		for {
			object, err := reader.next()
			if err != nil {
				// A truncated object, too, is reported with io.EOF.
				if sound && (!errors.Is(err, io.EOF) || errors.Is(err, errNotAnObject)) {
					t.Fatalf("%q: %v", text, err)
				}
				break
			}
			if object != nil {
				got = append(got, string(object))
			}
		}
		if sound && !slices.Equal(got, want) || !sound && len(got) < len(want) {
			t.Fatalf("%q: read %q, want %q", text, got, want)
		}
	})
}
