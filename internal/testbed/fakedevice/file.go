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

// SFTP is the wire of a client for file commands: each write opens the job's file, writes its body as one WRITE and
// closes it.
type SFTP struct {
	Dial         Dialer
	Root         string
	ResponseTime time.Duration // the protocol names no time: the gateway answers within that of the class

	client *sftp.Client
	nc     net.Conn
	link   Link
	sent   atomic.Int64
}

// Close implements Wire.
func (f *SFTP) Close() {
	if f.nc != nil {
		f.nc.Close()
		f.client.Close()
		f.nc, f.client = nil, nil
	}
}

// Link implements Wire.
func (f *SFTP) Link() Link { return f.link }

// Path is where a job's file lies.
func (f *SFTP) Path(piece string) string { return f.Root + "/" + piece }

// send implements Wire.
func (f *SFTP) send(ctx context.Context, c *copied) (res result, err error) {
	f.sent.Store(0)
	defer func() { res.bytes = int(f.sent.Load()) }()
	if f.client == nil {
		nc, link, err := f.Dial(ctx)
		if err != nil {
			return res, err
		}
		counted := &counter{nc, &f.sent}
		stop := context.AfterFunc(ctx, func() { nc.Close() })
		client, err := sftp.NewClientPipe(counted, counted)
		stop()
		if err != nil {
			nc.Close()
			return res, ErrLost
		}
		f.client, f.nc, f.link = client, nc, link
	}
	nc := f.nc
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	file, err := f.client.OpenFile(f.Path(c.Object), os.O_WRONLY|os.O_CREATE)
	if err != nil {
		return f.judge(res, err, true)
	}
	res.sent, res.sentAt = true, time.Now()
	_, err = file.WriteAt(c.Body, 0)
	res, err = f.judge(res, err, false)
	res.heard = time.Since(res.sentAt) < f.ResponseTime
	if err == nil {
		file.Close()
	}
	return res, err
}

// judge reads a status. What an OPEN was told is about no WRITE: it counts as a refusal of one.
func (f *SFTP) judge(res result, err error, open bool) (result, error) {
	var status *sftp.StatusError
	switch {
	case err == nil:
		res.outcome, res.content = invariants.Served, ""
	case errors.As(err, &status) && (open || strings.Contains(err.Error(), "nothing was done")):
		res.outcome, res.after = invariants.Rejected, 200*time.Millisecond
	case errors.As(err, &status):
		res.outcome = invariants.Failed
	default:
		return res, ErrLost
	}
	return res, nil
}
