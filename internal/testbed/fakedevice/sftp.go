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

// sftpRetryDelay is the delay after a rejection: SFTP has no field that names one.
const sftpRetryDelay = 200 * time.Millisecond

// SFTP is the transport of a client for file commands. Each write opens the object's file, writes the body by one WRITE and
// closes the file.
type SFTP struct {
	Dial         Dialer
	Root         string
	ResponseTime time.Duration // within which the gateway responds: the protocol has no field for a deadline

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
	_ = f.client.Close() // Its connection is closed already.
	f.conn, f.client = nil, nil
}

// Link implements Transport.
func (f *SFTP) Link() Link { return f.link }

// Path returns the path of an object's file.
func (f *SFTP) Path(object string) string { return f.Root + "/" + object }

// send implements Transport.
func (f *SFTP) send(ctx context.Context, c *requestCopy) (result, error) {
	f.bytesSent.Store(0)
	res, err := f.write(ctx, c)
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
func (f *SFTP) write(ctx context.Context, c *requestCopy) (res result, err error) {
	if err := f.connect(ctx); err != nil {
		return res, err
	}
	conn := f.conn
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	file, err := f.client.OpenFile(f.Path(c.Object), os.O_WRONLY|os.O_CREATE)
	if err != nil {
		// The response to an OPEN says nothing of a WRITE: any status is a rejection of the write.
		return interpretStatus(res, err, invariants.Rejected)
	}
	res.sentCompletely, res.sentAt = true, time.Now()
	_, err = file.WriteAt(c.Body, 0)
	res, err = interpretStatus(res, err, invariants.Failed)
	res.responseStarted = time.Since(res.sentAt) < f.ResponseTime
	if err == nil {
		_ = file.Close() // The response to the WRITE is what counts.
	}
	return res, err
}

// interpretStatus returns the outcome of a command that ended with err. A status that does not say whether anything was done
// has the outcome unspecified.
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
