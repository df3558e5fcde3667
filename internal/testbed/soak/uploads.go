package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/testbed/fakestorage"
)

// Files that uploaders write.
const (
	uploadRoot       = fileRoot + "/uploads"
	uploadChunks     = 6
	uploadChunkBytes = 4 << 10
	uploadVersions   = 2 // number of different contents of each file; a file gets an earlier content again
)

const (
	uploadRetryDelay = 200 * time.Millisecond // delay after a rejection and after a failed dial
	// uncertainDelay is the time after which a command without a response can no longer take effect.
	uncertainDelay = dedupWindow + 200*time.Millisecond
	// maxReconnectDelay is the longest time for which an uploader waits after it has broken its connection between two commands.
	maxReconnectDelay = 500 * time.Millisecond
	// breakDelay is the time after which an uploader breaks its connection inside a command, before a server can have responded.
	breakDelay = serviceTime / 2
)

// errBroken reports that the uploader itself has broken its connection.
var errBroken = errors.New("soak: connection broken by the uploader")

// uploader is a client of file commands that uploads its file again and again. Its connection breaks between two commands or inside
// one, and it then begins the upload anew, with or without truncation.
type uploader struct {
	run    *run
	random *rand.Rand
	path   string
	end    time.Time // when to stop
}

// runUploader runs one uploader until end.
func (r *run) runUploader(index int, end time.Time) {
	u := &uploader{run: r, random: rand.New(rand.NewPCG(r.options.Seed, uint64(5000+index))), end: end,
		path: fmt.Sprintf("%s/file-%d", uploadRoot, index)}
	for time.Now().Before(end) {
		content := string(fakestorage.ObjectData(fmt.Sprint(u.path, " version ", u.random.IntN(uploadVersions)),
			uploadChunks*uploadChunkBytes))
		if u.upload(content) {
			u.check(content)
		}
		time.Sleep(time.Duration(u.random.IntN(1000)) * time.Millisecond)
	}
}

// isUpload reports whether a file belongs to an uploader.
func isUpload(path string) bool { return strings.HasPrefix(path, uploadRoot+"/") }

// upload uploads the file. It returns true once one attempt got a successful response to each command, and false at the end of the
// run.
func (u *uploader) upload(content string) bool {
	for time.Now().Before(u.end) {
		err := u.attempt(content)
		switch {
		case err == nil:
			return true
		case errors.Is(err, errBroken):
			time.Sleep(time.Duration(u.random.Int64N(int64(maxReconnectDelay))))
		default:
			time.Sleep(uncertainDelay)
		}
	}
	return false
}

// attempt performs an upload over one connection. It returns errBroken if it has broken the connection between two commands, and
// another error if the outcome of a command is unknown.
func (u *uploader) attempt(content string) error {
	conn, err := u.run.dialer()(context.Background(), "tcp", u.run.frontendAddr(sftpFrontend))
	if err != nil {
		return err
	}
	defer resetConn(conn)
	client, err := sftp.NewClientPipe(conn, conn)
	if err != nil {
		return err
	}
	flags := os.O_WRONLY | os.O_CREATE
	if u.random.IntN(2) == 0 {
		flags |= os.O_TRUNC
	}
	var file *sftp.File
	err = u.untilAccepted(func() (err error) {
		file, err = client.OpenFile(u.path, flags)
		return err
	})
	if err != nil {
		return err
	}
	for offset := 0; offset < len(content); offset += uploadChunkBytes {
		if err := u.writeChunk(conn, file, content[offset:offset+uploadChunkBytes], int64(offset)); err != nil {
			return err
		}
	}
	return file.Close()
}

// writeChunk writes one chunk, or breaks the connection before or during that.
func (u *uploader) writeChunk(conn net.Conn, file *sftp.File, chunk string, offset int64) error {
	switch u.random.IntN(24) {
	case 0, 1:
		return errBroken
	case 2:
		timer := time.AfterFunc(breakDelay, func() { resetConn(conn) })
		defer timer.Stop()
	}
	return u.untilAccepted(func() error {
		_, err := file.WriteAt([]byte(chunk), offset)
		return err
	})
}

// untilAccepted performs a command again for as long as it is rejected, and returns its error.
func (u *uploader) untilAccepted(command func() error) error {
	for {
		err := command()
		if err == nil || !strings.Contains(err.Error(), "nothing was done") || time.Now().After(u.end) {
			return err
		}
		time.Sleep(uploadRetryDelay)
	}
}

// check records whether the servers hold the content of an upload whose commands all succeeded.
func (u *uploader) check(content string) {
	stored := ""
	for i := range u.run.shards {
		stored += string(u.run.shards[i].files.File(u.path))
	}
	if stored == content {
		u.run.checker.RecordUpload("")
		return
	}
	var states []string
	for offset := 0; offset < len(content); offset += uploadChunkBytes {
		end := offset + uploadChunkBytes
		states = append(states, fmt.Sprint(len(stored) >= end && stored[offset:end] == content[offset:end]))
	}
	u.run.checker.RecordUpload(fmt.Sprintf("%s: %d bytes stored, chunks right: %s", u.path, len(stored), strings.Join(states, " ")))
}

// resetConn closes a connection, and resets it if it is a TCP connection.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the connection is closed regularly, which is a break too
	}
	conn.Close()
}
