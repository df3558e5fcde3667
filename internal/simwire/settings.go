package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/platformsettings"
	"gaugerelay/internal/scheduler"
)

// settingsLine holds the settings of one line by their path, whose names are separated by dots. The first error, in the order
// of reading, is kept in err.
type settingsLine struct {
	values map[string]string
	err    error
}

// parseSettings reads the rest of a line, pairs "path=value". Unknown paths are skipped.
func parseSettings(line *fieldParser) scheduler.Settings {
	parsed := &settingsLine{values: make(map[string]string, len(line.values))}
	for _, pair := range line.values {
		if path, value, ok := strings.Cut(pair, "="); ok {
			parsed.values[path] = value
		}
	}
	settings := platformsettings.Read(lineSettings{line: parsed})
	if parsed.err != nil {
		line.fail(parsed.err)
	}
	return settings
}

// lineSettings is the platformsettings.Source of the settings of a line whose paths begin with prefix.
type lineSettings struct {
	line   *settingsLine
	prefix string
}

// path joins the names of a path.
func (s lineSettings) path(names []string) string { return s.prefix + strings.Join(names, ".") }

// Text implements platformsettings.Source.
func (s lineSettings) Text(path ...string) string { return s.line.values[s.path(path)] }

// Number implements platformsettings.Source. "" and "-" are 0.
func (s lineSettings) Number(path ...string) float64 {
	value := s.Text(path...)
	if value == "" || value == absent {
		return 0
	}
	x, err := strconv.ParseFloat(value, 64)
	if err != nil && s.line.err == nil {
		s.line.err = fmt.Errorf("%s: %s is not a number: %q", lineInstanceOpened, s.path(path), value)
	}
	return x
}

// Count implements platformsettings.Source. It truncates a number with a fraction.
func (s lineSettings) Count(path ...string) int { return int(s.Number(path...)) }

// Ms implements platformsettings.Source.
func (s lineSettings) Ms(path ...string) time.Duration {
	return fromMs(s.Number(strings.Join(path, ".") + "Ms"))
}

// Bool implements platformsettings.Source.
func (s lineSettings) Bool(path ...string) bool {
	value := s.Text(path...)
	return value == "true" || value == "1"
}

// Bools implements platformsettings.Source.
func (s lineSettings) Bools(path ...string) (values []bool) {
	for value := range strings.SplitSeq(s.Text(path...), ",") {
		values = append(values, value == "true")
	}
	return values
}

// Texts implements platformsettings.Source.
func (s lineSettings) Texts(path ...string) []string {
	text := s.Text(path...)
	if text == "" || text == absent {
		return nil
	}
	return strings.Split(text, ",")
}

// Objects implements platformsettings.Source. The list's length is the setting "count" below its name.
func (s lineSettings) Objects(name string) (objects []platformsettings.Source) {
	for i := range s.Count(name, "count") {
		objects = append(objects, lineSettings{line: s.line, prefix: fmt.Sprintf("%s%s.%d.", s.prefix, name, i)})
	}
	return objects
}
