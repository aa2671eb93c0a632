package crowdtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// usage is the memory of a node at one time, in MiB: what is resident, and the bytes that the kernel has received for it and
// that it has not read. The latter count as memory of the process too.
type usage struct{ resident, unread int }

func (u usage) total() int { return u.resident + u.unread }

func (u usage) String() string {
	return fmt.Sprintf("%d MiB resident and %d unread", u.resident, u.unread)
}

// unread returns the bytes in MiB, rounded up, in the receive queues of the node's sockets, including those of connections
// that it has not accepted yet.
func (n *node) unread() int {
	own := n.socketInodes()
	bytes := 0
	for _, table := range []string{"tcp", "udp"} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", n.process.PID(), table))
		if err != nil {
			n.t.Fatalf("the node's process has ended: %v", err)
		}
		for line := range strings.Lines(string(text)) {
			if s, ok := parseSocket(line); ok && (own[s.inode] || n.listeners.has(s.port)) {
				bytes += s.unread
			}
		}
	}
	return (bytes + 1<<20 - 1) >> 20
}

// socketInodes returns the inodes of the sockets that the node has open.
func (n *node) socketInodes() map[string]bool {
	folder := fmt.Sprintf("/proc/%d/fd/", n.process.PID())
	entries, err := os.ReadDir(folder)
	if err != nil {
		n.t.Fatalf("the node's process has ended: %v", err)
	}
	inodes := map[string]bool{}
	for _, entry := range entries {
		target, err := os.Readlink(folder + entry.Name())
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// has reports whether the node listens on a local port.
func (l listeners) has(port int) bool {
	for _, address := range l.ofClients() {
		if strings.HasSuffix(address, ":"+strconv.Itoa(port)) {
			return true
		}
	}
	return false
}

// socket is one line of /proc/net/tcp or /proc/net/udp.
type socket struct {
	port, unread int
	inode        string
}

// parseSocket parses a line. It returns false for the heading and for sockets that listen, whose queue is one of connections.
func parseSocket(line string) (socket, bool) {
	const localAddress, state, queues, inode = 1, 3, 4, 9
	const listening = "0A"
	fields := strings.Fields(line)
	if len(fields) <= inode || fields[state] == listening {
		return socket{}, false
	}
	_, port, _ := strings.Cut(fields[localAddress], ":")
	_, unread, _ := strings.Cut(fields[queues], ":")
	local, err := strconv.ParseInt(port, 16, 64)
	if err != nil {
		return socket{}, false
	}
	bytes, err := strconv.ParseInt(unread, 16, 64)
	return socket{int(local), int(bytes), fields[inode]}, err == nil
}
