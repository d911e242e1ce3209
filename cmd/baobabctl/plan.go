package main

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

// confirmRetryInterval is the time between two requests to confirm a plan.
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
func (c *PlanShowCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	plan, err := client.GetPlan(ctx, api.GetPlanParams{Plan: c.Plan})
	if err != nil {
		return g.queryError(err)
	}
	return p.print(plan, func(page *textPage) { printPlan(page, plan) })
}

// PlanListCmd lists plans.
type PlanListCmd struct {
	State string `help:"Only plans in this state: proposed, confirmed, withdrawn or stale." enum:",proposed,confirmed,withdrawn,stale" default:"" placeholder:"STATE"`
}

// Run lists the plans.
func (c *PlanListCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	var params api.ListPlansParams
	if c.State != "" {
		params.State = api.NewOptPlanState(api.PlanState(c.State))
	}
	list, err := client.ListPlans(ctx, params)
	if err != nil {
		return g.queryError(err)
	}
	return p.print(list, func(page *textPage) { printPlans(page, list) })
}

// PlanConfirmCmd confirms a plan.
type PlanConfirmCmd struct {
	Plan string        `arg:"" help:"The plan's id."`
	Wait time.Duration `help:"While the result is not known, retry for this long." default:"0s"`
}

// Help returns examples.
func (c *PlanConfirmCmd) Help() string {
	return `Examples:
  baobabctl plan confirm p-17
  baobabctl plan confirm p-17 --wait 1m && baobabctl rollout --wait 1m

A plan rests on the versions of the objects that it was made from. If one of
them has changed, the confirmation is refused, names the object, and makes a new
plan to look at. If the platform does not answer, the result is not yet known
(exit code 3): repeat the command to learn it. A plan is applied at most once.`
}

// Run confirms the plan.
func (c *PlanConfirmCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	confirm := func(ctx context.Context) (*api.Confirmation, error) {
		return client.ConfirmPlan(ctx, api.ConfirmPlanParams{Plan: c.Plan})
	}
	confirmation, err := confirmUntilKnown(ctx, p, c.Wait, confirm)
	if err != nil {
		return g.changeError(err)
	}
	if err := p.print(confirmation, func(page *textPage) { printConfirmation(page, confirmation) }); err != nil {
		return err
	}
	return confirmationError("confirmation", confirmation)
}

// confirmUntilKnown repeats a confirmation until its result is known, an error
// excludes a retry, or wait has passed.
func confirmUntilKnown(
	ctx context.Context, p *Printer, wait time.Duration,
	confirm func(context.Context) (*api.Confirmation, error),
) (*api.Confirmation, error) {
	ticker := time.NewTicker(confirmRetryInterval)
	defer ticker.Stop()
	for remaining := wait; ; remaining -= confirmRetryInterval {
		confirmation, err := confirm(ctx)
		known := err == nil && confirmation.Result != api.ConfirmResultUnknown
		if known || !isRetryable(err) || remaining <= 0 {
			return confirmation, err
		}
		p.printProgress("the result is not yet known; asking again for %v", remaining)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return confirmation, err
		}
	}
}

// isRetryable reports whether a retry after err can give another result. That is
// so if no response came, or if its error code says that a retry can succeed.
func isRetryable(err error) bool {
	var refusal *api.ErrorStatusCode
	if !errors.As(err, &refusal) {
		return true
	}
	_, ok := exitCodeByErrorCode[refusal.Response.Code]
	return ok
}

// confirmationError returns the error of a confirmation that was not accepted,
// with the exit code of its result.
func confirmationError(operation string, c *api.Confirmation) error {
	switch c.Result {
	case api.ConfirmResultAccepted:
		return nil
	case api.ConfirmResultUnknown:
		return &exitError{code: exitNotYetKnown, err: errors.Errorf("the result of the %s is not yet known", operation)}
	case api.ConfirmResultRefused:
	}
	return &exitError{code: exitRefused, err: errors.Errorf("the %s was refused", operation)}
}

// PlanWithdrawCmd withdraws a plan.
type PlanWithdrawCmd struct {
	Plan string `arg:"" help:"The plan's id."`
}

// Run withdraws the plan.
func (c *PlanWithdrawCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	client, err := g.newClient()
	if err != nil {
		return err
	}
	withdrawal, err := client.WithdrawPlan(ctx, api.WithdrawPlanParams{Plan: c.Plan})
	if err != nil {
		return g.changeError(err)
	}
	if err := p.print(withdrawal, func(page *textPage) { printWithdrawal(page, withdrawal) }); err != nil {
		return err
	}
	return confirmationError("withdrawal", withdrawal)
}

