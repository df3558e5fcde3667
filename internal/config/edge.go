package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/bgp"
	"gaugerelay/internal/scheduler"
)

// Edge is what an operator sets up beside the platform's configuration. A nil part is disabled.
type Edge struct {
	SFTP    *SFTP
	BGP     *bgp.Options
	Devices *Devices
	Fleet   *Fleet
}

// LoadEdge reads the operator's file. Names of classes and plans are looked up in settings, which are not changed.
func LoadEdge(path string, settings *scheduler.Settings) (*Edge, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	edge, err := ParseEdge(text, settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return edge, nil
}

// ParseEdge is LoadEdge for the text of the file: JSON in which lines that begin with // are comments.
func ParseEdge(text []byte, settings *scheduler.Settings) (*Edge, error) {
	object, err := fastjson.ParseBytes(withoutComments(text))
	if err != nil {
		return nil, fmt.Errorf("not JSON with // comments: %w", err)
	}
	if object.Type() != fastjson.TypeObject {
		return nil, errors.New("not an object")
	}
	edge := &Edge{}
	for _, part := range []struct {
		key   string
		parse func(*fastjson.Value) error
	}{
		{"sftp", func(v *fastjson.Value) (err error) { edge.SFTP, err = parseSFTP(v, settings); return err }},
		{"bgp", func(v *fastjson.Value) (err error) { edge.BGP, err = parseBGP(v); return err }},
		{"devices", func(v *fastjson.Value) (err error) { edge.Devices, err = parseDevices(v); return err }},
		{"fleet", func(v *fastjson.Value) (err error) { edge.Fleet, err = parseFleet(v); return err }},
	} {
		value := object.Get(part.key)
		if value == nil {
			continue
		}
		if err := part.parse(value); err != nil {
			return nil, fmt.Errorf("%s: %w", part.key, err)
		}
	}
	return edge, nil
}

// withoutComments drops the lines that begin with //.
func withoutComments(text []byte) []byte {
	var plain []byte
	for line := range bytes.Lines(text) {
		if !bytes.HasPrefix(bytes.TrimSpace(line), []byte("//")) {
			plain = append(plain, line...)
		}
	}
	return plain
}
