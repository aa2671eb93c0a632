package crowdtest

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenstream/internal/proctest"
)

const (
	// callers is the size of a crowd that sends bodies or headers. Their bodies together exceed the node's memory.
	callers = 450
	// connections is the size of a crowd that exceeds the node's descriptors.
	connections = 900
	// readers is the size of a crowd that does not read its answers, each of answerBytes.
	readers     = 40
	answerBytes = 8 << 20
	// callerTimeout ends the writes of a caller that the node does not read from.
	callerTimeout = 20 * time.Second
	// holdTime is how long a crowd stays open after it has sent what it sends.
	holdTime = 2 * time.Second
)

// runCrowds is a flag because go test ./... runs packages at the same time, and these tests run apart from others.
var runCrowds = flag.Bool("crowd", false, "run the tests with crowds of callers")

func TestMain(m *testing.M) {
	code := m.Run()
	proctest.Cleanup()
	os.Exit(code)
}

// run lets each member of a crowd of callers act at once, waits, and verifies the node while the crowd is still connected. A
// failed act is no failure of the test: the node may refuse these callers.
func (n *node) run(size int, act func(member int, c net.Conn) error) {
	n.runOn(n.listeners.callers, callerTimeout, size, act)
}

// runOn is run for a listener. The members' connections have the given timeout.
func (n *node) runOn(address string, timeout time.Duration, size int, act func(member int, c net.Conn) error) {
	done := make(chan struct{})
	var watching, crowd sync.WaitGroup
	watching.Go(func() { n.watch(done) })
	for i := range size {
		crowd.Go(func() {
			if c, err := n.dial(address, timeout); err == nil {
				_ = act(i, c)
			}
		})
	}
	crowd.Wait()
	time.Sleep(holdTime)
	close(done)
	watching.Wait()
	n.verify()
}

const requestHead = "POST /one/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd-%d\r\n"

// sendPieces writes the text in pieces of the given size with a pause after each.
func sendPieces(w io.Writer, text []byte, size int, pause time.Duration) error {
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		if _, err := w.Write(piece); err != nil {
			return err
		}
		text = text[len(piece):]
		time.Sleep(pause)
	}
	return nil
}

// chunked returns the chunked form of a body without its end.
func chunked(body []byte, size int) []byte {
	var text bytes.Buffer
	for len(body) > 0 {
		piece := body[:min(size, len(body))]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(piece), piece)
		body = body[len(piece):]
	}
	return text.Bytes()
}

// Guards against a node that runs out of memory when many callers send bodies of allowed size at once, most of which stop
// just short of their end.
func TestUnfinishedBodies(t *testing.T) {
	body := bytes.Repeat([]byte("b"), bodyLimit-1)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit)
	const encoding = "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, header string
		text         []byte
		piece        int
		pause        time.Duration
	}{
		{"whole", length, body, bodyLimit, 0},
		{"in pieces", length, body, 8 << 10, 5 * time.Millisecond},
		{"in large chunks", encoding, chunked(body, 64<<10), bodyLimit, 0},
		{"in small chunks", encoding, chunked(body, 8), 32 << 10, 5 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			startNode(t, manyDescriptors).run(callers, func(i int, c net.Conn) error {
				if _, err := fmt.Fprintf(c, requestHead+"%s", i, test.header); err != nil {
					return err
				}
				if err := sendPieces(c, test.text, test.piece, test.pause); err != nil || i%8 != 0 {
					return err
				}
				_, err := io.WriteString(c, "b") // completes a body with a length
				return err
			})
		})
	}
}

// Guards against a node that runs out of memory when many callers send headers of allowed size and do not finish them.
// Short fields take much more memory than they have bytes.
func TestUnfinishedHeaders(t *testing.T) {
	const lastFields = 100 // keeps the header below its limit
	var fields strings.Builder
	for i := 0; fields.Len() < headerLimit-lastFields; i++ {
		fmt.Fprintf(&fields, "x%d:\r\n", i)
	}
	startNode(t, manyDescriptors).run(callers, func(i int, c net.Conn) error {
		_, err := fmt.Fprintf(c, requestHead+"%s", i, fields.String())
		return err
	})
}

// Guards against a node that has no descriptors left when many callers connect and do not finish, or do not begin, a
// request.
func TestManyConnections(t *testing.T) {
	startNode(t, fewDescriptors).run(connections, func(i int, c net.Conn) error {
		if i%2 == 0 {
			return nil
		}
		_, err := io.WriteString(c, "POST /one/ HTTP/1.1\r\nHost: a")
		return err
	})
}

// Guards against a node that runs out of memory when callers do not read large answers.
func TestUnreadAnswers(t *testing.T) {
	n := startNode(t, manyDescriptors)
	n.leaf.SetBody(make([]byte, answerBytes))
	var turn sync.Mutex // one answer after the other, so that the node is not short of memory for answers that it reads
	n.run(readers, func(i int, c net.Conn) error {
		turn.Lock()
		defer turn.Unlock()
		if _, err := fmt.Fprintf(c, requestHead+"\r\n", i); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1)) // the answer has begun
		if i == readers-1 {
			n.leaf.SetBody(nil)
		}
		return err
	})
}
