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

// Printer writes the results of commands.
type Printer struct {
	out      io.Writer
	progress io.Writer
	json     bool
}

// print writes value as JSON or, by text, in words.
func (p *Printer) print(value json.Marshaler, text func(*page)) error {
	if p.json {
		return p.printJSON(value)
	}
	var page page
	text(&page)
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

// note shows the progress of long work.
func (p *Printer) note(format string, args ...any) {
	_, _ = fmt.Fprintf(p.progress, format+"\n", args...)
}

// page is a text output under construction.
type page struct{ buffer bytes.Buffer }

func (p *page) line(format string, args ...any) { fmt.Fprintf(&p.buffer, format+"\n", args...) }

// list writes a heading and one line for each item, or one that says none.
func (p *page) list(heading string, items []string) {
	p.line("%s", heading)
	if len(items) == 0 {
		p.line("  nothing")
	}
	for _, item := range items {
		p.line("  - %s", item)
	}
}

// table writes rows under a header, in columns.
func (p *page) table(indent string, header []string, rows [][]string) {
	var aligned bytes.Buffer
	w := tabwriter.NewWriter(&aligned, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		_, _ = fmt.Fprintln(w, indent+strings.Join(row, "\t"))
	}
	_ = w.Flush()
	for line := range strings.Lines(aligned.String()) {
		p.line("%s", strings.TrimRight(line, " \n"))
	}
}

// orDash returns s, or a dash for an empty string.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
