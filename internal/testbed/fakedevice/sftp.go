package fakedevice

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/testbed/invariants"
)

// sftpRetryDelay is the delay from a rejection to the next transmission. It is fixed because SFTP has no field for a delay.
const sftpRetryDelay = 200 * time.Millisecond

// SFTP is the transport of a client that uses file commands. For each write, it opens the object's file, sends the body in one
// WRITE and closes the file.
type SFTP struct {
	Dial Dialer
	Root string // directory of the files
	// ResponseTime is the time that the gateway may take to respond to a WRITE. The device does not record a response as missing if
	// it waited for a shorter time. The time is fixed because SFTP has no field for a deadline.
	ResponseTime time.Duration

	client    *sftp.Client
	conn      net.Conn
	link      Link
	bytesSent atomic.Int64
}

// Close implements Transport.
func (f *SFTP) Close() {
	if f.conn == nil {
		return
	}
	f.conn.Close()
	_ = f.client.Close() // Close returns an error because the connection is already closed.
	f.conn, f.client = nil, nil
}

// Link implements Transport.
func (f *SFTP) Link() Link { return f.link }

// Path returns the path of an object's file.
func (f *SFTP) Path(object string) string { return f.Root + "/" + object }

// send implements Transport.
func (f *SFTP) send(ctx context.Context, tx *transmission) (result, error) {
	f.bytesSent.Store(0)
	res, err := f.write(ctx, tx)
	res.bytesSent = int(f.bytesSent.Load())
	return res, err
}

// connect opens a connection if there is none.
func (f *SFTP) connect(ctx context.Context) error {
	if f.client != nil {
		return nil
	}
	conn, link, err := f.Dial(ctx)
	if err != nil {
		return err
	}
	counted := &countingConn{conn, &f.bytesSent}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	client, err := sftp.NewClientPipe(counted, counted)
	stop()
	if err != nil {
		conn.Close()
		return ErrNoResponse
	}
	f.client, f.conn, f.link = client, conn, link
	return nil
}

// write writes the object's file.
func (f *SFTP) write(ctx context.Context, tx *transmission) (res result, err error) {
	if err := f.connect(ctx); err != nil {
		return res, err
	}
	conn := f.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	file, err := f.client.OpenFile(f.Path(tx.Object), os.O_WRONLY|os.O_CREATE)
	if err != nil {
		// No WRITE was sent, so any error status of the OPEN means that the write was not executed.
		return interpretStatus(res, err, invariants.Rejected)
	}
	res.sentCompletely, res.sentAt = true, time.Now()
	_, err = file.WriteAt(tx.Body, 0)
	res, err = interpretStatus(res, err, invariants.Failed)
	res.responseStarted = time.Since(res.sentAt) < f.ResponseTime
	if err == nil {
		_ = file.Close() // An error is ignored, because only the response to the WRITE determines the outcome.
	}
	return res, err
}

// interpretStatus sets the outcome of a command that returned err. unspecified is the outcome of an error status that does not say
// whether the command was executed.
func interpretStatus(res result, err error, unspecified invariants.Outcome) (result, error) {
	var status *sftp.StatusError
	switch {
	case err == nil:
		res.outcome = invariants.Served
		return res, nil
	case !errors.As(err, &status):
		return res, ErrNoResponse
	}
	res.outcome = unspecified
	if strings.Contains(err.Error(), "nothing was done") {
		res.outcome = invariants.Rejected
	}
	if res.outcome == invariants.Rejected {
		res.retryAfter = sftpRetryDelay
	}
	return res, nil
}
