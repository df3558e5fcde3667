package coapserver

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/requestparse"
	"gaugerelay/internal/scheduler"
)

const (
	maxOptionLength = 1034 // bytes; the longest value that RFC 7252 allows in any option that it defines
	maxPathSegments = 16
	etagLength      = 8  // bytes; length of the ETags that composeServed sends
	notGiven        = -1 // value of a numeric field whose option is absent
)

// parsedRequest holds the values of a request's options.
type parsedRequest struct {
	fields          requestparse.Fields
	class           *scheduler.Class // class of the request; set by conn.newRequest
	device          string           // name of the device; "": not given
	previousGateway string           // name of the gateway that received earlier transmissions; "": not given
	ageMs           float64          // time since the device first sent the request; negative: not given
	query           string
	etags           string // concatenated ETags of the responses that the device has
	requestTag      string
	contentType     string
	block1, block2  *coapwire.Block // values of the Block1 and Block2 options; nil: not given
	totalSize       int             // bytes of the whole upload (Size1); negative: not given
}

// requestError reports a malformed request. Its text is sent to the device as the payload of the response, so it has no package
// prefix.
type requestError struct {
	code codes.Code
	text string
}

func (e *requestError) Error() string { return e.text }

func requestErrorf(code codes.Code, format string, args ...any) error {
	return &requestError{code, fmt.Sprintf(format, args...)}
}

// requestParser collects the options of one request.
type requestParser struct {
	request     *parsedRequest
	seen        map[message.OptionID]bool
	path, query []string
	hasTimeLeft bool
}

// parseRequest parses the options of a request and checks the size of its payload. All errors are of type *requestError.
func parseRequest(m *message.Message) (*parsedRequest, error) {
	request := &parsedRequest{ageMs: notGiven, totalSize: notGiven}
	switch m.Code {
	case codes.GET:
		request.fields.Method = http.MethodGet
	case codes.PUT:
		request.fields.Method = http.MethodPut
	default:
		return nil, requestErrorf(codes.MethodNotAllowed, "GET or PUT")
	}
	parser := &requestParser{request: request, seen: map[message.OptionID]bool{}}
	for _, option := range m.Options {
		if err := parser.addOption(option); err != nil {
			return nil, err
		}
	}
	if err := parser.finish(); err != nil {
		return nil, err
	}
	if err := checkPayload(m, request.block1); err != nil {
		return nil, err
	}
	if request.block2 != nil {
		request.block2.More = false // the flag More has no meaning in the Block2 option of a request
	}
	return request, nil
}

// addOption checks how often an option occurs and how long it is, and parses it.
func (p *requestParser) addOption(option message.Option) error {
	if p.seen[option.ID] && !isRepeatable(option.ID) {
		if isCritical(option.ID) {
			return requestErrorf(codes.BadOption, "option %d is there more than once", option.ID)
		}
		return nil // further occurrences of an elective option are ignored (RFC 7252, 5.4.5)
	}
	p.seen[option.ID] = true
	if len(option.Value) > maxOptionLength {
		return requestErrorf(codes.BadOption, "option %d is too long", option.ID)
	}
	return p.parseOption(option)
}

func isRepeatable(id message.OptionID) bool {
	return id == message.URIPath || id == message.URIQuery || id == message.ETag
}

// parseOption parses the options that RFCs define and passes the others to parseGatewayOption.
func (p *requestParser) parseOption(option message.Option) error {
	switch option.ID {
	case message.URIHost, message.URIPort:
		return nil // ignored: the server has the same service for all hosts and ports
	case message.IfNoneMatch:
		return requestErrorf(codes.BadOption, "If-None-Match is not served")
	case message.URIPath:
		return p.addPathSegment(string(option.Value))
	case message.URIQuery:
		return p.addQueryPart(string(option.Value))
	case message.ContentFormat:
		return p.parseContentFormat(option)
	case message.Accept:
		return checkAccept(option)
	case message.ETag:
		if len(option.Value) == etagLength {
			p.request.etags += string(option.Value)
		}
		return nil
	case message.Block1:
		return parseBlock(option, &p.request.block1)
	case message.Block2:
		return parseBlock(option, &p.request.block2)
	case message.Size1:
		size, err := parseUint(option)
		if err == nil {
			p.request.totalSize = int(size)
		}
		return err
	case message.RequestTag:
		p.request.requestTag = string(option.Value)
		return nil
	default:
		return p.parseGatewayOption(option)
	}
}

