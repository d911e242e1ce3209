package main

import (
	"context"
	"strings"

	api "baobabfield.example/api/admin"
)

// RetirementsCmd shows the retirements.
type RetirementsCmd struct{}

// Run shows the retirements and their remaining callers.
func (c *RetirementsCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	list, err := client.ListRetirements(ctx)
	if err != nil {
		return g.queryError(err)
	}
	return p.print(list, func(page *textPage) { printRetirements(page, list) })
}

func printRetirements(p *textPage, list *api.RetirementList) {
	if len(list.Retirements) == 0 {
		p.addLine("Nothing is being retired.")
	}
	for _, retirement := range list.Retirements {
		p.addLine("%s (version %d)", describeRetirement(retirement.Spec), retirement.Version)
		p.addLine("  %d calls seen, %d refused", retirement.Calls, retirement.Refused)
		printUses(p, retirement.Callers)
		p.addLine("")
	}
	printMissingHosts(p, list.Missing)
}

// printMissingHosts prints the hosts that did not respond, if any.
func printMissingHosts(p *textPage, missing []string) {
	if len(missing) > 0 {
		p.addLine("No answer from: %s", strings.Join(missing, ", "))
	}
}
