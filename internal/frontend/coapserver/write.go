package coapserver

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"gaugerelay/internal/clock"
	"gaugerelay/internal/coapwire"
	"gaugerelay/internal/frontend/responsebuffer"
	"gaugerelay/internal/lifecycle"
)

const (
	maxQueuedMessages = 16      // a connection handles no further requests while this many messages are queued on it
	writeChunkSize    = 4 << 10 // size in bytes of the chunks in which a message is written; the idle timeout applies to each
)

// outgoingMessage is a queued message: either an encoded one or the response to a request. A response is encoded only when it
// is written, since its form depends on what the device can receive at that time.
type outgoingMessage struct {
	encoded    []byte          // encoded message; used only if response is nil
	response   *queuedResponse // nil if the field encoded holds the message
	closeAfter bool            // whether the connection is closed after this message is written
}

// queuedResponse is the response to a request that waits to be written.
type queuedResponse struct {
	pending  *pendingRequest
	response lifecycle.Response     // its body is in the field body
	body     *responsebuffer.Buffer // body of a served response; nil for another one
}

// release ends the use of the response's body.
func (r *queuedResponse) release() {
	if r.body != nil {
		r.body.Release()
	}
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

// write writes one message.
func (c *conn) write(item outgoingMessage, idleTimeout time.Duration) error {
	if item.response == nil {
		return c.writeBytes(item.encoded, idleTimeout)
	}
	defer item.response.release()
	if item.response.body == nil {
		return c.writeBytes(coapwire.Encode(c.composeOther(item.response.pending, item.response.response)), idleTimeout)
	}
	return c.writeServed(item.response, idleTimeout)
}

// writeServed writes a served response, and reports to the Loop whether all of it has been written.
func (c *conn) writeServed(r *queuedResponse, idleTimeout time.Duration) error {
	complete, err := c.writeBody(r, idleTimeout)
	if err == nil && complete {
		c.server.Loop.ResponseWritten(r.pending.request, lifecycle.LinkSample{})
	} else {
		c.server.Loop.Cancel(r.pending.request) // the response stays cached, so that the device can request the rest
	}
	return err
}

// writeBody writes the message for a served response, or the one for the response that its request gets now if the served one was
// dropped.
func (c *conn) writeBody(r *queuedResponse, idleTimeout time.Duration) (complete bool, err error) {
	// The context bounds only the time in which a dropped response is fetched again.
	ctx, cancel := context.WithTimeout(c.ctx, clock.Duration(max(0, r.pending.deadlineMs-c.server.Clock.NowMs())))
	defer cancel()
	var notServed *responsebuffer.NotServedError
	err = r.body.Await(ctx)
	switch {
	case errors.As(err, &notServed):
		return false, c.writeBytes(coapwire.Encode(c.composeOther(r.pending, notServed.Response)), idleTimeout)
	case errors.Is(err, responsebuffer.ErrNoResponse), errors.Is(err, context.DeadlineExceeded):
		timeout := textMessage(r.pending.token, codes.GatewayTimeout, "no answer in time")
		return false, c.writeBytes(coapwire.Encode(timeout), idleTimeout)
	case err != nil:
		return false, err
	}
	served := composeServed(r.pending, r.body.Size(), r.body.ETag(), c.peerLimits())
	if served.end == served.start {
		return served.complete, c.writeBytes(coapwire.Encode(served.head), idleTimeout)
	}
	return served.complete, c.writePayload(ctx, r.body, served, idleTimeout)
}

// writePayload writes a message whose payload is a part of a body. It holds no more than one chunk of it, so that the body can be dropped.
func (c *conn) writePayload(ctx context.Context, body *responsebuffer.Buffer, served servedMessage, idleTimeout time.Duration) error {
	head := coapwire.EncodeHead(served.head, served.end-served.start)
	chunk := make([]byte, len(head)+min(writeChunkSize, served.end-served.start))
	filled := copy(chunk, head)
	for offset := served.start; offset < served.end; {
		n, err := body.ReadAt(ctx, chunk[filled:min(len(chunk), filled+served.end-offset)], offset)
		if err != nil {
			return err
		}
		if err := c.writeBytes(chunk[:filled+n], idleTimeout); err != nil {
			return err
		}
		offset += n
		filled = 0
	}
	return nil
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
