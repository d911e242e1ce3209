// Package platform is the client of the platform's object API.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	api "baobabfield.example/api/platform"
	"baobabfield.example/core/config"
	"baobabfield.example/core/membership"
	"baobabfield.example/core/types"
	"baobabfield.example/node/conf"
	"baobabfield.example/wire/object"
)

const (
	// callTimeout bounds a call other than a watch.
	callTimeout = 3 * time.Second
	// watchTimeout is how long a watch waits at the platform.
	watchTimeout = 25 * time.Second
	// watchGrace is how much longer the client waits for a watch's answer.
	watchGrace = 5 * time.Second
	// primaryKind is the kind of the objects that record the primaries.
	primaryKind = "primary"
)

// distributed are the kinds of objects that hosts hold.
var distributed = []string{config.KindService.String(), config.KindRank.String(), config.KindRetirement.String()}

var (
	callsMade   = metrics.NewCounter("baobab_platform_calls_total")
	callsFailed = metrics.NewCounter("baobab_platform_failures_total")
)

// Client makes calls of the platform's object API. It has no state of its own.
type Client struct {
	api *api.Client
	// report hears whether the platform answered a call.
	report func(answered bool)
}

// bearer provides the token of each call.
type bearer struct{ token string }

// BearerAuth returns the token.
func (b bearer) BearerAuth(context.Context, api.OperationName) (api.BearerAuth, error) {
	return api.BearerAuth{Token: b.token}, nil
}

// New returns a client of the API at the address.
func New(address, token string, transport http.RoundTripper) (*Client, error) {
	if transport == nil {
		transport = http.DefaultTransport
	}
	c, err := api.NewClient(address, bearer{token: token}, api.WithClient(&http.Client{Transport: transport}))
	if err != nil {
		return nil, errors.Wrapf(err, "platform address %q", address)
	}
	return &Client{api: c, report: func(bool) {}}, nil
}

// WithReport returns a client that tells report, which must not wait, whether
// the platform answered each call.
func (c *Client) WithReport(report func(answered bool)) *Client {
	return &Client{api: c.api, report: report}
}

// done counts a call and translates the platform's refusals.
func (c *Client) done(err error) error {
	callsMade.Inc()
	var refused *api.ErrorStatusCode
	answered := err == nil || errors.As(err, &refused)
	c.report(answered)
	if !answered {
		callsFailed.Inc()
		return err
	}
	if refused == nil {
		return err
	}
	switch refused.StatusCode {
	case http.StatusNotFound:
		return conf.ErrNotFound
	case http.StatusConflict:
		return conf.ErrConflict
	}
	return errors.Errorf("platform refused: %s (status %d)", refused.Response.Message, refused.StatusCode)
}

// List returns all objects but plans, and the version that the list shows.
func (c *Client) List(ctx context.Context) ([]config.Object, config.Version, error) {
	return c.list(ctx, distributed)
}

// Plans returns all plans.
func (c *Client) Plans(ctx context.Context) ([]config.Object, error) {
	objects, _, err := c.list(ctx, []string{config.KindPlan.String()})
	return objects, err
}

func (c *Client) list(ctx context.Context, kinds []string) ([]config.Object, config.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.api.ListObjects(ctx, api.ListObjectsParams{Kind: kinds})
	if err := c.done(err); err != nil {
		return nil, 0, err
	}
	objects, err := decodeAll(answer.Objects)
	return objects, config.Version(answer.Version), err
}

// Get returns an object, also a tombstone, or conf.ErrNotFound.
func (c *Client) Get(ctx context.Context, key config.Key) (config.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.api.GetObject(ctx, api.GetObjectParams{Kind: key.Kind.String(), Name: key.Name})
	if err := c.done(err); err != nil {
		return config.Object{}, err
	}
	return decode(answer)
}

