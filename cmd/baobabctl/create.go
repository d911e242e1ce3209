package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	api "baobabfield.example/api/admin"
)

// maxIntentBytes is the maximum size of an intent file. The admin API accepts no
// larger request.
const maxIntentBytes = 1 << 20

// PlanCreateCmd groups the ways to make a plan.
type PlanCreateCmd struct {
	File        CreateFileCmd        `cmd:"" default:"withargs" help:"Make a plan from a JSON file."`
	Service     CreateServiceCmd     `cmd:"" help:"Create or replace a service."`
	Rank        CreateRankCmd        `cmd:"" help:"Create or replace a rank."`
	Retire      CreateRetireCmd      `cmd:"" help:"Retire a feature, a job or an endpoint."`
	Cancel      CreateCancelCmd      `cmd:"" help:"Cancel a retirement, so that its target is served again."`
	Remove      CreateRemoveCmd      `cmd:"" help:"Remove a service or a rank."`
	CompleteSet CreateCompleteSetCmd `cmd:"" name:"complete-set" help:"Complete the change of a database's endpoint set."`
}

// Help returns examples.
func (c *PlanCreateCmd) Help() string {
	return `Examples:
  baobabctl plan create -f intent.json
  baobabctl plan create rank urgent --order 0 --target 50ms --worth 100 --floor 50
  baobabctl plan create retire feature old-reports --phase announced
  baobabctl plan create retire endpoint logs-1a --service ramp-logs`
}

// createPlan sends an intent to the admin API and prints the plan made from it.
func createPlan(ctx context.Context, g *GlobalFlags, p *Printer, intent *api.Intent) error {
	if err := intent.Validate(); err != nil {
		return usageError(errors.WithMessage(err, "intent"))
	}
	client, err := g.newClient()
	if err != nil {
		return err
	}
	plan, err := client.CreatePlan(ctx, intent)
	if err != nil {
		return g.changeError(err)
	}
	return p.print(plan, func(page *textPage) { printPlan(page, plan) })
}

// CreateFileCmd makes a plan from a file.
type CreateFileCmd struct {
	File string `help:"JSON file with the intent; - for standard input." short:"f" required:"" placeholder:"FILE"`
}

// Help returns an example.
func (c *CreateFileCmd) Help() string {
	return `Example file:
  {"kind": "retire",
   "retirement": {"name": "old-reports", "kind": "feature", "target": "reports",
                  "phase": "announced"}}

The kinds are put_service (with "service"), put_rank ("rank"), retire
("retirement"), remove_service, remove_rank and cancel_retirement ("name"), and
complete_set ("name" and "database").
"baobabctl services --output json" shows a service in the same form.`
}

// Run makes the plan.
func (c *CreateFileCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	intent, err := readIntent(c.File)
	if err != nil {
		return usageError(err)
	}
	return createPlan(ctx, g, p, intent)
}

// readIntent reads an intent from a JSON file.
func readIntent(name string) (*api.Intent, error) {
	data, err := readIntentData(name)
	if err != nil {
		return nil, errors.Wrapf(err, "read intent file %q", name)
	}
	if len(data) > maxIntentBytes {
		return nil, errors.Errorf("intent file %q has more than %d bytes", name, maxIntentBytes)
	}
	var intent api.Intent
	if err := intent.UnmarshalJSON(data); err != nil {
		return nil, errors.Wrapf(err, "intent file %q", name)
	}
	return &intent, nil
}

func readIntentData(name string) ([]byte, error) {
	if name != "-" {
		return os.ReadFile(name)
	}
	return io.ReadAll(io.LimitReader(os.Stdin, maxIntentBytes+1))
}

