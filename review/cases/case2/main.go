// Case 2: the connection of a build host breaks in the middle of an upload by file commands. The host connects again and uploads the
// file anew, with an OPEN that truncates it. When every command was answered by OK, the file has to hold what was uploaded.
package main

import (
	"fmt"
	"net"
	"strings"
	"time"

	"review/standin"
)

const (
	uploads    = 10
	chunks     = 6
	chunkBytes = 8 << 10
	breakAfter = 3                      // chunks whose WRITEs were answered when the connection breaks
	reconnect  = 500 * time.Millisecond // from the break on
)

func main() { standin.Run(run) }

func run(env *standin.Env) (int, error) {
	files, err := standin.StartFileServer(env, 3*time.Second)
	if err != nil {
		return 0, err
	}
	node, err := net.Listen("tcp", "127.0.0.1:0") // the node's port for HTTP, which this case does not use
	if err != nil {
		return 0, err
	}
	list := standin.List{Version: 1, Full: true, Servers: []standin.Server{{ID: "s-00000001", Addr: node.Addr().String(),
		Zone: "salt-lake", Kind: "std-node", State: "Ready", Weight: 1}}}
	discovery, err := standin.StartDiscovery(env, list, nil)
	if err != nil {
		return 0, err
	}
	var addrs [3]string
	for i := range addrs {
		if addrs[i], err = standin.FreeAddr(); err != nil {
			return 0, err
		}
	}
	config := standin.Config("n0", addrs[0], discovery.Addr, list, standin.Settings(1, 1))
	edge := map[string]any{
		"sftp": map[string]any{"listen": addrs[1], "read_class": "pull", "write_class": "push",
			"roots":    []any{map[string]any{"path": "/layers", "volume": "00000003b4d60021", "plan": "business", "hosts": 1}},
			"backends": map[string]any{"s-00000001": files.Addr}},
		"devices": map[string]any{"coap": addrs[2]},
	}
	if _, err := env.StartGateway(config, edge); err != nil {
		return 0, err
	}
	lost := 0
	for i := range uploads {
		path := fmt.Sprintf("/layers/layer-%d.tar", i)
		content := content(i)
		if env.Trouble {
			if err := upload(env, addrs[1], path, content[:breakAfter*chunkBytes], false); err != nil {
				return 0, err
			}
			env.Logf("client: the connection has broken")
			time.Sleep(reconnect)
		}
		if err := upload(env, addrs[1], path, content, true); err != nil {
			return 0, err
		}
		if stored := files.Content(path); stored != content {
			lost++
			env.Logf("LOST: every command of the upload of %s was answered by OK, and the file differs: %s", path,
				describe(stored, content))
		}
	}
	env.Sayf("uploads answered by OK %d, of which the file does not hold the content %d", uploads, lost)
	if lost > 0 {
		return standin.Broken, nil
	}
	return standin.Held, nil
}

// content returns the content of a file, of which no two chunks are equal.
func content(file int) string {
	var text strings.Builder
	for text.Len() < chunks*chunkBytes {
		fmt.Fprintf(&text, "file %d byte %d\n", file, text.Len())
	}
	return text.String()[:chunks*chunkBytes]
}

// describe tells which chunks of a stored file are right.
func describe(stored, want string) string {
	var parts []string
	for i := 0; i < len(want); i += chunkBytes {
		state := "wrong"
		switch {
		case len(stored) < i+chunkBytes:
			state = "missing"
		case stored[i:i+chunkBytes] == want[i:i+chunkBytes]:
			state = "right"
		case strings.Trim(stored[i:i+chunkBytes], "\x00") == "":
			state = "empty"
		}
		parts = append(parts, fmt.Sprintf("chunk %d %s", i/chunkBytes, state))
	}
	return strings.Join(parts, ", ")
}

// upload truncates a file and writes it over a new connection, one command at a time. If it is not complete, the connection is then
// reset, and otherwise the handle is closed.
func upload(env *standin.Env, gateway, path, data string, complete bool) error {
	client, err := standin.DialFiles(gateway, "127.0.0.1")
	if err != nil {
		return err
	}
	defer client.Conn.Close()
	handle, err := client.Open(path, standin.FileWrite|standin.FileCreate|standin.FileTruncate)
	if err != nil {
		return fmt.Errorf("OPEN: %w", err)
	}
	env.Logf("client: OPEN %s, which truncates the file, was answered by OK", path)
	for offset := 0; offset < len(data); offset += chunkBytes {
		if err := client.Write(handle, uint64(offset), data[offset:offset+chunkBytes]); err != nil {
			return fmt.Errorf("WRITE: %w", err)
		}
		env.Logf("client: WRITE %s offset %d was answered by OK", path, offset)
	}
	if !complete {
		return client.Conn.(*net.TCPConn).SetLinger(0) // Close then resets the connection
	}
	return client.Close(handle)
}
