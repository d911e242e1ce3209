package platform

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	api "baobabfield.example/api/platform"
)

const (
	// testTimeout only guards against hanging.
	testTimeout = time.Minute
	testToken   = "secret"
)

type bearer string

func (b bearer) BearerAuth(context.Context, api.OperationName) (api.BearerAuth, error) {
	return api.BearerAuth{Token: string(b)}, nil
}

func start(t *testing.T) (context.Context, *Server, *api.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s, err := Start(ctx, "127.0.0.1:0", testToken)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return ctx, s, client(t, s, testToken)
}

func client(t *testing.T, s *Server, token string) *api.Client {
	t.Helper()
	c, err := api.NewClient(s.URL(), bearer(token), api.WithClient(&http.Client{Transport: &http.Transport{}}))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func put(ctx context.Context, c *api.Client, name string, ifVersion uint64, value string) (*api.Object, error) {
	return c.PutObject(ctx, &api.ObjectWrite{Value: []byte(value)},
		api.PutObjectParams{Kind: "rank", Name: name, IfVersion: ifVersion})
}

func status(err error) int {
	var e *api.ErrorStatusCode
	if errors.As(err, &e) {
		return e.StatusCode
	}
	return 0
}

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	ctx, s, c := start(t)
	first, err := put(ctx, c, "urgent", 0, "a")
	is.NoErr(err)
	_, err = put(ctx, c, "urgent", 0, "b")
	is.Equal(status(err), http.StatusConflict)
	second, err := put(ctx, c, "urgent", first.Version, "b")
	is.NoErr(err)
	is.True(second.Version > first.Version)
	deleted, err := c.DeleteObject(ctx, api.DeleteObjectParams{Kind: "rank", Name: "urgent", IfVersion: second.Version})
	is.NoErr(err)
	got, err := c.GetObject(ctx, api.GetObjectParams{Kind: "rank", Name: "urgent"})
	is.NoErr(err)
	is.True(got.Deleted)
	is.Equal(got.Version, deleted.Version)
	_, err = c.GetObject(ctx, api.GetObjectParams{Kind: "rank", Name: "none"})
	is.Equal(status(err), http.StatusNotFound)
	is.Equal(s.Counts(), Counts{Put: 3, Delete: 1, Get: 2})
}

func TestValuesHaveALimit(t *testing.T) {
	is := is.New(t)
	ctx, _, c := start(t)
	_, err := put(ctx, c, "large", 0, string(make([]byte, MaxValueSize)))
	is.NoErr(err)
	_, err = put(ctx, c, "larger", 0, string(make([]byte, MaxValueSize+1)))
	is.Equal(status(err), http.StatusRequestEntityTooLarge)
}

func TestWrongTokenIsRefused(t *testing.T) {
	is := is.New(t)
	ctx, s, _ := start(t)
	_, err := client(t, s, "guess").ListHosts(ctx)
	is.Equal(status(err), http.StatusUnauthorized)
	is.Equal(s.Counts(), Counts{})
}

func TestWatchAnswersOnceAnObjectChanges(t *testing.T) {
	is := is.New(t)
	ctx, s, c := start(t)
	first, err := put(ctx, c, "urgent", 0, "a")
	is.NoErr(err)
	params := api.WatchObjectsParams{Kind: []string{"rank", "service"}, After: first.Version}
	lists := make(chan *api.ObjectList, 1)
	go func() {
		list, _ := c.WatchObjects(ctx, params)
		lists <- list
	}()
	waitForWatch(t, ctx, s)
	_, err = s.Put("plan", "p", 0, nil)
	is.NoErr(err)
	second, err := s.Put("service", "ramp-logs", 0, []byte("x"))
	is.NoErr(err)
	list := <-lists
	is.Equal(len(list.Objects), 1)
	is.Equal(list.Objects[0].Name, "ramp-logs")
	is.Equal(list.Version, second.Version)
	params.After, params.TimeoutMs = second.Version, api.NewOptInt(1)
	list, err = c.WatchObjects(ctx, params)
	is.NoErr(err)
	is.Equal(len(list.Objects), 0)
	is.Equal(s.Counts().Watch, 2)
}