// CreateServiceCmd creates or replaces a service.
type CreateServiceCmd struct {
	Name        string   `arg:"" help:"The service's name."`
	Database    []string `help:"A database and its endpoints, as ID=ENDPOINT@DATACENTRE@IP:PORT+ENDPOINT@... ; repeat for each database." required:"" placeholder:"DATABASE"`
	Slots       int      `help:"Statements that one endpoint runs at a time." required:""`
	Connections int      `help:"Connections that one endpoint accepts." required:""`
	Durability  string   `name:"promise" help:"Durability of an acknowledged write: replicated or primary." enum:"replicated,primary" default:"replicated"`
}

// Help returns an example.
func (c *CreateServiceCmd) Help() string {
	return `Example:
  baobabctl plan create service ramp-logs --slots 3 --connections 50 \
    --database logs-1=logs-1a@sao-jose@10.0.1.1:5432+logs-1b@pelotas@10.0.2.1:5432`
}

// Run makes the plan.
func (c *CreateServiceCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	spec := api.ServiceSpec{
		Name:        c.Name,
		Promise:     api.NewOptPromise(api.Promise(c.Durability)),
		Slots:       c.Slots,
		Connections: c.Connections,
	}
	for _, text := range c.Database {
		database, err := parseDatabase(text)
		if err != nil {
			return usageError(err)
		}
		spec.Databases = append(spec.Databases, database)
	}
	return createPlan(ctx, g, p, &api.Intent{
		Kind:    api.IntentKindPutService,
		Service: api.NewOptServiceSpec(spec),
	})
}

// parseDatabase parses the form ID=ENDPOINT@DATACENTRE@IP:PORT+...
func parseDatabase(text string) (api.DatabaseSpec, error) {
	id, endpoints, ok := strings.Cut(text, "=")
	if !ok || id == "" {
		return api.DatabaseSpec{}, errors.Errorf("--database: %q is not of the form ID=ENDPOINT@DATACENTRE@IP:PORT", text)
	}
	database := api.DatabaseSpec{ID: id}
	for endpoint := range strings.SplitSeq(endpoints, "+") {
		parts := strings.Split(endpoint, "@")
		if len(parts) != 3 {
			return database, errors.Errorf("--database: endpoint %q of database %q is not of the form ENDPOINT@DATACENTRE@IP:PORT",
				endpoint, id)
		}
		database.Endpoints = append(database.Endpoints, api.EndpointSpec{
			ID: parts[0], DataCentre: parts[1], Address: parts[2],
		})
	}
	return database, nil
}

// CreateRankCmd creates or replaces a rank.
type CreateRankCmd struct {
	Name   string        `arg:"" help:"The rank's name."`
	Order  int           `help:"Urgency; 0 is served first." required:""`
	Target time.Duration `help:"Latency within which a request of the rank is worth serving." required:""`
	Worth  int           `help:"Weight relative to the other ranks." required:""`
	Floor  int           `help:"Percentage of an endpoint's slots that is reserved for the rank when more urgent ranks are overloaded." default:"0"`
}

// Help returns an example.
func (c *CreateRankCmd) Help() string {
	return `Example:
  baobabctl plan create rank urgent --order 0 --target 50ms --worth 100 --floor 50`
}

// Run makes the plan.
func (c *CreateRankCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	spec := api.RankSpec{Name: c.Name, Order: c.Order, Target: c.Target, Worth: c.Worth, Floor: c.Floor}
	return createPlan(ctx, g, p, &api.Intent{Kind: api.IntentKindPutRank, Rank: api.NewOptRankSpec(spec)})
}

// CreateRetireCmd groups the retirements by the kind of their target.
type CreateRetireCmd struct {
	Feature  RetireFeatureCmd  `cmd:"" help:"Retire a feature."`
	Job      RetireJobCmd      `cmd:"" help:"Retire a job."`
	Endpoint RetireEndpointCmd `cmd:"" help:"Retire an endpoint."`
}

// RetireFlags are the arguments and flags that all retirements share.
type RetireFlags struct {
	Target string `arg:"" help:"What is retired."`
	Phase  string `help:"Phase: announced counts use and refuses nothing; draining starts no new work and lets running work finish; retired is the last phase." enum:"announced,draining,retired" default:"draining"`
	Name   string `help:"The retirement's name; callers see it in refusals. Default: the kind and the target."`
}

