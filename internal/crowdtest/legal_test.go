package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// largestAnswerBytes is the largest body of an answer that a node passes on.
const largestAnswerBytes = 16 << 20

// Guards against limits that keep a node on the smallest machine from serving a single request of the largest allowed size, or
// one with the largest answer.
func TestLargestAllowedRequests(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1")
	n := startSmallNode(t, smallMemory, smallDescriptors)
	body := bytes.Repeat([]byte("b"), bodyLimit)
	cases := []struct {
		name   string
		body   io.Reader
		header int
		answer []byte
	}{
		{"body", bytes.NewReader(body), 0, nil},
		{"body in chunks", io.MultiReader(bytes.NewReader(body)), 0, nil}, // a reader of unknown length
		{"header", nil, headerLimit - 500, nil},
		{"answer", nil, 0, make([]byte, largestAnswerBytes)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			n.leaf.SetBody(test.answer)
			defer n.leaf.SetBody(nil)
			r, err := http.NewRequest(http.MethodPost, "http://"+n.listeners.callers+"/one/", test.body)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "a.example"
			r.Header.Set("X-Request-Id", fmt.Sprintf("largest-%d", len(t.Name())))
			r.Header.Set("X-Fill", strings.Repeat("f", test.header))
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			answer, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || test.answer != nil && len(answer) != len(test.answer) {
				t.Fatalf("status %d, answer of %d bytes, error %v", response.StatusCode, len(answer), err)
			}
		})
	}
}
