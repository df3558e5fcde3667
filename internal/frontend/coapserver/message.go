package coapserver

import (
	"fmt"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/requestparse"
)

const maxOptionLen = 1034 // RFC 7252 allows no more in any option that it defines

// request is what a message asks for.
type request struct {
	fields      requestparse.Fields
	device      string
	sentTo      string
	ageMs       float64
	query, etag string
	tag         string
	block1      *coapwire.Block
	block2      *coapwire.Block
	total       int // Size1; below zero: not told
	contentType string
}

// problem is why a message is turned down: its code, and words for who debugs a device.
type problem struct {
	code codes.Code
	text string
}

func (p *problem) Error() string { return p.text }

func bad(code codes.Code, format string, args ...any) error {
	return &problem{code, fmt.Sprintf(format, args...)}
}

// read takes a request's options apart.
func read(m *message.Message) (*request, error) {
	r := &request{ageMs: -1, total: -1}
	switch m.Code {
	case codes.GET:
		r.fields.Method = "GET"
	case codes.PUT:
		r.fields.Method = "PUT"
	default:
		return nil, bad(codes.MethodNotAllowed, "GET or PUT")
	}
	seen := map[message.OptionID]bool{}
	left := false
	var path, query []string
	for _, o := range m.Options {
		repeats := o.ID == message.URIPath || o.ID == message.URIQuery || o.ID == message.ETag
		if seen[o.ID] && !repeats {
			if o.ID%2 == 1 {
				return nil, bad(codes.BadOption, "option %d is there more than once", o.ID)
			}
			continue // RFC 7252, 5.4.5: surplus elective ones are ignored
		}
		seen[o.ID] = true
		if len(o.Value) > maxOptionLen {
			return nil, bad(codes.BadOption, "option %d is too long", o.ID)
		}
		number := func() (uint32, error) {
			v, ok := coapwire.DecodeUint(o.Value)
			if !ok {
				return 0, bad(codes.BadOption, "option %d is not a number", o.ID)
			}
			return v, nil
		}
		var err error
		var v uint32
		switch o.ID {
		case message.URIHost, message.URIPort, message.IfNoneMatch: // one service, whatever it is called
			if o.ID == message.IfNoneMatch {
				return nil, bad(codes.BadOption, "If-None-Match is not served")
			}
		case message.URIPath:
			s := string(o.Value)
			if s == "" || s == "." || s == ".." || strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == '/' || c > '~' || c == '%' || c == '?' || c == '#' }) {
				return nil, bad(codes.BadOption, "a part of the path that could not be passed on unchanged")
			}
			path = append(path, s)
		case message.URIQuery:
			s := string(o.Value)
			if strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c == '&' || c > '~' || c == '#' }) {
				return nil, bad(codes.BadOption, "a part of the query that could not be passed on unchanged")
			}
			query = append(query, s)
		case message.ContentFormat:
			if v, err = number(); err == nil {
				r.contentType = fmt.Sprintf("application/coap-format-%d", v)
				if v == uint32(message.AppOctets) {
					r.contentType = "application/octet-stream"
				}
			}
		case message.Accept:
			if v, err = number(); err == nil && v != uint32(message.AppOctets) {
				err = bad(codes.NotAcceptable, "answers are application/octet-stream")
			}
		case message.ETag:
			if len(o.Value) == 8 {
				r.etag += string(o.Value)
			}
		case message.Block1, message.Block2:
			p, ok := coapwire.DecodeBlock(o.Value)
			if !ok {
				return nil, bad(codes.BadOption, "a bad block option")
			}
			if o.ID == message.Block1 {
				r.block1 = &p
			} else {
				r.block2 = &p
			}
		case message.Size1:
			if v, err = number(); err == nil {
				r.total = int(v)
			}
		case message.RequestTag:
			r.tag = string(o.Value)
		case coapwire.OptDevice:
			r.device = string(o.Value)
		case coapwire.OptTimeLeft:
			v, err = number()
			r.fields.RemainingMs, left = uint64(v), true
		case coapwire.OptIdempotencyKey:
			r.fields.IdempotencyKey = string(o.Value)
		case coapwire.OptPlan:
			r.fields.Plan = string(o.Value)
		case coapwire.OptIO:
			r.fields.IO = string(o.Value)
		case coapwire.OptRetry:
			r.fields.IsRetry = true
		case coapwire.OptPreviousGateway:
			r.sentTo = string(o.Value)
		case coapwire.OptAge:
			if v, ok := coapwire.DecodeUint(o.Value); ok {
				r.ageMs = float64(v)
			}
		default:
			if o.ID%2 == 1 {
				return nil, bad(codes.BadOption, "option %d is not known here", o.ID)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	if len(path) == 0 || len(path) > 16 {
		return nil, bad(codes.NotFound, "no such path")
	}
	if !left {
		return nil, bad(codes.BadRequest, "the time left is missing")
	}
	r.fields.Path, r.fields.Class = "/"+strings.Join(path, "/"), path[0]
	r.query = strings.Join(query, "&")
	if m.Code == codes.GET && (len(m.Payload) > 0 || r.block1 != nil) {
		return nil, bad(codes.BadRequest, "a read has no body")
	}
	if p := r.block1; p != nil {
		n := len(m.Payload)
		switch {
		case p.BERT && p.More && (n == 0 || n%coapwire.BERTBlockSize != 0), !p.BERT && p.More && n != p.Size:
			return nil, bad(codes.BadRequest, "a block that is not full")
		case !p.BERT && n > p.Size:
			return nil, bad(codes.BadRequest, "a block that is too large")
		}
	}
	if r.block2 != nil && r.block2.More {
		r.block2.More = false // it means nothing in a request
	}
	return r, nil
}
