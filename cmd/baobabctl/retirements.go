package main

import (
	"context"
	"strings"

	api "baobabfield.example/api/admin"
)

// RetirementsCmd shows the retirements.
type RetirementsCmd struct{}

// Run shows the retirements and their remaining callers.
func (c *RetirementsCmd) Run(ctx context.Context, g *Globals, p *Printer) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	list, err := client.ListRetirements(ctx)
	if err != nil {
		return g.readError(err)
	}
	return p.print(list, func(page *page) { printRetirements(page, list) })
}

func printRetirements(p *page, list *api.RetirementList) {
	if len(list.Retirements) == 0 {
		p.line("Nothing is being retired.")
	}
	for _, retirement := range list.Retirements {
		p.line("%s (version %d)", describeRetirement(retirement.Spec), retirement.Version)
		p.line("  %d calls seen, %d refused", retirement.Calls, retirement.Refused)
		printUses(p, retirement.Callers)
		p.line("")
	}
	printMissing(p, list.Missing)
}

// printMissing names the hosts that an answer does not cover.
func printMissing(p *page, missing []string) {
	if len(missing) > 0 {
		p.line("No answer from: %s", strings.Join(missing, ", "))
	}
}