// waitForWatch waits until a watch is in progress.
func waitForWatch(t *testing.T, ctx context.Context, s *Server) {
	t.Helper()
	for {
		n, err := ask(ctx, s.store, func() int { return len(s.store.watches) })
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestDownEndsWatchesAndCalls(t *testing.T) {
	is := is.New(t)
	ctx, s, c := start(t)
	ended := make(chan error, 1)
	go func() {
		_, err := c.WatchObjects(ctx, api.WatchObjectsParams{Kind: []string{"rank"}})
		ended <- err
	}()
	waitForWatch(t, ctx, s)
	s.SetFaults(Faults{Down: true})
	is.True(<-ended != nil)
	_, err := put(ctx, c, "urgent", 0, "a")
	is.True(err != nil)
	s.SetFaults(Faults{})
	_, err = put(ctx, c, "urgent", 0, "a")
	is.NoErr(err)
}

func TestLostAnswersTakeEffect(t *testing.T) {
	is := is.New(t)
	ctx, s, c := start(t)
	s.SetFaults(Faults{LoseAnswers: true})
	_, err := put(ctx, c, "urgent", 0, "a")
	is.True(err != nil)
	is.Equal(status(err), 0)
	got, err := c.GetObject(ctx, api.GetObjectParams{Kind: "rank", Name: "urgent"})
	is.NoErr(err)
	is.Equal(string(got.Value), "a")
}

func TestStaleReads(t *testing.T) {
	is := is.New(t)
	ctx, s, c := start(t)
	first, err := put(ctx, c, "urgent", 0, "a")
	is.NoErr(err)
	s.SetFaults(Faults{StaleReads: true})
	_, err = put(ctx, c, "urgent", first.Version, "b")
	is.NoErr(err)
	for range 2 {
		got, err := c.GetObject(ctx, api.GetObjectParams{Kind: "rank", Name: "urgent"})
		is.NoErr(err)
		list, err := c.ListObjects(ctx, api.ListObjectsParams{Kind: []string{"rank"}})
		is.NoErr(err)
		is.Equal(list.Objects[0], *got)
		is.Equal(string(got.Value) == "a", s.Faults().StaleReads)
		s.SetFaults(Faults{})
	}
}

func TestHostListLags(t *testing.T) {
	is := is.New(t)
	ctx, s, c := start(t)
	hosts := &api.HostList{Hosts: []api.Host{{ID: "h1", DataCentre: "pelotas"}}, Endpoints: []api.Endpoint{}}
	s.SetFaults(Faults{HostLag: time.Hour})
	s.SetHosts(hosts)
	list, err := c.ListHosts(ctx)
	is.NoErr(err)
	is.Equal(len(list.Hosts), 0)
	s.SetFaults(Faults{})
	s.SetHosts(hosts)
	list, err = c.ListHosts(ctx)
	is.NoErr(err)
	is.Equal(list.Hosts, hosts.Hosts)
}

func TestCutDoorHoldsItsCalls(t *testing.T) {
	is := is.New(t)
	ctx, s, c := start(t)
	door, err := s.AddDoor(ctx, "127.0.0.1:0")
	is.NoErr(err)
	door.SetCut(true)
	through, err := api.NewClient(door.URL(), bearer(testToken))
	is.NoErr(err)
	done := make(chan error, 1)
	go func() {
		_, err := put(ctx, through, "urgent", 0, "a")
		done <- err
	}()
	_, err = put(ctx, c, "normal", 0, "a")
	is.NoErr(err)
	select {
	case err := <-done:
		t.Fatal("a call passed a cut", err)
	case <-time.After(50 * time.Millisecond):
	}
	door.SetCut(false)
	is.NoErr(<-done)
}
