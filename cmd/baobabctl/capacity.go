package main

import (
	"context"

	"baobabfield.example/cmd/internal/capacity"
)

// CapacityCmd measures the cost of a host at several sizes of the fleet.
type CapacityCmd struct {
	Into  string   `help:"Replace the tables in this Markdown file instead of printing them." placeholder:"FILE" type:"existingfile"`
	Fleet []string `help:"Sizes to measure: today, ten-times and two-years. Default: all." enum:"today,ten-times,two-years" default:"today,ten-times,two-years"`
}

// Help explains the command.
func (c *CapacityCmd) Help() string {
	return `Drives the state machines of the core in virtual time, and some sockets on
loopback. The largest size takes several minutes and a few gigabytes.

Examples:
  baobabctl capacity --fleet today --fleet ten-times
  baobabctl capacity --into docs/CAPACITY.md`
}

// Run measures and writes the tables.
func (c *CapacityCmd) Run(ctx context.Context, p *Printer) error {
	report, err := capacity.Run(ctx, c.Fleet, p.note)
	if err != nil {
		return err
	}
	if c.Into != "" {
		return capacity.Replace(c.Into, report.Markdown())
	}
	_, err = p.out.Write([]byte(report.Markdown()))
	return err
}
