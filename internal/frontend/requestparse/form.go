// Package form reads the platform's form of a request, whatever wire its parts came over: what is malformed must never
// reach the module, and is told in plain words.
package requestparse

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"gaugerelay/internal/httpmessage"
	"gaugerelay/internal/scheduler"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
)

// Fields are the parts of a request as a client gave them.
type Fields struct {
	Method, Path, Class, Plan, IO string
	CorrelationID                 string // "": it has none
	IdempotencyKey                string // Idempotency-Key
	RemainingMs                   uint64
	IsRetry                       bool
}

// Parse checks the fields and makes a request of them. Its carrier and load are the caller's to set.
func Parse(set *scheduler.Settings, f Fields) (*lifecycle.Request, *scheduler.Class, error) {
	class := classOf(set, f.Class)
	parts := strings.Split(strings.TrimPrefix(f.Path, "/"), "/")
	if class == nil || len(parts) < 2 || parts[0] != class.Name {
		return nil, nil, errors.New("unknown class, or not the path's first part")
	}
	last := parts[len(parts)-1]
	piece, err := strconv.ParseUint(last, 16, 64)
	if err != nil || len(last) != 16 {
		return nil, nil, errors.New("the path's last part is not 16 hex digits")
	}
	// A client may wait longer than its class does, but the books of a request are kept as long as that.
	if most := 2 * clock.Ms(class.Deadline); float64(f.RemainingMs) > most {
		return nil, nil, fmt.Errorf("X-Time-Left-Ms is over %.0f", most)
	}
	if class.Idempotency == scheduler.IdempotentWithKey && f.IdempotencyKey == "" {
		return nil, nil, fmt.Errorf("class %s needs an Idempotency-Key", class.Name)
	}
	if f.IdempotencyKey != "" && !IsIdentifier(f.IdempotencyKey) {
		return nil, nil, errors.New("Idempotency-Key is too long or not plain text")
	}
	req := &lifecycle.Request{ClientID: f.CorrelationID, Class: class.Name, Plan: f.Plan, Key: piece, RemainingMs: float64(f.RemainingMs), IsRetry: f.IsRetry}
	if !hasPlan(set, f.Plan) {
		return nil, nil, errors.New("unknown plan")
	}
	if err := extras(req, f.IO); err != nil {
		return nil, nil, fmt.Errorf("X-IO: %w", err)
	}
	return req, class, nil
}

// IsIdentifier tells whether a text can be a name: visible ASCII, and not too much of it.
func IsIdentifier(s string) bool {
	return s != "" && len(s) <= 128 && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// extras reads X-IO. Unknown names are skipped.
func extras(req *lifecycle.Request, text string) error {
	seen := 0
	for _, kv := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(kv), "=")
		var err error
		switch name {
		case "volume":
			req.Volume, err = strconv.ParseUint(v, 16, 64)
		case "units":
			req.Units, err = strconv.ParseFloat(v, 64)
			if err == nil && !(req.Units > 0 && req.Units < math.MaxInt32) {
				err = strconv.ErrRange
			}
		case "shard":
			req.Shard, err = strconv.Atoi(v)
			if err == nil && req.Shard < -1 {
				err = strconv.ErrRange
			}
		case "hosts":
			req.Gateways, err = strconv.Atoi(v)
		default:
			continue
		}
		if err != nil {
			return fmt.Errorf("%s: bad value", name)
		}
		seen++
	}
	if seen != 4 {
		return errors.New("volume, units, shard and hosts are wanted, once each")
	}
	return nil
}

func classOf(set *scheduler.Settings, name string) *scheduler.Class {
	for i := range set.Classes {
		if set.Classes[i].Name == name {
			return &set.Classes[i]
		}
	}
	return nil
}

func hasPlan(set *scheduler.Settings, name string) bool {
	for i := range set.Plans {
		if set.Plans[i].Name == name {
			return true
		}
	}
	return len(set.Plans) == 0
}

// DeviceFields is what a device says of a copy beside the request itself.
type DeviceFields struct {
	DeviceID        string
	ReadID          string  // of a read, which has no upload key
	AgeMs           float64 // since it first sent it; below zero: not told
	PreviousGateway string  // the gateway that it sent earlier copies to
	Link            lifecycle.LinkSample
}

// DeviceID makes a parsed request a copy of a device's exchange. load is what the carrier would send; its header and
// body are replaced for each run. The same request gives the same exchange whichever front it came over.
func MakeDeviceRequest(req *lifecycle.Request, class *scheduler.Class, f Fields, c DeviceFields, load *httpmessage.Request) error {
	if !IsIdentifier(c.DeviceID) {
		return errors.New("the device's name is missing, too long or not plain text")
	}
	key := f.IdempotencyKey
	if class.Idempotency == scheduler.Idempotent {
		key = c.ReadID
	} else if key == "" { // of a class that must not run twice
		return fmt.Errorf("class %s needs an Idempotency-Key from a device", class.Name)
	}
	if !IsIdentifier(key) {
		return errors.New("the request's id is missing, too long or not plain text")
	}
	if class.Idempotency == scheduler.Idempotent != (f.Method == http.MethodGet) {
		return fmt.Errorf("class %s does not go with this method", class.Name)
	}
	h := sha256.New()
	for _, part := range []string{load.Method, load.Path, load.RawPath, load.RawQuery, f.Class, f.Plan,
		load.Header.Get("Content-Type")} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	fmt.Fprintf(h, "%x %v %d", req.Volume, req.Units, req.Shard)
	// Nodes drop repeats by this key alone, and two devices may well use the same one.
	own := sha256.Sum256([]byte(c.DeviceID + "\x00" + key))
	nodeKey := hex.EncodeToString(own[:16])
	prefix := "r\x00"
	if class.Idempotency != scheduler.Idempotent {
		prefix = "w\x00"
	}
	req.ClientID = ""
	req.Device = &lifecycle.DeviceRequest{ID: c.DeviceID, Key: prefix + key, HeadDigest: [32]byte(h.Sum(nil)), AgeMs: c.AgeMs, PreviousGateway: c.PreviousGateway, Link: c.Link,
		BuildPayload: func(id string, body []byte) any {
			l := *load
			l.Header = load.Header.Clone()
			l.Header.Set("X-Correlation-Id", id)
			if class.Idempotency != scheduler.Idempotent {
				l.Header.Set("Idempotency-Key", nodeKey)
			}
			l.Body = body
			return &l
		}}
	return nil
}
