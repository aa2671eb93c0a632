package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cyclamenstream/api/route"
)

// Guards against requests that get the route of a shorter prefix or of another host, or no route.
func TestFind(t *testing.T) {
	x := NewIndex(&route.Table{Routes: []route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/"},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"a.example", "/x/y", "short"},
		{"a.example:8080", "/x/1", "short"}, {"A.Example", "/x/1", "short"}, {"a.example", "/x", ""},
		{"a.example", "/", ""}, {"b.example", "/x/1", "other"}, {"c.example", "/x/1", ""},
	}
	for _, test := range cases {
		name := ""
		if r := x.Find(test.host, test.path); r != nil {
			name = r.Name
		}
		qt.Check(t, name, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

// Guards against a traffic split whose services get other shares than their weights.
func TestPickByWeight(t *testing.T) {
	const draws = 20_000
	r := &route.Route{Split: []route.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "none", Weight: 0}}}
	counts := map[string]int{}
	for range draws {
		counts[Pick(r)]++
	}
	share := float64(counts["a"]) / draws
	qt.Assert(t, share > 0.73 && share < 0.77, qt.IsTrue, qt.Commentf("share %v of 0.75", share))
	qt.Assert(t, counts["none"], qt.Equals, 0)
	qt.Assert(t, Pick(&route.Route{Service: "s"}), qt.Equals, "s")
}
