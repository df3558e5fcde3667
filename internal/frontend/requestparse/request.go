// Package requestparse validates the fields of a request, which are the same in all frontend protocols, and converts them to a
// lifecycle.Request. A malformed request must never reach the scheduler.
//
// The package has no state and starts no goroutine. Its error texts are sent to clients.
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
	// maxIdentifierLength is the maximum length, in bytes, of an identifier that a client chooses.
	maxIdentifierLength = 128
	// objectKeyDigits is the number of hexadecimal digits of an object key.
	objectKeyDigits = 16
	// maxDeadlineFactor limits the remaining time of a request to a multiple of the deadline of its class. A client may wait
	// longer than that deadline, but the gateway keeps the state of a request for as long as its client waits, so that time must
	// be bounded.
	maxDeadlineFactor = 2
)

// Fields are the fields of a request as the client sent them.
type Fields struct {
	Method, Path, Class, Plan, IO string
	CorrelationID                 string // empty if the request has none
	IdempotencyKey                string // empty if the request has none
	RemainingMs                   uint64 // how much longer the client waits for the response
	IsRetry                       bool   // whether the client has sent the request before
}

// Parse validates the fields of a request and returns the request and its class. The caller sets the request's Upstream and
// Payload.
func Parse(settings *scheduler.Settings, fields Fields) (*lifecycle.Request, *scheduler.Class, error) {
	class := FindClass(settings, fields.Class)
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
		ClientID:       fields.CorrelationID,
		Class:          class.Name,
		Plan:           fields.Plan,
		Key:            objectKey,
		IdempotencyKey: fields.IdempotencyKey,
		RemainingMs:    float64(fields.RemainingMs),
		IsRetry:        fields.IsRetry,
	}
	if err := parseIO(request, fields.IO); err != nil {
		return nil, nil, fmt.Errorf("X-IO: %w", err)
	}
	return request, class, nil
}

// parseObjectKey parses the object key, which is the last part of a request's path.
func parseObjectKey(text string) (uint64, error) {
	key, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != objectKeyDigits {
		return 0, errors.New("the path's last part is not 16 hex digits")
	}
	return key, nil
}

// checkIdempotencyKey checks the idempotency key of a request. It may be empty unless the class requires one.
func checkIdempotencyKey(class *scheduler.Class, key string) error {
	if class.Idempotency == scheduler.IdempotentWithKey && key == "" {
		return fmt.Errorf("class %s needs an Idempotency-Key", class.Name)
	}
	if key != "" && !IsIdentifier(key) {
		return errors.New("Idempotency-Key is too long or not plain text")
	}
	return nil
}

// IsIdentifier reports whether text is a valid identifier of a client, a device or a request: 1 to 128 characters of visible
// ASCII.
func IsIdentifier(text string) bool {
	isInvisible := func(r rune) bool { return r <= ' ' || r > '~' }
	return text != "" && len(text) <= maxIdentifierLength && !strings.ContainsFunc(text, isInvisible)
}

// FindClass returns the class with the given name, or nil if there is none.
func FindClass(settings *scheduler.Settings, name string) *scheduler.Class {
	for i := range settings.Classes {
		if settings.Classes[i].Name == name {
			return &settings.Classes[i]
		}
	}
	return nil
}

// hasPlan reports whether the settings have a plan with the given name. Every name is valid if they have no plans.
func hasPlan(settings *scheduler.Settings, name string) bool {
	return len(settings.Plans) == 0 ||
		slices.ContainsFunc(settings.Plans, func(plan scheduler.Plan) bool { return plan.Name == name })
}
