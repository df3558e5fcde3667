package fakefileserver

import (
	"encoding/binary"
	"io"
	"os"
	"time"

	"github.com/pkg/sftp"

	"gaugerelay/internal/sftpwire"
)

// handle is an open file.
type handle struct {
	server    *Server
	path      string
	uploadKey string
}

// open executes an OPEN.
func (s *Server) open(r *sftp.Request) (*handle, error) {
	h := &handle{server: s, path: r.Filepath, uploadKey: parseUploadKey(r.Attrs)}
	err := s.execute(&Command{Op: OpOpen, Path: h.path, Flags: r.Flags, UploadKey: h.uploadKey}, func() error {
		_, exists := s.files[h.path]
		if !exists && r.Flags&sftpwire.FlagCreate == 0 {
			return sftp.ErrSSHFxNoSuchFile
		}
		if !exists || r.Flags&sftpwire.FlagTruncate != 0 {
			s.files[h.path] = nil
		}
		return nil
	})
	return h, err
}

// parseUploadKey returns the upload key from the attributes of an OPEN, or an empty string if there is none. attrs must hold only
// extended attributes: their count, then the name and value of each.
func parseUploadKey(attrs []byte) string {
	if len(attrs) < 4 {
		return ""
	}
	count := binary.BigEndian.Uint32(attrs)
	attrs = attrs[4:]
	for range count {
		var name, value string
		name, attrs = readString(attrs)
		value, attrs = readString(attrs)
		if name == sftpwire.AttrUploadKey {
			return value
		}
	}
	return ""
}

// readString decodes the length-prefixed string at the start of data and returns it with the remaining data. If the string is
// incomplete, readString returns an empty string and data.
func readString(data []byte) (text string, rest []byte) {
	if len(data) < 4 {
		return "", data
	}
	n := int(binary.BigEndian.Uint32(data))
	if n > len(data)-4 {
		return "", data
	}
	return string(data[4 : 4+n]), data[4+n:]
}

// ReadAt implements io.ReaderAt.
func (h *handle) ReadAt(p []byte, off int64) (n int, err error) {
	err = h.server.execute(&Command{Op: OpRead, Path: h.path, Bytes: len(p)}, func() error {
		data := h.server.files[h.path]
		if off >= int64(len(data)) {
			return io.EOF
		}
		if n = copy(p, data[off:]); n < len(p) {
			return io.EOF
		}
		return nil
	})
	return n, err
}

// WriteAt implements io.WriterAt.
func (h *handle) WriteAt(p []byte, off int64) (int, error) {
	c := Command{Op: OpWrite, Path: h.path, UploadKey: h.uploadKey, Bytes: len(p), Data: append([]byte(nil), p...)}
	err := h.server.execute(&c, func() error {
		if h.server.uploadKeys[h.uploadKey] {
			c.Deduplicated = true
			return nil
		}
		h.server.uploadKeys[h.uploadKey] = true
		data := h.server.files[h.path]
		if end := int(off) + len(p); end > len(data) {
			data = append(data, make([]byte, end-len(data))...)
		}
		copy(data[off:], p)
		h.server.files[h.path] = data
		return nil
	})
	return len(p), err
}

// Fileread implements sftp.FileReader.
func (s *Server) Fileread(r *sftp.Request) (io.ReaderAt, error) { return s.open(r) }

// Filewrite implements sftp.FileWriter.
func (s *Server) Filewrite(r *sftp.Request) (io.WriterAt, error) { return s.open(r) }

// OpenFile implements sftp.OpenFileWriter.
func (s *Server) OpenFile(r *sftp.Request) (sftp.WriterAtReaderAt, error) { return s.open(r) }

// Filecmd implements sftp.FileCmder. It supports no command.
func (s *Server) Filecmd(*sftp.Request) error { return sftp.ErrSSHFxOpUnsupported }

// Filelist implements sftp.FileLister. It handles every request as a STAT.
func (s *Server) Filelist(r *sftp.Request) (sftp.ListerAt, error) {
	info := fileInfo{name: r.Filepath}
	err := s.execute(&Command{Op: OpStat, Path: r.Filepath}, func() error {
		data, exists := s.files[r.Filepath]
		if !exists {
			return sftp.ErrSSHFxNoSuchFile
		}
		info.size = int64(len(data))
		return nil
	})
	return info, err
}

// fileInfo holds the attributes of a file. It implements os.FileInfo, and sftp.ListerAt as a list that contains only itself.
type fileInfo struct {
	name string
	size int64
}

// ListAt implements sftp.ListerAt.
func (i fileInfo) ListAt(out []os.FileInfo, _ int64) (int, error) {
	out[0] = i
	return 1, nil
}

func (i fileInfo) Name() string       { return i.name }
func (i fileInfo) Size() int64        { return i.size }
func (i fileInfo) Mode() os.FileMode  { return 0o644 }
func (i fileInfo) ModTime() time.Time { return time.Unix(1, 0) }
func (i fileInfo) IsDir() bool        { return false }
func (i fileInfo) Sys() any           { return nil }