func printPlans(p *textPage, list *api.PlanList) {
	rows := make([][]string, 0, len(list.Plans))
	for _, plan := range list.Plans {
		rows = append(rows, []string{plan.ID, string(plan.State), plan.Author, describeIntent(plan.Intent)})
	}
	p.addTable("", []string{"PLAN", "STATE", "AUTHOR", "INTENT"}, rows)
}

func printPlan(p *textPage, plan *api.Plan) {
	p.addLine("Plan %s (%s) by %s", plan.ID, plan.State, plan.Author)
	p.addLine("Intent: %s", describeIntent(plan.Intent))
	if plan.Moved != "" {
		p.addLine("The plan is stale: %s has changed since it was made.", plan.Moved)
	}
	p.addLine("")
	p.addList("What will change:", plan.Changes)
	p.addLine("")
	p.addList("What will stop:", plan.Stops)
	p.addLine("")
	p.addLine("Who still uses it:")
	printUses(p, plan.Uses)
	p.addLine("")
	p.addList("What is unsafe about it:", describeWarnings(plan.Warnings))
	p.addLine("")
	p.addList("It rests on:", describeVersions(plan.Versions))
	p.addLine("")
	printNextStep(p, plan)
}

func printNextStep(p *textPage, plan *api.Plan) {
	switch plan.State {
	case api.PlanStateProposed:
		p.addLine("Nothing has changed yet. To put the plan into force, or to drop it:")
		p.addLine("  baobabctl plan confirm %s", plan.ID)
		p.addLine("  baobabctl plan withdraw %s", plan.ID)
	case api.PlanStateConfirmed:
		p.addLine("The plan was confirmed. To see where it is in force:")
		p.addLine("  baobabctl rollout")
	case api.PlanStateWithdrawn, api.PlanStateStale:
		p.addLine("The plan can no longer be confirmed. To see the others:")
		p.addLine("  baobabctl plan list")
	}
}

func printUses(p *textPage, uses []api.Use) {
	if len(uses) == 0 {
		p.addLine("  nobody was seen")
		return
	}
	header := []string{"HOST", "SERVICE", "FEATURE", "JOB", "CALLER", "CALLS", "REFUSED", "LAST SEEN"}
	rows := make([][]string, 0, len(uses))
	for _, use := range uses {
		rows = append(rows, []string{
			use.Host, dashIfEmpty(use.Service), dashIfEmpty(use.Feature), dashIfEmpty(use.Job), dashIfEmpty(use.Caller),
			formatCount(use.Calls), formatCount(use.Refused), formatTime(use.LastSeen),
		})
	}
	p.addTable("  ", header, rows)
}

func printConfirmation(p *textPage, c *api.Confirmation) {
	switch c.Result {
	case api.ConfirmResultAccepted:
		p.addLine("Plan %s is accepted.", c.Plan)
		if written := describeVersions(c.Written); len(written) > 0 {
			p.addLine("Written: %s", strings.Join(written, ", "))
		}
		p.addLine("To see where it is in force:")
		p.addLine("  baobabctl rollout")
	case api.ConfirmResultRefused:
		p.addLine("Plan %s is refused: %s", c.Plan, c.Message)
		p.addLine("%s", describeRefusalEffect(c))
		if c.Moved != "" {
			p.addLine("Changed since the plan was made: %s", c.Moved)
		}
		if c.Next != "" {
			p.addLine("A new plan for the same intent is ready to look at:")
			p.addLine("  baobabctl plan show %s", c.Next)
		}
	case api.ConfirmResultUnknown:
		p.addLine("It is not yet known whether plan %s is in force: %s", c.Plan, c.Message)
		p.addLine("Asking again is safe and finds out:")
		p.addLine("  baobabctl plan confirm %s", c.Plan)
	}
}

// describeRefusalEffect describes what a refused plan changed. The plan can have
// changed some of its objects if others were modified while it was applied.
func describeRefusalEffect(c *api.Confirmation) string {
	if len(c.Written) == 0 {
		return "Nothing was changed."
	}
	return "Changed before the refusal: " + strings.Join(describeVersions(c.Written), ", ")
}

func printWithdrawal(p *textPage, c *api.Confirmation) {
	switch c.Result {
	case api.ConfirmResultAccepted:
		p.addLine("Plan %s is withdrawn.", c.Plan)
	case api.ConfirmResultRefused:
		p.addLine("Plan %s is not withdrawn: %s", c.Plan, c.Message)
	case api.ConfirmResultUnknown:
		p.addLine("It is not yet known whether plan %s is withdrawn: %s", c.Plan, c.Message)
		p.addLine("Asking again is safe and finds out:")
		p.addLine("  baobabctl plan withdraw %s", c.Plan)
	}
}
