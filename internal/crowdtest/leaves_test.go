package crowdtest

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"cyclamenstream/internal/standin/site"
)

const (
	// shards is the number of services whose answers are gathered. One of them takes slowTime, and the others' answers of
	// partBytes wait for it.
	shards    = 20
	partBytes = 60 << 10
	slowTime  = 3 * time.Second
)

// startGathering starts a node with a route that gathers the answers of many services.
func startGathering(t *testing.T, descriptorLimit int) *node {
	var names, services []string
	for i := range shards {
		names = append(names, fmt.Sprintf("%q", shardName(i)))
		services = append(services, fmt.Sprintf(`{"name":%q,"max_connections":1000}`, shardName(i)))
	}
	text := fmt.Sprintf(config, bodyLimit, headerLimit)
	text = strings.Replace(text, `"routes":[`, fmt.Sprintf(`"routes":[{"name":"all","hostname":"a.example","prefix":"/all/","route_type":"safe",
"timeout_ms":8000,"max_attempts":1,"gather":[%s],"top_k":5,"min_shard_ratio":0.5},`, strings.Join(names, ",")), 1)
	text = strings.Replace(text, `"services":[`, `"services":[`+strings.Join(services, ",")+",", 1)
	store := newStore(t, []byte(text))
	newLeaf(t, store, "l1", "s1")
	for i := range shards {
		leaf := newLeaf(t, store, "leaf-"+shardName(i), shardName(i))
		leaf.Slots = callers
		leaf.Register(store, "ready")
		leaf.SetBody(bytes.Repeat([]byte("r"), partBytes))
		if i == 0 {
			leaf.SetFault(site.Healthy, slowTime)
		}
	}
	return startAt(t, store, "n1", memoryLimit, descriptorLimit)
}

func shardName(i int) string { return fmt.Sprintf("shard-%d", i) }

const gatherRequest = "GET /all/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd-%d\r\n\r\n"

// Guards against a node that has no descriptors left when many requests are sent to many leaves at once.
func TestLeafConnections(t *testing.T) {
	startGathering(t, fewDescriptors).run(callers, func(i int, c net.Conn) error {
		_, err := fmt.Fprintf(c, gatherRequest, i)
		return err
	})
}

// Guards against a node that runs out of memory when many answers are gathered at once, beside callers whose bodies are not
// finished.
func TestGatheredAnswers(t *testing.T) {
	bodies := floods("/one/")[3]
	startGathering(t, manyDescriptors).run(callers, func(i int, c net.Conn) error {
		if i%4 == 0 {
			_ = c.SetDeadline(time.Now().Add(floodTimeout)) // fails only on a connection that has ended, as the write does
			return bodies.send(c)
		}
		_, err := fmt.Fprintf(c, gatherRequest, i)
		return err
	})
}

// Guards against a node that runs out of memory when many large answers of leaves are read at once.
func TestLargeAnswers(t *testing.T) {
	n := startNode(t, manyDescriptors)
	n.leaf.SetBody(make([]byte, answerBytes))
	n.run(readers, func(i int, c net.Conn) error {
		if i == 0 {
			defer n.leaf.SetBody(nil)
			time.Sleep(slowTime)
		}
		_, err := fmt.Fprintf(c, requestHead+"\r\n", i)
		return err
	})
}

// Guards against a node whose memory does not suffice for the identifiers of requests that leaves have interrupted, which
// callers choose.
func TestLongIdentifiers(t *testing.T) {
	n := startNode(t, manyDescriptors)
	n.slowLeaf.SetFault(site.Cut, 0)
	identifier := strings.Repeat("i", headerLimit-500)
	n.run(callers, func(i int, c net.Conn) error {
		for j := range interruptions / callers {
			if _, err := fmt.Fprintf(c, "GET /slow/%d-%d HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n\r\n", i, j, identifier); err != nil {
				return err
			}
			if _, err := c.Read(make([]byte, fillBytes)); err != nil {
				return err
			}
		}
		return nil
	})
}

// interruptions is the number of requests whose identifiers together exceed the node's memory.
const interruptions = 9000
