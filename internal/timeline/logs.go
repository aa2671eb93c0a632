package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"cyclamenstream/api/event"
)

// maxLogLine is the longest line that is read, in bytes. It bounds the memory for a line.
const maxLogLine = 1 << 20

// eventAttributes are the attributes of a log line that are left out of an event's detail. All but level fill other
// fields of the event.
var eventAttributes = []string{"time", "level", "msg", "node", "zone", "leaf", "member", "service", "request"}

// ReadLog reads a process's structured log. It returns the entries as events and the number of lines that it skipped
// because they are not log entries. Text before a line's JSON, such as a log collector's prefix, is ignored.
func ReadLog(r io.Reader) (events []event.Event, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		parsed := parseLogLine(scanner.Bytes())
		if len(parsed) == 0 {
			skipped++
		}
		events = append(events, parsed...)
	}
	return events, skipped, scanner.Err()
}

// entriesAttribute is the attribute of a line about several entries. It lists the attributes of each of them.
const entriesAttribute = "entries"

// parseLogLine returns the events of a line: one, or one for each entry. It returns none if the line is not a log entry.
func parseLogLine(line []byte) []event.Event {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(line[start:]))
	decoder.UseNumber()
	var attributes map[string]any
	if err := decoder.Decode(&attributes); err != nil {
		return nil
	}
	entries, several := attributes[entriesAttribute].([]any)
	if !several {
		entries = []any{map[string]any{}}
	}
	delete(attributes, entriesAttribute)
	var events []event.Event
	for _, entry := range entries {
		own, _ := entry.(map[string]any)
		all := maps.Clone(attributes)
		maps.Copy(all, own)
		if e, ok := newEvent(all); ok {
			events = append(events, e)
		}
	}
	return events
}

// newEvent returns the event with the attributes of a log line.
func newEvent(attributes map[string]any) (event.Event, bool) {
	attribute := func(name string) string {
		s, _ := attributes[name].(string)
		return s
	}
	timestamp, err := time.Parse(time.RFC3339Nano, attribute("time"))
	if err != nil || attribute("msg") == "" {
		return event.Event{}, false
	}
	vm := attribute("leaf")
	if vm == "" {
		vm = attribute("member")
	}
	return event.Event{
		// The microseconds order the lines of one millisecond.
		Stamp: event.Stamp{WallMillis: timestamp.UnixMilli(), Counter: uint32(timestamp.Nanosecond() / 1000 % 1000)},
		Kind:  event.Kind(attribute("msg")), Node: attribute("node"), Zone: attribute("zone"), VM: vm,
		Service: attribute("service"), RequestID: attribute("request"), Detail: formatDetail(attributes),
	}, true
}

// formatDetail lists the attributes that are not in eventAttributes as name=value, ordered by name.
func formatDetail(attributes map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(attributes)) {
		if !slices.Contains(eventAttributes, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, attributes[name]))
		}
	}
	return strings.Join(parts, " ")
}
