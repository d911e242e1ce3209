package main

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

// confirmRetryInterval is the time between confirmations whose result is not known.
const confirmRetryInterval = time.Second

// PlanCmd groups the commands about plans.
type PlanCmd struct {
	Create   PlanCreateCmd   `cmd:"" help:"Make a plan from what you want. Nothing changes yet."`
	Show     PlanShowCmd     `cmd:"" help:"Show a plan in words."`
	List     PlanListCmd     `cmd:"" help:"List the plans."`
	Confirm  PlanConfirmCmd  `cmd:"" help:"Put a plan into force. Repeating is safe."`
	Withdraw PlanWithdrawCmd `cmd:"" help:"Withdraw a plan that is not confirmed."`
}

// PlanShowCmd shows a plan.
type PlanShowCmd struct {
	Plan string `arg:"" help:"The plan's id."`
}

// Run shows the plan.
func (c *PlanShowCmd) Run(ctx context.Context, g *Globals, p *Printer) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	plan, err := client.GetPlan(ctx, api.GetPlanParams{Plan: c.Plan})
	if err != nil {
		return g.readError(err)
	}
	return p.print(plan, func(page *page) { printPlan(page, plan) })
}

// PlanListCmd lists plans.
type PlanListCmd struct {
	State string `help:"Only plans in this state: proposed, confirmed, withdrawn or stale." enum:",proposed,confirmed,withdrawn,stale" default:"" placeholder:"STATE"`
}

// Run lists the plans.
func (c *PlanListCmd) Run(ctx context.Context, g *Globals, p *Printer) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	var params api.ListPlansParams
	if c.State != "" {
		params.State = api.NewOptPlanState(api.PlanState(c.State))
	}
	list, err := client.ListPlans(ctx, params)
	if err != nil {
		return g.readError(err)
	}
	return p.print(list, func(page *page) { printPlans(page, list) })
}

// PlanConfirmCmd confirms a plan.
type PlanConfirmCmd struct {
	Plan string        `arg:"" help:"The plan's id."`
	Wait time.Duration `help:"While the result is not known, ask again for this long." default:"0s"`
}

// Help returns examples.
func (c *PlanConfirmCmd) Help() string {
	return `Examples:
  baobabctl plan confirm p-17
  baobabctl plan confirm p-17 --wait 1m && baobabctl rollout --wait 1m

A plan rests on the versions of the objects that it was made from. If one of
them has changed, the confirmation is refused, names the object, and makes a new
plan to look at. If the platform does not answer, the result is not yet known
(exit code 3): the same command finds out, and a plan is applied at most once.`
}

// Run confirms the plan.
func (c *PlanConfirmCmd) Run(ctx context.Context, g *Globals, p *Printer) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	confirm := func(ctx context.Context) (*api.Confirmation, error) {
		return client.ConfirmPlan(ctx, api.ConfirmPlanParams{Plan: c.Plan})
	}
	confirmation, err := untilKnown(ctx, p, c.Wait, confirm)
	if err != nil {
		return g.changeError(err)
	}
	if err := p.print(confirmation, func(page *page) { printConfirmation(page, confirmation) }); err != nil {
		return err
	}
	return confirmationError("confirmation", confirmation)
}

// untilKnown repeats a confirmation until its result is known or the wait is over.
func untilKnown(
	ctx context.Context, p *Printer, wait time.Duration,
	confirm func(context.Context) (*api.Confirmation, error),
) (*api.Confirmation, error) {
	ticker := time.NewTicker(confirmRetryInterval)
	defer ticker.Stop()
	for left := wait; ; left -= confirmRetryInterval {
		confirmation, err := confirm(ctx)
		known := err == nil && confirmation.Result != api.ConfirmResultUnknown
		if known || !mayRepeat(err) || left <= 0 {
			return confirmation, err
		}
		p.note("the result is not yet known; asking again for %v", left)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return confirmation, err
		}
	}
}

// mayRepeat reports whether asking again can give another answer.
func mayRepeat(err error) bool {
	var answer *api.ErrorStatusCode
	if !errors.As(err, &answer) {
		return true
	}
	_, ok := exitOfCode[answer.Response.Code]
	return ok
}

// confirmationError returns the error that gives the command its exit code.
func confirmationError(what string, c *api.Confirmation) error {
	switch c.Result {
	case api.ConfirmResultAccepted:
		return nil
	case api.ConfirmResultUnknown:
		return &exitError{code: exitNotYetKnown, err: errors.Errorf("the result of the %s is not yet known", what)}
	case api.ConfirmResultRefused:
	}
	return &exitError{code: exitRefused, err: errors.Errorf("the %s was refused", what)}
}

// PlanWithdrawCmd withdraws a plan.
type PlanWithdrawCmd struct {
	Plan string `arg:"" help:"The plan's id."`
}

