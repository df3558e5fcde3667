package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID, Class, Object, Key string
	Shard                  int
	TimeLeftMs             int
	Body                   string
	Headers                []string // further header lines
}

// Bytes returns the request in the form of the protocol page.
func (r *Request) Bytes() []byte {
	method := "GET"
	if r.Class != "pull" {
		method = "PUT"
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Plan: business\r\nX-Time-Left-Ms: %d\r\nX-IO: volume=00000003b4d60021,units=2,shard=%d,hosts=1\r\n",
		method, r.Class, r.Object, r.ID, r.Class, r.TimeLeftMs, r.Shard)
	if r.Key != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", r.Key)
	}
	if method == "PUT" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	for _, line := range r.Headers {
		text.WriteString(line + "\r\n")
	}
	text.WriteString("\r\n" + r.Body)
	return []byte(text.String())
}

// Client is a client's connection to a gateway. It carries one request at a time.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a client's connection.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Do sends a request and waits for its answer.
func (c *Client) Do(request *Request) (status int, header http.Header, body string, err error) {
	if _, err := c.Conn.Write(request.Bytes()); err != nil {
		return 0, nil, "", err
	}
	return c.Answer(time.Duration(request.TimeLeftMs)*time.Millisecond + 500*time.Millisecond)
}

// Answer reads an answer.
func (c *Client) Answer(timeout time.Duration) (status int, header http.Header, body string, err error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, "", err
	}
	return response.StatusCode, response.Header, string(text), nil
}