// parseGatewayOption parses the options that the gateway defines. Unknown elective options are ignored; unknown critical
// options are errors.
func (p *requestParser) parseGatewayOption(option message.Option) error {
	request := p.request
	switch option.ID {
	case coapwire.OptDevice:
		request.device = string(option.Value)
	case coapwire.OptTimeLeft:
		timeLeftMs, err := parseUint(option)
		if err != nil {
			return err
		}
		request.fields.RemainingMs, p.hasTimeLeft = uint64(timeLeftMs), true
	case coapwire.OptIdempotencyKey:
		request.fields.IdempotencyKey = string(option.Value)
	case coapwire.OptPlan:
		request.fields.Plan = string(option.Value)
	case coapwire.OptIO:
		request.fields.IO = string(option.Value)
	case coapwire.OptRetry:
		request.fields.IsRetry = true
	case coapwire.OptPreviousGateway:
		request.previousGateway = string(option.Value)
	case coapwire.OptAge:
		if ageMs, ok := coapwire.DecodeUint(option.Value); ok {
			request.ageMs = float64(ageMs)
		}
	default:
		if isCritical(option.ID) {
			return requestErrorf(codes.BadOption, "option %d is not known here", option.ID)
		}
	}
	return nil
}

// addPathSegment adds a segment of the path. It returns an error if the segment cannot be used unchanged in an HTTP path.
func (p *requestParser) addPathSegment(segment string) error {
	forbidden := func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("/%?#", c) }
	if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, forbidden) {
		return requestErrorf(codes.BadOption, "a part of the path that could not be passed on unchanged")
	}
	p.path = append(p.path, segment)
	return nil
}

// addQueryPart adds a part of the query. It returns an error if the part cannot be used unchanged in an HTTP query.
func (p *requestParser) addQueryPart(part string) error {
	forbidden := func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("&#", c) }
	if strings.ContainsFunc(part, forbidden) {
		return requestErrorf(codes.BadOption, "a part of the query that could not be passed on unchanged")
	}
	p.query = append(p.query, part)
	return nil
}

// parseContentFormat converts the number of a CoAP content format to a Content-Type.
func (p *requestParser) parseContentFormat(option message.Option) error {
	format, err := parseUint(option)
	if err != nil {
		return err
	}
	p.request.contentType = fmt.Sprintf("application/coap-format-%d", format)
	if format == uint32(message.AppOctets) {
		p.request.contentType = "application/octet-stream"
	}
	return nil
}

// checkAccept returns an error unless the option accepts application/octet-stream, the format of all responses.
func checkAccept(option message.Option) error {
	format, err := parseUint(option)
	if err == nil && format != uint32(message.AppOctets) {
		return requestErrorf(codes.NotAcceptable, "answers are application/octet-stream")
	}
	return err
}

// parseBlock stores the value of a Block option in block.
func parseBlock(option message.Option, block **coapwire.Block) error {
	decoded, ok := coapwire.DecodeBlock(option.Value)
	if !ok {
		return requestErrorf(codes.BadOption, "a bad block option")
	}
	*block = &decoded
	return nil
}

// parseUint returns the value of an option of format uint.
func parseUint(option message.Option) (uint32, error) {
	value, ok := coapwire.DecodeUint(option.Value)
	if !ok {
		return 0, requestErrorf(codes.BadOption, "option %d is not a number", option.ID)
	}
	return value, nil
}

// finish joins the segments of the path and the parts of the query, and checks that the path and the remaining time are present.
func (p *requestParser) finish() error {
	if len(p.path) == 0 || len(p.path) > maxPathSegments {
		return requestErrorf(codes.NotFound, "no such path")
	}
	if !p.hasTimeLeft {
		return requestErrorf(codes.BadRequest, "the time left is missing")
	}
	p.request.fields.Path = "/" + strings.Join(p.path, "/")
	p.request.fields.Class = p.path[0]
	p.request.query = strings.Join(p.query, "&")
	return nil
}

// checkPayload checks that the payload fits the method and the Block1 option. block1 is nil if the request has no such option.
func checkPayload(m *message.Message, block1 *coapwire.Block) error {
	length := len(m.Payload)
	if m.Code == codes.GET && (length > 0 || block1 != nil) {
		return requestErrorf(codes.BadRequest, "a read has no body")
	}
	if block1 == nil {
		return nil
	}
	if block1.More && !isFullBlock(*block1, length) {
		return requestErrorf(codes.BadRequest, "a block that is not full")
	}
	if !block1.BERT && length > block1.Size {
		return requestErrorf(codes.BadRequest, "a block that is too large")
	}
	return nil
}

// isFullBlock reports whether a payload of the given length fills the block, as is required of all blocks except the last one.
func isFullBlock(block coapwire.Block, length int) bool {
	if block.BERT {
		return length > 0 && length%coapwire.BERTBlockSize == 0
	}
	return length == block.Size
}
