// Package requestparse checks and converts the platform's form of a request, which is the same over all frontends. A malformed
// request must never reach the scheduler.
//
// The package has no state and starts no goroutine. The texts of its errors are sent to clients.
package requestparse

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/lifecycle"
	"gaugerelay/internal/scheduler"
)

const (
	// maxIdentifierLength is the largest length of an identifier that clients choose.
	maxIdentifierLength = 128
	// objectKeyDigits is the number of hex digits of an object's key.
	objectKeyDigits = 16
	// maxDeadlineFactor bounds the time of a request, as a multiple of its class's deadline. A client may wait longer than
	// that deadline, but the state of its request is kept as long.
	maxDeadlineFactor = 2
)

// Fields are the parts of a request as a client gave them.
type Fields struct {
	Method, Path, Class, Plan, IO string
	CorrelationID                 string // empty if the request has none
	IdempotencyKey                string // empty if the request has none
	RemainingMs                   uint64 // how long the client still waits
	IsRetry                       bool   // the client has sent the request before
}

// Parse checks the fields of a request and returns it with its class. The caller sets the request's Upstream and Payload.
func Parse(settings *scheduler.Settings, fields Fields) (*lifecycle.Request, *scheduler.Class, error) {
	class := findClass(settings, fields.Class)
	path := strings.Split(strings.TrimPrefix(fields.Path, "/"), "/")
	if class == nil || len(path) < 2 || path[0] != class.Name {
		return nil, nil, errors.New("unknown class, or not the path's first part")
	}
	objectKey, err := parseObjectKey(path[len(path)-1])
	if err != nil {
		return nil, nil, err
	}
	if maxMs := maxDeadlineFactor * clock.Ms(class.Deadline); float64(fields.RemainingMs) > maxMs {
		return nil, nil, fmt.Errorf("X-Time-Left-Ms is over %.0f", maxMs)
	}
	if err := checkIdempotencyKey(class, fields.IdempotencyKey); err != nil {
		return nil, nil, err
	}
	if !hasPlan(settings, fields.Plan) {
		return nil, nil, errors.New("unknown plan")
	}
	request := &lifecycle.Request{
		ClientID:    fields.CorrelationID,
		Class:       class.Name,
		Plan:        fields.Plan,
		Key:         objectKey,
		RemainingMs: float64(fields.RemainingMs),
		IsRetry:     fields.IsRetry,
	}
	if err := parseIO(request, fields.IO); err != nil {
		return nil, nil, fmt.Errorf("X-IO: %w", err)
	}
	return request, class, nil
}

// parseObjectKey parses the last part of a path.
func parseObjectKey(text string) (uint64, error) {
	key, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != objectKeyDigits {
		return 0, errors.New("the path's last part is not 16 hex digits")
	}
	return key, nil
}

// checkIdempotencyKey checks the key of a request, which may be empty unless its class needs one.
func checkIdempotencyKey(class *scheduler.Class, key string) error {
	if class.Idempotency == scheduler.IdempotentWithKey && key == "" {
		return fmt.Errorf("class %s needs an Idempotency-Key", class.Name)
	}
	if key != "" && !IsIdentifier(key) {
		return errors.New("Idempotency-Key is too long or not plain text")
	}
	return nil
}

// IsIdentifier reports whether a text can identify a client, a device or a request: 1 to 128 characters of visible ASCII.
func IsIdentifier(text string) bool {
	isInvisible := func(r rune) bool { return r <= ' ' || r > '~' }
	return text != "" && len(text) <= maxIdentifierLength && !strings.ContainsFunc(text, isInvisible)
}

// findClass returns the class of a name, or nil.
func findClass(settings *scheduler.Settings, name string) *scheduler.Class {
	for i := range settings.Classes {
		if settings.Classes[i].Name == name {
			return &settings.Classes[i]
		}
	}
	return nil
}

// hasPlan reports whether there is a plan of that name. If no plans are set, any name will do.
func hasPlan(settings *scheduler.Settings, name string) bool {
	return len(settings.Plans) == 0 ||
		slices.ContainsFunc(settings.Plans, func(plan scheduler.Plan) bool { return plan.Name == name })
}
