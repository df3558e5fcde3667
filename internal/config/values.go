package config

import (
	"fmt"
	"math"
	"net"
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/clock"
)

// Upper bounds of values. maxMs is more than 30 years, which is as good as unlimited, and a longer time is cut to maxMs. A
// count of more than maxCount, about a million, would need more memory than a machine has, and is an error.
const (
	maxMs    = 1e12
	maxCount = 1 << 20
)

// valueReader reads values of JSON objects by their path. Its methods return the zero value if the value is absent, null or
// invalid. err is the error of the first invalid value.
type valueReader struct{ err error }

// fail records the error of an invalid value; want says what was expected. Only the first error is kept.
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

// number reads a finite number that is not negative.
func (r *valueReader) number(object *fastjson.Value, path ...string) float64 {
	value := get(object, path)
	if value == nil {
		return 0
	}
	parsed, err := value.Float64()
	if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) || parsed < 0 {
		r.fail(path, "a number from 0 up")
		return 0
	}
	return parsed
}

// numberOr reads a number, or returns defaultValue if it is absent. Null is read as 0.
func (r *valueReader) numberOr(defaultValue float64, object *fastjson.Value, name string) float64 {
	if !object.Exists(name) {
		return defaultValue
	}
	return r.number(object, name)
}

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

func (r *valueReader) bool(object *fastjson.Value, path ...string) bool {
	value := get(object, path)
	if value == nil {
		return false
	}
	parsed, err := value.Bool()
	if err != nil {
		r.fail(path, "true or false")
	}
	return parsed
}

// ms reads a time in milliseconds, cut to maxMs. It appends the suffix Ms to the last key of path.
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

// checkHostPort returns an error unless the address has the form host:port.
func checkHostPort(name, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s %q is not host:port", name, address)
	}
	return nil
}

// firstError returns the first error that is not nil, so that invalid configuration is reported in one line.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
