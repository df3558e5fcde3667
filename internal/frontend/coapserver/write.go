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
	maxQueuedMessages = 16      // a connection handles no further requests while this many messages are queued on it
	writeChunkSize    = 4 << 10 // size in bytes of the chunks in which a message is written; the idle timeout applies to each
)

// outgoingMessage is a queued message: either an encoded one or the response to a request. A response is encoded only when it
// is written, since its form depends on what the device can receive at that time.
type outgoingMessage struct {
	encoded    []byte             // encoded message; used only if pending is nil
	pending    *pendingRequest    // request that the field response answers; nil if the field encoded holds the message
	response   lifecycle.Response // response to the pending request
	closeAfter bool               // whether the connection is closed after this message is written
}

// send queues a message.
func (c *conn) send(m message.Message) {
	c.sendEncoded(outgoingMessage{encoded: coapwire.Encode(m)})
}

// sendAndClose queues a message and closes the connection once the message has been written.
func (c *conn) sendAndClose(m message.Message) {
	c.sendEncoded(outgoingMessage{encoded: coapwire.Encode(m), closeAfter: true})
}

func (c *conn) sendEncoded(item outgoingMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueue(item)
}

// sendText queues a response whose payload is a text.
func (c *conn) sendText(token message.Token, code codes.Code, text string, options ...message.Option) {
	c.send(textMessage(token, code, text, options...))
}

// enqueue appends a message to the queue and starts writeLoop if it is not running. The caller holds c.mu.
func (c *conn) enqueue(item outgoingMessage) {
	if c.closed {
		return
	}
	c.queue = append(c.queue, item)
	if !c.writeLoopRunning {
		c.writeLoopRunning = true
		go c.writeLoop()
	}
}

// dequeue removes and returns the first message of the queue, and returns the idle timeout for writing it. It returns false if the
// queue is empty or the connection is closed; writeLoop must then return.
func (c *conn) dequeue() (item outgoingMessage, idleTimeout time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.queue) == 0 {
		c.writeLoopRunning = false
		c.closeIfIdle()
		return outgoingMessage{}, 0, false
	}
	item = c.queue[0]
	c.queue[0] = outgoingMessage{} // releases the references, so that the memory can be freed
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
			c.writeLoopRunning = false
			c.mu.Unlock()
			c.close()
			return
		}
	}
}

// write writes one message. For a served response it reports to the Loop whether all of it has been written.
func (c *conn) write(item outgoingMessage, idleTimeout time.Duration) error {
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
		c.server.Loop.Cancel(item.pending.request) // the response stays cached, so that the device can request the rest
	}
	return err
}

// writeBytes writes the bytes in chunks, each with its own deadline. A slow link thus gets enough time, while a lost connection
// is detected soon.
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
