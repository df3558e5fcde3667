package coapserver

import (
	"errors"
	"os"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/lifecycle"
)

const (
	maxQueuedMessages = 16      // no more requests are read while so many messages wait to be written
	writeChunkSize    = 4 << 10 // bytes for each of which the device gets the idle timeout
)

// outgoing is a message that waits to be written: an encoded one, or the response to a request, which is encoded when
// its turn comes since that depends on what the device can receive then.
type outgoing struct {
	encoded    []byte
	pending    *pendingRequest // the request that response belongs to; nil: encoded is set
	response   lifecycle.Response
	closeAfter bool // the connection ends after this message
}

// send queues a message.
func (c *conn) send(m message.Message) {
	c.sendEncoded(outgoing{encoded: coapwire.Encode(m)})
}

// sendAndClose queues a message after which the connection ends.
func (c *conn) sendAndClose(m message.Message) {
	c.sendEncoded(outgoing{encoded: coapwire.Encode(m), closeAfter: true})
}

func (c *conn) sendEncoded(item outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(item)
}

// sendText queues a response whose payload is a text.
func (c *conn) sendText(token message.Token, code codes.Code, text string, options ...message.Option) {
	c.send(textMessage(token, code, text, options...))
}

// enqueue appends a message to the queue and starts writeLoop if it is not running. The caller holds c.mu.
func (c *conn) enqueue(item outgoing) {
	if c.closed {
		return
	}
	c.queue = append(c.queue, item)
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

// dequeue takes the first message of the queue. It returns false, and writing ends, if there is none or the connection
// is closed.
func (c *conn) dequeue() (item outgoing, idleTimeout time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.queue) == 0 {
		c.writing = false
		c.closeIfIdle()
		return outgoing{}, 0, false
	}
	item = c.queue[0]
	c.queue[0] = outgoing{} // so that its memory can be freed
	c.queue = c.queue[1:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.queueShrunk.Broadcast()
	return item, c.idleTimeout, true
}

// writeLoop writes messages until the queue is empty or the connection ends.
func (c *conn) writeLoop() {
	for {
		item, idleTimeout, ok := c.dequeue()
		if !ok {
			return
		}
		err := c.write(item, idleTimeout)
		if err != nil || item.closeAfter {
			c.mu.Lock()
			c.writing = false
			c.mu.Unlock()
			c.close()
			return
		}
	}
}

// write writes one message and reports to the Loop what became of a served response.
func (c *conn) write(item outgoing, idleTimeout time.Duration) error {
	if item.pending == nil {
		return c.writeBytes(item.encoded, idleTimeout)
	}
	composed, complete := c.composeResponse(item.pending, item.response)
	err := c.writeBytes(coapwire.Encode(composed), idleTimeout)
	if item.response.Kind != lifecycle.Served {
		return err
	}
	if err == nil && complete {
		c.server.Loop.ResponseWritten(item.pending.request, lifecycle.LinkSample{})
	} else {
		c.server.Loop.Cancel(item.pending.request) // the response stays cached: the device may ask for the rest of it
	}
	return err
}

// writeBytes writes bytes in chunks with a deadline for each, so that a slow link is served and a lost one is not.
func (c *conn) writeBytes(remaining []byte, idleTimeout time.Duration) error {
	for len(remaining) > 0 {
		chunk := remaining[:min(len(remaining), writeChunkSize)]
		c.netConn.SetWriteDeadline(time.Now().Add(idleTimeout))
		if _, err := c.netConn.Write(chunk); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.server.Metrics.Add(connectionsIdleTimeout, 1)
			}
			return err
		}
		remaining = remaining[len(chunk):]
	}
	return nil
}
