package main

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

// rolloutPollInterval is the time between two requests for a rollout in progress.
const rolloutPollInterval = 500 * time.Millisecond

// RolloutCmd shows the configuration in force on each host.
type RolloutCmd struct {
	Wait time.Duration `help:"Wait until no reachable host lags, at most this long." default:"0s"`
	All  bool          `help:"Show all hosts, not only those that lag or are unreachable."`
}

// Help returns examples.
func (c *RolloutCmd) Help() string {
	return `Examples:
  baobabctl rollout --all
  baobabctl rollout --wait 10s

Exits with 0 if no reachable host lags, and with 3 if one does.`
}

// Run shows the rollout.
func (c *RolloutCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	rollout, err := c.waitForRollout(ctx, p, client)
	if err != nil {
		return g.queryError(err)
	}
	if err := p.print(rollout, func(page *textPage) { printRollout(page, rollout, c.All) }); err != nil {
		return err
	}
	if lagging := countLagging(rollout); lagging > 0 {
		return &exitError{code: exitNotYetKnown, err: errors.Errorf("%d hosts lag", lagging)}
	}
	return nil
}

// waitForRollout requests the rollout until no host lags or c.Wait has passed.
func (c *RolloutCmd) waitForRollout(ctx context.Context, p *Printer, client *api.Client) (*api.Rollout, error) {
	ticker := time.NewTicker(rolloutPollInterval)
	defer ticker.Stop()
	for remaining := c.Wait; ; remaining -= rolloutPollInterval {
		rollout, err := client.GetRollout(ctx)
		if err != nil || remaining <= 0 || countLagging(rollout) == 0 {
			return rollout, err
		}
		p.printProgress("version %d: %d of %d hosts lag", rollout.Newest, countLagging(rollout), len(rollout.Hosts))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return rollout, nil
		}
	}
}

func countLagging(rollout *api.Rollout) int {
	lagging := 0
	for _, host := range rollout.Hosts {
		if host.Lagging {
			lagging++
		}
	}
	return lagging
}

func printRollout(p *textPage, rollout *api.Rollout, all bool) {
	p.addLine("Newest version in force: %d", rollout.Newest)
	var rows [][]string
	current, unreachable := 0, 0
	for _, host := range rollout.Hosts {
		state := describeRolloutState(host)
		switch {
		case !host.Reachable:
			unreachable++
		case !host.Lagging:
			current++
		}
		if all || state != "current" {
			rows = append(rows, []string{
				host.Host, host.DataCentre, strconv.FormatUint(host.Version, 10), host.Digest, state,
			})
		}
	}
	p.addLine("%d hosts current, %d lagging, %d unreachable", current, countLagging(rollout), unreachable)
	if len(rows) > 0 {
		p.addTable("  ", []string{"HOST", "DATA CENTRE", "VERSION", "DIGEST", "STATE"}, rows)
	}
}

func describeRolloutState(host api.HostRollout) string {
	switch {
	case !host.Reachable:
		return "unreachable"
	case host.Lagging:
		return "lagging"
	}
	return "current"
}
