package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// examples formats command lines for the help of a command.
func examples(lines ...string) string {
	return "Examples:\n\n    cyclamenstream " + strings.Join(lines, "\n    cyclamenstream ")
}

// print writes value as JSON with --output json. Otherwise it calls table to write a table.
func (a *app) print(value any, table func(w io.Writer)) error {
	if a.Output == "json" {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// row writes the cells of one row of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
