package coapserver

import (
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

// A malformed request is answered with the code of its test case and not submitted. The connection stays open: the next request is
// served.
func TestMalformedRequests(t *testing.T) {
	set := func(id message.OptionID, value string) optionsModifier {
		return setOption(message.Option{ID: id, Value: []byte(value)})
	}
	add := func(id message.OptionID, value string) optionsModifier {
		return addOption(message.Option{ID: id, Value: []byte(value)})
	}
	readPath := func(o message.Options) message.Options {
		o = o.Remove(message.URIPath)
		o = o.Add(message.Option{ID: message.URIPath, Value: []byte("pull")})
		return o.Add(message.Option{ID: message.URIPath, Value: []byte("7f3a9c21e0b4d655")})
	}
	for name, c := range map[string]struct {
		code            codes.Code
		payload         string
		optionsModifier optionsModifier
		want            codes.Code
	}{
		"method DELETE":           {codes.DELETE, "", nil, codes.MethodNotAllowed},
		"unknown critical option": {codes.GET, "", addOption(message.Option{ID: 65101}), codes.BadOption},
		"critical option twice":   {codes.GET, "", add(coapwire.OptPlan, "basic"), codes.BadOption},
		"no time left":            {codes.GET, "", removeOption(coapwire.OptTimeLeft), codes.BadRequest},
		"too much time left":      {codes.GET, "", set(coapwire.OptTimeLeft, "\x7f\xff\xff\xff"), codes.BadRequest},
		"number of five bytes":    {codes.GET, "", set(coapwire.OptTimeLeft, "12345"), codes.BadOption},
		"no device":               {codes.GET, "", removeOption(coapwire.OptDevice), codes.BadRequest},
		"long device":             {codes.GET, "", set(coapwire.OptDevice, strings.Repeat("d", 65)), codes.BadOption},
		"write without key":       {codes.PUT, "x", removeOption(coapwire.OptIdempotencyKey), codes.BadRequest},
		"read without ID":         {codes.GET, "", removeOption(coapwire.OptIdempotencyKey), codes.BadRequest},
		"no plan":                 {codes.GET, "", removeOption(coapwire.OptPlan), codes.BadRequest},
		"no IO":                   {codes.GET, "", removeOption(coapwire.OptIO), codes.BadRequest},
		"no path":                 {codes.GET, "", removeOption(message.URIPath), codes.NotFound},
		"path to the parent":      {codes.GET, "", add(message.URIPath, ".."), codes.BadOption},
		"path segment with slash": {codes.GET, "", add(message.URIPath, "a/b"), codes.BadOption},
		"query part with &":       {codes.GET, "", add(message.URIQuery, "a&b"), codes.BadOption},
		"read with a body":        {codes.GET, "x", nil, codes.BadRequest},
		"write to a read's path":  {codes.PUT, "x", readPath, codes.BadRequest},
		"unsupported format":      {codes.GET, "", addOption(coapwire.UintOption(message.Accept, 50)), codes.NotAcceptable},
		"block not full":          {codes.PUT, "x", withBlock(message.Block1, coapwire.Block{Size: 64, More: true}), codes.BadRequest},
		"block too large":         {codes.PUT, strings.Repeat("x", 65), withBlock(message.Block1, coapwire.Block{Size: 64}), codes.BadRequest},
		"BERT block not full": {codes.PUT, strings.Repeat("x", 1025),
			withBlock(message.Block1, coapwire.Block{Size: 1024, BERT: true, More: true}), codes.BadRequest},
		"malformed block option": {codes.PUT, "x", add(message.Block1, "1234"), codes.BadOption},
	} {
		t.Run(name, func(t *testing.T) {
			response := lifecycle.Response{Body: []byte("fine")}
			withDevice(t, 4096, respondWith(response), func(_ *Server, loop *fakeLoop, device *testDevice) {
				device.send(newRequest(c.code, 1, []byte(c.payload), c.optionsModifier))
				device.expect(c.want)
				if submitted, _, _ := loop.counts(); submitted != 0 {
					t.Error("submitted")
				}
				device.send(newRequest(codes.GET, 2, nil, nil))
				device.expect(codes.Content)
			})
		})
	}
}
