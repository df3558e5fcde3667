package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gaugerelay/internal/platformsettings"
	"gaugerelay/internal/scheduler"
)

// parsedSettings holds the settings of one line by path. The names in a path are separated by dots. err describes the invalid
// setting that was read first; it is nil if no invalid setting was read.
type parsedSettings struct {
	values map[string]string
	err    error
}

// parseSettings reads the remaining values of a line, which have the form "path=value". Unknown paths are ignored.
func parseSettings(line *fieldParser) scheduler.Settings {
	parsed := &parsedSettings{values: make(map[string]string, len(line.values))}
	for _, pair := range line.values {
		if path, value, ok := strings.Cut(pair, "="); ok {
			parsed.values[path] = value
		}
	}
	settings := platformsettings.Read(settingsSource{line: parsed})
	if parsed.err != nil {
		line.fail(parsed.err)
	}
	return settings
}

// settingsSource implements platformsettings.Source for the settings whose paths begin with prefix.
type settingsSource struct {
	line   *parsedSettings
	prefix string
}

// path joins the names of a path and adds the prefix.
func (s settingsSource) path(names []string) string { return s.prefix + strings.Join(names, ".") }

// Text implements platformsettings.Source.
func (s settingsSource) Text(path ...string) string { return s.line.values[s.path(path)] }

// Number implements platformsettings.Source. It returns 0 for "" and "-".
func (s settingsSource) Number(path ...string) float64 {
	value := s.Text(path...)
	if value == "" || value == absent {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil && s.line.err == nil {
		s.line.err = fmt.Errorf("%s: %s is not a number: %q", lineInstanceOpened, s.path(path), value)
	}
	return number
}

// Count implements platformsettings.Source. It drops the fraction of a number.
func (s settingsSource) Count(path ...string) int { return int(s.Number(path...)) }

// Ms implements platformsettings.Source.
func (s settingsSource) Ms(path ...string) time.Duration {
	return durationFromMs(s.Number(strings.Join(path, ".") + "Ms"))
}

// Bool implements platformsettings.Source.
func (s settingsSource) Bool(path ...string) bool {
	value := s.Text(path...)
	return value == "true" || value == "1"
}

// Bools implements platformsettings.Source.
func (s settingsSource) Bools(path ...string) (values []bool) {
	for value := range strings.SplitSeq(s.Text(path...), ",") {
		values = append(values, value == "true")
	}
	return values
}

// Texts implements platformsettings.Source.
func (s settingsSource) Texts(path ...string) []string {
	text := s.Text(path...)
	if text == "" || text == absent {
		return nil
	}
	return strings.Split(text, ",")
}

// Objects implements platformsettings.Source. The setting with the path "name.count" holds the length of the list.
func (s settingsSource) Objects(name string) (objects []platformsettings.Source) {
	for i := range s.Count(name, "count") {
		objects = append(objects, settingsSource{line: s.line, prefix: fmt.Sprintf("%s%s.%d.", s.prefix, name, i)})
	}
	return objects
}
