package logevent

import (
	"log/slog"
	"strings"
	"testing"
)

func TestHTTPServerLogWritesEvents(t *testing.T) {
	previous := slog.Default()
	defer slog.SetDefault(previous)
	for _, c := range []struct {
		level slog.Level
		want  string // log record without its time
	}{
		{slog.LevelInfo, `level=INFO msg=http_server_message text="http: bad \"request\""` + "\n"},
		{slog.LevelWarn, ""},
	} {
		var out strings.Builder
		Setup(&out, c.level)
		HTTPServerLog().Printf("http: bad %q", "request")
		_, record, _ := strings.Cut(out.String(), " ")
		if record != c.want {
			t.Errorf("with the lowest level %v the record is %q, want %q", c.level, record, c.want)
		}
	}
}