// Put performs a conditional update. An error other than conf.ErrConflict
// means that the write may have taken effect.
func (c *Client) Put(ctx context.Context, w config.Write) (config.Version, error) {
	value, err := object.Encode(w.Body, w.Operations)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.api.PutObject(ctx,
		&api.ObjectWrite{Value: value, Deleted: api.NewOptBool(w.Body == nil)},
		api.PutObjectParams{Kind: w.Key.Kind.String(), Name: w.Key.Name, IfVersion: uint64(w.IfVersion)})
	if err := c.done(err); err != nil {
		return 0, err
	}
	return config.Version(answer.Version), nil
}

// Watch sends the changes after a version until the context ends or a call fails.
func (c *Client) Watch(ctx context.Context, after config.Version, out chan<- []config.Object) error {
	for {
		objects, version, err := c.watchOnce(ctx, after)
		if err != nil {
			return err
		}
		after = max(after, version)
		if len(objects) == 0 {
			continue
		}
		select {
		case out <- objects:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Client) watchOnce(ctx context.Context, after config.Version) ([]config.Object, config.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchGrace)
	defer cancel()
	answer, err := c.api.WatchObjects(ctx, api.WatchObjectsParams{
		Kind: distributed, After: uint64(after), TimeoutMs: api.NewOptInt(int(watchTimeout.Milliseconds())),
	})
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	if err := c.done(err); err != nil {
		return nil, 0, err
	}
	objects, err := decodeAll(answer.Objects)
	return objects, config.Version(answer.Version), err
}

// HostList is the platform's list of hosts and leaving endpoints, which lags.
type HostList struct {
	Hosts            []membership.PlatformHost
	LeavingEndpoints []types.Endpoint
}

// Hosts returns the platform's list.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	list, err := c.hostList(ctx)
	if err != nil {
		return HostList{}, err
	}
	var out HostList
	for _, h := range list.Hosts {
		out.Hosts = append(out.Hosts, membership.PlatformHost{
			Host: types.Host(h.ID), DataCentre: types.DataCentre(h.DataCentre),
			MeshAddress: h.MeshAddress, GossipAddress: h.GossipAddress, Leaving: h.Leaving,
		})
	}
	for _, e := range list.Endpoints {
		if e.Leaving {
			out.LeavingEndpoints = append(out.LeavingEndpoints, types.Endpoint(e.ID))
		}
	}
	return out, nil
}

func (c *Client) hostList(ctx context.Context) (*api.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.api.ListHosts(ctx)
	return list, c.done(err)
}

// primary is the value of an object that records a database's primary.
type primary struct {
	Term     types.Term     `json:"term"`
	Endpoint types.Endpoint `json:"endpoint"`
}

// RecordPrimary records the primary of a term, unless a later one is recorded.
func (c *Client) RecordPrimary(ctx context.Context, db types.Database, term types.Term, e types.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version := uint64(0)
	stored, err := c.api.GetObject(ctx, api.GetObjectParams{Kind: primaryKind, Name: string(db)})
	err = c.done(err)
	if err != nil && !errors.Is(err, conf.ErrNotFound) {
		return err
	}
	if err == nil {
		version = stored.Version
		var known primary
		if json.Unmarshal(stored.Value, &known) == nil && known.Term >= term {
			return nil
		}
	}
	value, err := json.Marshal(primary{Term: term, Endpoint: e})
	if err != nil {
		return errors.Wrap(err, "encode primary")
	}
	_, err = c.api.PutObject(ctx, &api.ObjectWrite{Value: value},
		api.PutObjectParams{Kind: primaryKind, Name: string(db), IfVersion: version})
	return c.done(err)
}

// decodeAll decodes objects of a list.
func decodeAll(list []api.Object) ([]config.Object, error) {
	objects := make([]config.Object, 0, len(list))
	for i := range list {
		o, err := decode(&list[i])
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

func decode(o *api.Object) (config.Object, error) {
	kind, err := object.ParseKind(o.Kind)
	if err != nil {
		return config.Object{}, err
	}
	return object.Decode(config.Key{Kind: kind, Name: o.Name}, config.Version(o.Version), o.Deleted, o.Value)
}
