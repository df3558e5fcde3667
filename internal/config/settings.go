package config

import (
	"time"

	"github.com/valyala/fastjson"

	"gaugerelay/internal/platformsettings"
)

// jsonSettings reads settings from a JSON object. It implements platformsettings.Source.
type jsonSettings struct {
	reader *valueReader
	object *fastjson.Value
}

// Bool implements platformsettings.Source.
func (s jsonSettings) Bool(path ...string) bool { return s.reader.bool(s.object, path...) }

// Count implements platformsettings.Source. The number is at most maxCount.
func (s jsonSettings) Count(path ...string) int { return s.reader.count(s.object, path...) }

// Ms implements platformsettings.Source. The time is at most maxMs.
func (s jsonSettings) Ms(path ...string) time.Duration { return s.reader.ms(s.object, path...) }

// Number implements platformsettings.Source. The number is not negative.
func (s jsonSettings) Number(path ...string) float64 { return s.reader.number(s.object, path...) }

// Text implements platformsettings.Source.
func (s jsonSettings) Text(path ...string) string { return s.reader.text(s.object, path...) }

// Bools implements platformsettings.Source.
func (s jsonSettings) Bools(path ...string) (values []bool) {
	for _, value := range s.object.GetArray(path...) {
		values = append(values, value.Type() == fastjson.TypeTrue)
	}
	return values
}

// Texts implements platformsettings.Source. A value that is not a string is read as "".
func (s jsonSettings) Texts(path ...string) (texts []string) {
	for _, value := range s.object.GetArray(path...) {
		text, _ := value.StringBytes()
		texts = append(texts, string(text))
	}
	return texts
}

// Objects implements platformsettings.Source.
func (s jsonSettings) Objects(name string) (objects []platformsettings.Source) {
	for _, object := range s.object.GetArray(name) {
		objects = append(objects, jsonSettings{s.reader, object})
	}
	return objects
}
