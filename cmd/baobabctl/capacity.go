package main

import (
	"context"

	"baobabfield.example/cmd/internal/capacity"
)

// CapacityCmd measures the resources that a host uses at several sizes of the fleet.
type CapacityCmd struct {
	Into  string   `help:"Replace the tables in this Markdown file instead of printing them." placeholder:"FILE" type:"existingfile"`
	Role  []string `help:"Measurements to make: entry, owner, configuration, membership and sockets. Default: all." enum:"entry,owner,configuration,membership,sockets" default:"entry,owner,configuration,membership,sockets"`
	Fleet []string `help:"Sizes to measure: today, ten-times and two-years. Default: all." enum:"today,ten-times,two-years" default:"today,ten-times,two-years"`
}

// Help explains the command.
func (c *CapacityCmd) Help() string {
	return `Drives the state machines of the core in virtual time, and some sockets on
loopback. The membership of the largest size takes many minutes and 10 GB. An
interrupt ends the run after the measurement in progress.

Examples:
  baobabctl capacity --fleet today --fleet ten-times
  baobabctl capacity --fleet two-years --role configuration
  baobabctl capacity --into docs/CAPACITY.md`
}

// Run makes the measurements and writes their tables.
func (c *CapacityCmd) Run(ctx context.Context, p *Printer) error {
	report := capacity.Run(ctx, c.Fleet, c.Role, p.printProgress)
	if c.Into != "" {
		return capacity.ReplaceTables(c.Into, report.Markdown())
	}
	_, err := p.out.Write([]byte(report.Markdown()))
	return err
}
