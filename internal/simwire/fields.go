package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// absent is the text that stands for an absent value.
const absent = "-"

// Sizes of integers on the wire, in bits.
const (
	countBits   = 31 // counts, instance numbers and attempt numbers
	idBits      = 32 // request IDs, server IDs and status codes
	optionsBits = 63 // bit sets and timer keys
	wordBits    = 64 // versions, volumes, ordering keys and seeds
)

// fieldParser consumes the values of one line from left to right. Its methods return the zero value for a value that is absent
// or malformed, and keep the first error in err. The parameter field of these methods is the name of the value; it is used only in
// the text of an error.
type fieldParser struct {
	name   string   // name of the line
	values []string // values that are not consumed yet
	err    error
}

// fail records an error in err unless err already holds an earlier one.
func (p *fieldParser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// optionalText consumes an optional value and returns "" if it is absent.
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

// text consumes a required value.
func (p *fieldParser) text(field string) string {
	value := p.optionalText()
	if value == "" {
		p.fail(fmt.Errorf("%s: %s is missing", p.name, field))
	}
	return value
}

// number consumes a required finite number.
func (p *fieldParser) number(field string) float64 { return p.parseNumber(field, p.text(field)) }

// optionalNumber consumes an optional finite number and returns 0 if it is absent.
func (p *fieldParser) optionalNumber(field string) float64 {
	return p.parseNumber(field, p.optionalText())
}

// parseNumber parses a finite number and returns 0 for "".
func (p *fieldParser) parseNumber(field, value string) float64 {
	if value == "" {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		p.fail(fmt.Errorf("%s: %s is not a number: %q", p.name, field, value))
	}
	return number
}

// integer consumes a required whole number that fits into the given number of bits.
func (p *fieldParser) integer(field string, bits int) uint64 {
	return p.parseInteger(field, p.text(field), bits)
}

// optionalInteger consumes an optional whole number that fits into the given number of bits, and returns 0 if it is absent.
func (p *fieldParser) optionalInteger(field string, bits int) uint64 {
	return p.parseInteger(field, p.optionalText(), bits)
}

// parseInteger parses a whole number and returns 0 for "".
func (p *fieldParser) parseInteger(field, value string, bits int) uint64 {
	if value == "" {
		return 0
	}
	integer, err := strconv.ParseUint(value, 10, bits)
	if err != nil {
		p.fail(fmt.Errorf("%s: %s is not a whole number in range: %q", p.name, field, value))
	}
	return integer
}

// ms consumes a required time in milliseconds.
func (p *fieldParser) ms(field string) time.Duration { return durationFromMs(p.number(field)) }

// optionalMs consumes an optional time in milliseconds and returns 0 if it is absent.
func (p *fieldParser) optionalMs(field string) time.Duration {
	return durationFromMs(p.optionalNumber(field))
}

// numberList consumes an optional list of numbers that are separated by commas. It returns 0 for an absent number and nil for an
// absent list.
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

// durationFromMs converts a time in milliseconds from the wire, rounded to nanoseconds.
func durationFromMs(ms float64) time.Duration { return time.Duration(math.Round(ms * nanosPerMs)) }

// formatMs formats a time for the wire, in milliseconds. It formats 0 as an absent value.
func formatMs(d time.Duration) string {
	if d == 0 {
		return absent
	}
	return strconv.FormatFloat(float64(d)/nanosPerMs, 'f', -1, 64)
}
