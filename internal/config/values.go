package config

import (
	"fmt"
	"math"
	"net"
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/clock"
)

// Largest values. A time beyond 30 years stands for one that never ends; a count beyond a million would need more memory
// than any machine has.
const (
	maxMs    = 1e12
	maxCount = 1 << 20
)

// valueReader reads values of JSON objects by their path. Its methods return zero values for what is absent, null or
// invalid, and the first invalid value is kept in err.
type valueReader struct{ err error }

func (r *valueReader) fail(path []string, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("%q is not %s", path, want)
	}
}

// get returns the value at a path, or nil if it is absent or null.
func get(object *fastjson.Value, path []string) *fastjson.Value {
	value := object.Get(path...)
	if value == nil || value.Type() == fastjson.TypeNull {
		return nil
	}
	return value
}

// number reads a finite number from 0 up.
func (r *valueReader) number(object *fastjson.Value, path ...string) float64 {
	value := get(object, path)
	if value == nil {
		return 0
	}
	x, err := value.Float64()
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		r.fail(path, "a number from 0 up")
		return 0
	}
	return x
}

// numberOr reads a number; defaultValue stands for an absent one, but not for null.
func (r *valueReader) numberOr(defaultValue float64, object *fastjson.Value, name string) float64 {
	if !object.Exists(name) {
		return defaultValue
	}
	return r.number(object, name)
}

// text reads a string.
func (r *valueReader) text(object *fastjson.Value, path ...string) string {
	value := get(object, path)
	if value == nil {
		return ""
	}
	text, err := value.StringBytes()
	if err != nil {
		r.fail(path, "a text")
	}
	return string(text)
}

// bool reads true or false.
func (r *valueReader) bool(object *fastjson.Value, path ...string) bool {
	value := get(object, path)
	if value == nil {
		return false
	}
	b, err := value.Bool()
	if err != nil {
		r.fail(path, "true or false")
	}
	return b
}

// ms reads the time in milliseconds at the path with the suffix Ms, at most maxMs.
func (r *valueReader) ms(object *fastjson.Value, path ...string) time.Duration {
	path[len(path)-1] += "Ms"
	return clock.Duration(min(r.number(object, path...), maxMs))
}

// count reads a whole number up to maxCount.
func (r *valueReader) count(object *fastjson.Value, path ...string) int {
	n := r.number(object, path...)
	if n > maxCount || n != math.Trunc(n) {
		r.fail(path, fmt.Sprintf("a whole number up to %d", int(maxCount)))
		return 0
	}
	return int(n)
}

// checkHostPort returns an error unless the address is host:port.
func checkHostPort(name, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s %q is not host:port", name, address)
	}
	return nil
}

// firstError returns the first error that is not nil: what is wrong is reported in one line.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
