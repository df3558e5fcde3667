package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// absent stands for a value that is not there.
const absent = "-"

// Sizes of integers on the wire, in bits.
const (
	countBits   = 31 // of counts and numbers of instances and attempts
	idBits      = 32 // of requests and servers
	optionsBits = 63 // of bit sets and timers
	wordBits    = 64 // of versions, volumes, keys and seeds
)

// fieldParser consumes the values of one line from left to right. Its methods return zero values for what is absent or
// malformed, and the first error is kept in err.
type fieldParser struct {
	name   string // of the line
	values []string
	err    error
}

// fail records an error unless there already is one.
func (p *fieldParser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// optionalText consumes a value; "" stands for an absent one.
func (p *fieldParser) optionalText() string {
	if len(p.values) == 0 {
		return ""
	}
	value := p.values[0]
	p.values = p.values[1:]
	if value == absent {
		return ""
	}
	return value
}

// text consumes a value that must be there. The field's name is for the error.
func (p *fieldParser) text(field string) string {
	value := p.optionalText()
	if value == "" {
		p.fail(fmt.Errorf("%s: %s is missing", p.name, field))
	}
	return value
}

// number consumes a finite number that must be there.
func (p *fieldParser) number(field string) float64 { return p.parseNumber(field, p.text(field)) }

// optionalNumber consumes a finite number; an absent one is 0.
func (p *fieldParser) optionalNumber(field string) float64 {
	return p.parseNumber(field, p.optionalText())
}

// parseNumber parses a value; "" is 0.
func (p *fieldParser) parseNumber(field, value string) float64 {
	if value == "" {
		return 0
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		p.fail(fmt.Errorf("%s: %s is not a number: %q", p.name, field, value))
	}
	return x
}

// integer consumes a whole number of some bits that must be there.
func (p *fieldParser) integer(field string, bits int) uint64 {
	return p.parseInteger(field, p.text(field), bits)
}

// optionalInteger consumes a whole number of some bits; an absent one is 0.
func (p *fieldParser) optionalInteger(field string, bits int) uint64 {
	return p.parseInteger(field, p.optionalText(), bits)
}

// parseInteger parses a value; "" is 0.
func (p *fieldParser) parseInteger(field, value string, bits int) uint64 {
	if value == "" {
		return 0
	}
	x, err := strconv.ParseUint(value, 10, bits)
	if err != nil {
		p.fail(fmt.Errorf("%s: %s is not a whole number in range: %q", p.name, field, value))
	}
	return x
}

// ms consumes a time in milliseconds that must be there.
func (p *fieldParser) ms(field string) time.Duration { return fromMs(p.number(field)) }

// optionalMs consumes a time in milliseconds; an absent one is 0.
func (p *fieldParser) optionalMs(field string) time.Duration { return fromMs(p.optionalNumber(field)) }

// numberList consumes numbers separated by commas, of which absent ones are 0. An absent list is nil.
func (p *fieldParser) numberList(field string) []float64 {
	value := p.optionalText()
	if value == "" {
		return nil
	}
	parts := strings.Split(value, ",")
	numbers := make([]float64, len(parts))
	for i, part := range parts {
		if part != absent {
			numbers[i] = p.parseNumber(field, part)
		}
	}
	return numbers
}

const nanosPerMs = 1e6

// fromMs converts milliseconds on the wire, rounded to nanoseconds.
func fromMs(ms float64) time.Duration { return time.Duration(math.Round(ms * nanosPerMs)) }

// toMs formats a time in milliseconds; 0 is absent.
func toMs(d time.Duration) string {
	if d == 0 {
		return absent
	}
	return strconv.FormatFloat(float64(d)/nanosPerMs, 'f', -1, 64)
}