// Help returns examples.
func (f *RetireFlags) Help() string {
	return `Examples:
  baobabctl plan create retire feature old-reports --phase announced
  baobabctl plan create retire job nightly-export
  baobabctl plan create retire endpoint logs-1a --service ramp-logs

To move a retirement to a later phase, make a plan with the same name and the
new phase. "baobabctl plan create cancel NAME" cancels a retirement.`
}

func (f *RetireFlags) retireIntent(kind api.TargetKind, service string) *api.Intent {
	name := f.Name
	if name == "" {
		name = fmt.Sprintf("%s-%s", kind, f.Target)
	}
	return &api.Intent{
		Kind: api.IntentKindRetire,
		Retirement: api.NewOptRetirementSpec(api.RetirementSpec{
			Name:    name,
			Kind:    kind,
			Target:  f.Target,
			Service: api.NewOptString(service),
			Phase:   api.RetirementPhase(f.Phase),
		}),
	}
}

// RetireFeatureCmd retires a feature.
type RetireFeatureCmd struct {
	RetireFlags
	Service string `help:"Retire it at this service only."`
}

// Run makes the plan.
func (c *RetireFeatureCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	return createPlan(ctx, g, p, c.retireIntent(api.TargetKindFeature, c.Service))
}

// RetireJobCmd retires a job.
type RetireJobCmd struct {
	RetireFlags
	Service string `help:"Retire it at this service only."`
}

// Run makes the plan.
func (c *RetireJobCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	return createPlan(ctx, g, p, c.retireIntent(api.TargetKindJob, c.Service))
}

// RetireEndpointCmd retires an endpoint.
type RetireEndpointCmd struct {
	RetireFlags
	Service string `help:"The endpoint's service." required:""`
}

// Run makes the plan.
func (c *RetireEndpointCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	return createPlan(ctx, g, p, c.retireIntent(api.TargetKindEndpoint, c.Service))
}

// CreateCancelCmd cancels a retirement.
type CreateCancelCmd struct {
	Name string `arg:"" help:"The retirement's name."`
}

// Run makes the plan.
func (c *CreateCancelCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	return createPlan(ctx, g, p, &api.Intent{
		Kind: api.IntentKindCancelRetirement,
		Name: api.NewOptString(c.Name),
	})
}

// CreateCompleteSetCmd completes the change of an endpoint set.
type CreateCompleteSetCmd struct {
	Service  string `arg:"" help:"The service's name."`
	Database string `arg:"" help:"The database's id."`
}

// Run makes the plan.
func (c *CreateCompleteSetCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	return createPlan(ctx, g, p, &api.Intent{
		Kind:     api.IntentKindCompleteSet,
		Name:     api.NewOptString(c.Service),
		Database: api.NewOptString(c.Database),
	})
}

// CreateRemoveCmd groups the removals.
type CreateRemoveCmd struct {
	Service RemoveServiceCmd `cmd:"" help:"Remove a service."`
	Rank    RemoveRankCmd    `cmd:"" help:"Remove a rank."`
}

// RemoveServiceCmd removes a service.
type RemoveServiceCmd struct {
	Name string `arg:"" help:"The service's name."`
}

// Run makes the plan.
func (c *RemoveServiceCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	return createPlan(ctx, g, p, &api.Intent{Kind: api.IntentKindRemoveService, Name: api.NewOptString(c.Name)})
}

// RemoveRankCmd removes a rank.
type RemoveRankCmd struct {
	Name string `arg:"" help:"The rank's name."`
}

// Run makes the plan.
func (c *RemoveRankCmd) Run(ctx context.Context, g *GlobalFlags, p *Printer) error {
	return createPlan(ctx, g, p, &api.Intent{Kind: api.IntentKindRemoveRank, Name: api.NewOptString(c.Name)})
}
