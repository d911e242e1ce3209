package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Printer writes the output of commands.
type Printer struct {
	out io.Writer
	// progress receives messages that are not part of the output.
	progress io.Writer
	asJSON   bool
}

// print writes value as JSON, or the text that writeText adds to a page.
func (p *Printer) print(value json.Marshaler, writeText func(*textPage)) error {
	if p.asJSON {
		return p.printJSON(value)
	}
	var page textPage
	writeText(&page)
	_, err := p.out.Write(page.buffer.Bytes())
	return errors.Wrap(err, "write the output")
}

func (p *Printer) printJSON(value json.Marshaler) error {
	raw, err := value.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "encode the output")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", "  "); err != nil {
		return errors.Wrap(err, "indent the output")
	}
	indented.WriteByte('\n')
	_, err = p.out.Write(indented.Bytes())
	return errors.Wrap(err, "write the output")
}

// printProgress writes a message about the progress of a long command.
func (p *Printer) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(p.progress, format+"\n", args...)
}

// textPage collects the lines of a text output.
type textPage struct{ buffer bytes.Buffer }

func (p *textPage) addLine(format string, args ...any) { fmt.Fprintf(&p.buffer, format+"\n", args...) }

// addList adds a heading and a line for each item, or the line "nothing" if there
// are no items.
func (p *textPage) addList(heading string, items []string) {
	p.addLine("%s", heading)
	if len(items) == 0 {
		p.addLine("  nothing")
	}
	for _, item := range items {
		p.addLine("  - %s", item)
	}
}

// addTable adds a header and rows in aligned columns.
func (p *textPage) addTable(indent string, header []string, rows [][]string) {
	var aligned bytes.Buffer
	w := tabwriter.NewWriter(&aligned, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		_, _ = fmt.Fprintln(w, indent+strings.Join(row, "\t"))
	}
	_ = w.Flush()
	for line := range strings.Lines(aligned.String()) {
		p.addLine("%s", strings.TrimRight(line, " \n"))
	}
}

// dashIfEmpty returns s, or a dash for an empty string.
func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
