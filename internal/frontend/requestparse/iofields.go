package requestparse

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gaugerelay/internal/lifecycle"
)

// ioFieldCount is the number of fields with a known name that X-IO must have.
const ioFieldCount = 4

// parseIO parses X-IO, a comma-separated list of name=value fields: the volume of a request, its size in units, its shard, and the
// number of gateways that receive requests for the volume (hosts). Fields with an unknown name are ignored.
func parseIO(request *lifecycle.Request, text string) error {
	known := 0
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		isKnown, err := parseIOField(request, name, value)
		if err != nil {
			return fmt.Errorf("%s: bad value", name)
		}
		if isKnown {
			known++
		}
	}
	if known != ioFieldCount {
		return errors.New("volume, units, shard and hosts are wanted, once each")
	}
	return nil
}

// parseIOField parses one field of X-IO into the request. It returns false for an unknown name.
func parseIOField(request *lifecycle.Request, name, value string) (isKnown bool, err error) {
	switch name {
	case "volume":
		request.Volume, err = strconv.ParseUint(value, 16, 64)
	case "units":
		request.Units, err = strconv.ParseFloat(value, 64)
		if err == nil && !(request.Units > 0 && request.Units < math.MaxInt32) {
			err = strconv.ErrRange
		}
	case "shard":
		request.Shard, err = strconv.Atoi(value)
		if err == nil && request.Shard < -1 {
			err = strconv.ErrRange
		}
	case "hosts":
		request.Gateways, err = strconv.Atoi(value)
	default:
		return false, nil
	}
	return true, err
}