// Run withdraws the plan.
func (c *PlanWithdrawCmd) Run(ctx context.Context, g *Globals, p *Printer) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	withdrawal, err := client.WithdrawPlan(ctx, api.WithdrawPlanParams{Plan: c.Plan})
	if err != nil {
		return g.changeError(err)
	}
	if err := p.print(withdrawal, func(page *page) { printWithdrawal(page, withdrawal) }); err != nil {
		return err
	}
	return confirmationError("withdrawal", withdrawal)
}

func printPlans(p *page, list *api.PlanList) {
	rows := make([][]string, 0, len(list.Plans))
	for _, plan := range list.Plans {
		rows = append(rows, []string{plan.ID, string(plan.State), plan.Author, describeIntent(plan.Intent)})
	}
	p.table("", []string{"PLAN", "STATE", "AUTHOR", "INTENT"}, rows)
}

func printPlan(p *page, plan *api.Plan) {
	p.line("Plan %s (%s) by %s", plan.ID, plan.State, plan.Author)
	p.line("Intent: %s", describeIntent(plan.Intent))
	if plan.Moved != "" {
		p.line("The plan is stale: %s has changed since it was made.", plan.Moved)
	}
	p.line("")
	p.list("What will change:", plan.Changes)
	p.line("")
	p.list("What will stop:", plan.Stops)
	p.line("")
	p.line("Who still uses it:")
	printUses(p, plan.Uses)
	p.line("")
	p.list("What is unsafe about it:", describeWarnings(plan.Warnings))
	p.line("")
	p.list("It rests on:", describeVersions(plan.Versions))
	p.line("")
	printNextStep(p, plan)
}

func printNextStep(p *page, plan *api.Plan) {
	switch plan.State {
	case api.PlanStateProposed:
		p.line("Nothing has changed yet. To put the plan into force, or to drop it:")
		p.line("  baobabctl plan confirm %s", plan.ID)
		p.line("  baobabctl plan withdraw %s", plan.ID)
	case api.PlanStateConfirmed:
		p.line("The plan was confirmed. To see where it is in force:")
		p.line("  baobabctl rollout")
	case api.PlanStateWithdrawn, api.PlanStateStale:
		p.line("The plan can no longer be confirmed. To see the others:")
		p.line("  baobabctl plan list")
	}
}

func printUses(p *page, uses []api.Use) {
	if len(uses) == 0 {
		p.line("  nobody was seen")
		return
	}
	header := []string{"HOST", "SERVICE", "FEATURE", "JOB", "CALLER", "CALLS", "REFUSED", "LAST SEEN"}
	rows := make([][]string, 0, len(uses))
	for _, use := range uses {
		rows = append(rows, []string{
			use.Host, orDash(use.Service), orDash(use.Feature), orDash(use.Job), orDash(use.Caller),
			formatCount(use.Calls), formatCount(use.Refused), formatTime(use.LastSeen),
		})
	}
	p.table("  ", header, rows)
}

func printConfirmation(p *page, c *api.Confirmation) {
	switch c.Result {
	case api.ConfirmResultAccepted:
		p.line("Plan %s is accepted.", c.Plan)
		if written := describeVersions(c.Written); len(written) > 0 {
			p.line("Written: %s", strings.Join(written, ", "))
		}
		p.line("To see where it is in force:")
		p.line("  baobabctl rollout")
	case api.ConfirmResultRefused:
		p.line("Plan %s is refused: %s", c.Plan, c.Message)
		p.line("%s", refusalEffect(c))
		if c.Moved != "" {
			p.line("Changed since the plan was made: %s", c.Moved)
		}
		if c.Next != "" {
			p.line("A new plan for the same intent is ready to look at:")
			p.line("  baobabctl plan show %s", c.Next)
		}
	case api.ConfirmResultUnknown:
		p.line("It is not yet known whether plan %s is in force: %s", c.Plan, c.Message)
		p.line("Asking again is safe and finds out:")
		p.line("  baobabctl plan confirm %s", c.Plan)
	}
}

// refusalEffect says what a refused plan changed. A plan whose objects changed
// while it was carried out can have changed some of them.
func refusalEffect(c *api.Confirmation) string {
	if len(c.Written) == 0 {
		return "Nothing was changed."
	}
	return "Changed before the refusal: " + strings.Join(describeVersions(c.Written), ", ")
}

func printWithdrawal(p *page, c *api.Confirmation) {
	switch c.Result {
	case api.ConfirmResultAccepted:
		p.line("Plan %s is withdrawn.", c.Plan)
	case api.ConfirmResultRefused:
		p.line("Plan %s is not withdrawn: %s", c.Plan, c.Message)
	case api.ConfirmResultUnknown:
		p.line("It is not yet known whether plan %s is withdrawn: %s", c.Plan, c.Message)
		p.line("Asking again is safe and finds out:")
		p.line("  baobabctl plan withdraw %s", c.Plan)
	}
}
