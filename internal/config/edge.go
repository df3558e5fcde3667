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

// Edge is the configuration in the operator's file, which supplements the platform's configuration. A part that is
// nil is disabled.
type Edge struct {
	SFTP    *SFTP
	BGP     *bgp.Options
	Devices *Devices
	Fleet   *Fleet
}

// LoadEdge reads the operator's file. It looks up the names of classes and plans in settings, which it does not modify.
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

// ParseEdge parses the text of the operator's file: JSON in which lines that begin with // are comments. It uses settings
// as LoadEdge does.
func ParseEdge(text []byte, settings *scheduler.Settings) (*Edge, error) {
	object, err := fastjson.ParseBytes(withoutComments(text))
	if err != nil {
		return nil, fmt.Errorf("not JSON with // comments: %w", err)
	}
	if object.Type() != fastjson.TypeObject {
		return nil, errors.New("the top-level value is not a JSON object")
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

// withoutComments returns text without the lines that begin with //, possibly after white space.
func withoutComments(text []byte) []byte {
	var uncommented []byte
	for line := range bytes.Lines(text) {
		if !bytes.HasPrefix(bytes.TrimSpace(line), []byte("//")) {
			uncommented = append(uncommented, line...)
		}
	}
	return uncommented
}
