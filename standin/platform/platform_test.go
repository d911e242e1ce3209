package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTimeout is far above the duration of any test; it ends a test that hangs.
const testTimeout = time.Minute

// testClient sends plain HTTP requests to a stand-in.
type testClient struct {
	ctx     context.Context
	baseURL string
	http    *http.Client
}

// page is the response to a list or a watch request.
type page struct {
	Items  []Object `json:"items"`
	Events []struct {
		Deleted bool   `json:"deleted"`
		Object  Object `json:"object"`
	} `json:"events"`
	HasMore bool   `json:"hasMore"`
	AsOf    uint64 `json:"asOf"`
}

func startServer(t *testing.T) (*Server, *testClient) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s, err := Start(ctx, "127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, newTestClient(ctx, &s.Listener)
}

func newTestClient(ctx context.Context, l *Listener) *testClient {
	return &testClient{ctx: ctx, baseURL: "http://" + l.Address() + "/objects/", http: &http.Client{Transport: &http.Transport{}}}
}

// request sends a request and decodes its response into out. It returns the HTTP
// status, or 0 if there was no response.
func (c *testClient) request(method, path string, body, out any) (int, error) {
	buf, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(c.ctx, method, c.baseURL+path, bytes.NewReader(buf))
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil && resp.StatusCode < http.StatusBadRequest || resp.StatusCode == http.StatusConflict {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	return resp.StatusCode, err
}

// writeRank creates (POST) or replaces (PUT) an object of kind "ranks".
func (c *testClient) writeRank(method, name string, revision uint64, spec any) (int, Object, error) {
	path := "ranks"
	if method == http.MethodPut {
		path += "/" + name
	}
	var stored Object
	status, err := c.request(method, path, map[string]any{"meta": Meta{Name: name, Revision: revision}, "spec": spec}, &stored)
	return status, stored, err
}

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	status, first, err := c.writeRank(http.MethodPost, "urgent", 0, "a")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(first.Meta.Revision > 1)
	status, current, err := c.writeRank(http.MethodPost, "urgent", 0, "b")
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	is.Equal(current, first) // the conflict response contains the current object
	status, second, err := c.writeRank(http.MethodPut, "urgent", first.Meta.Revision, "b")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(second.Meta.Revision > first.Meta.Revision)
	status, _, err = c.writeRank(http.MethodPut, "urgent", first.Meta.Revision, "c")
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	status, unchanged, err := c.writeRank(http.MethodPut, "urgent", second.Meta.Revision, "b")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(unchanged.Meta.Revision, second.Meta.Revision) // an unchanged spec creates no revision
	status, err = c.request(http.MethodDelete, fmt.Sprintf("ranks/urgent?revision=%d", first.Meta.Revision), nil, &current)
	is.NoErr(err)
	is.Equal(status, http.StatusConflict)
	status, err = c.request(http.MethodDelete, fmt.Sprintf("ranks/urgent?revision=%d", second.Meta.Revision), nil, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	status, err = c.request(http.MethodGet, "ranks/urgent", nil, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusNotFound)
	status, _, err = c.writeRank(http.MethodPut, "urgent", second.Meta.Revision, "b")
	is.NoErr(err)
	is.Equal(status, http.StatusNotFound)
	is.Equal(s.Counts(), Counts{Create: 2, Replace: 4, Delete: 2, Get: 1})
}

func TestObjectSizeLimit(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t)
	quotes := len(`""`)
	status, _, err := c.writeRank(http.MethodPost, "large", 0, strings.Repeat("x", MaxSpecBytes-quotes))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	status, _, err = c.writeRank(http.MethodPost, "larger", 0, strings.Repeat("x", MaxSpecBytes-quotes+1))
	is.NoErr(err)
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t)
	for _, path := range []string{"", "ranks/a/b", "ranks?watch=x", "ranks?watch=1&waitMs=-5"} {
		status, err := c.request(http.MethodGet, path, nil, nil)
		is.NoErr(err)
		is.Equal(status, http.StatusBadRequest)
	}
	status, err := c.request(http.MethodPost, "ranks", "no object", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusBadRequest)
	status, err = c.request(http.MethodPatch, "ranks/a", nil, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusMethodNotAllowed)
}

func TestListPagination(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	for i := range maxPageObjects + 1 {
		s.Put("ranks", fmt.Sprintf("r%04d", i), i)
	}
	s.Put("services", "other", 1)
	var first, second page
	_, err := c.request(http.MethodGet, "ranks", nil, &first)
	is.NoErr(err)
	is.Equal(len(first.Items), maxPageObjects)
	is.True(first.HasMore)
	_, err = c.request(http.MethodGet, "ranks?after="+first.Items[maxPageObjects-1].Meta.Name, nil, &second)
	is.NoErr(err)
	is.Equal(len(second.Items), 1)
	is.True(!second.HasMore)
	is.Equal(second.Items[0].Meta.Name, fmt.Sprintf("r%04d", maxPageObjects))
}

func TestWatchReturnsOnObjectChange(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	first := s.Put("ranks", "urgent", "a")
	watchPath := func(revision uint64, ms int) string {
		return fmt.Sprintf("ranks?watch=%d&waitMs=%d", revision, ms)
	}
	pages := make(chan page, 1)
	go func() {
		var p page
		_, _ = c.request(http.MethodGet, watchPath(first.Meta.Revision, 30_000), nil, &p)
		pages <- p
	}()
	waitForWatch(t, s)
	s.Put("plans", "p", nil) // a kind that is not watched
	second := s.Put("ranks", "normal", "x")
	p := <-pages
	is.Equal(len(p.Events), 1)
	is.Equal(p.Events[0].Object, second)
	is.Equal(p.AsOf, second.Meta.Revision)

	var none page
	_, err := c.request(http.MethodGet, watchPath(p.AsOf, 1), nil, &none)
	is.NoErr(err)
	is.Equal(len(none.Events), 0)
	s.Delete("ranks", "normal")
	_, err = c.request(http.MethodGet, watchPath(p.AsOf, 1), nil, &p)
	is.NoErr(err)
	is.True(p.Events[0].Deleted)
	is.True(p.Events[0].Object.Meta.Revision > second.Meta.Revision)
	s.Compact()
	status, err := c.request(http.MethodGet, watchPath(first.Meta.Revision, 1), nil, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusGone)
	is.Equal(s.Counts().Watch, 4)
}

// waitForWatch waits until a watch is pending.
func waitForWatch(t *testing.T, s *Server) {
	t.Helper()
	for {
		n, err := runOnStore(s.ctx, s.store, func() int { return len(s.store.watches) })
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestDownAbortsWatchesAndRequests(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	ended := make(chan error, 1)
	go func() {
		_, err := c.request(http.MethodGet, "ranks?watch=1&waitMs=30000", nil, nil)
		ended <- err
	}()
	waitForWatch(t, s)
	s.SetFaults(Faults{Down: true})
	is.True(<-ended != nil)
	_, _, err := c.writeRank(http.MethodPost, "urgent", 0, "a")
	is.True(err != nil)
	s.SetFaults(Faults{})
	_, _, err = c.writeRank(http.MethodPost, "urgent", 0, "a")
	is.NoErr(err)
}

func TestUnavailableAndUnresponsiveStoreChangesNothing(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	s.SetFaults(Faults{Unavailable: true})
	status, _, err := c.writeRank(http.MethodPost, "urgent", 0, "a")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	s.SetFaults(Faults{Unresponsive: true})
	timeoutClient := *c
	var cancel context.CancelFunc
	timeoutClient.ctx, cancel = context.WithTimeout(c.ctx, 30*time.Millisecond)
	defer cancel()
	_, _, err = timeoutClient.writeRank(http.MethodPost, "urgent", 0, "a")
	is.True(err != nil)
	s.SetFaults(Faults{})
	status, err = c.request(http.MethodGet, "ranks/urgent", nil, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusNotFound)
}

func TestWritesWithDroppedResponsesTakeEffect(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	s.SetFaults(Faults{DropResponseEvery: 1})
	timeoutClient := *c
	var cancel context.CancelFunc
	timeoutClient.ctx, cancel = context.WithTimeout(c.ctx, 30*time.Millisecond)
	defer cancel()
	status, _, err := timeoutClient.writeRank(http.MethodPost, "urgent", 0, "a")
	is.True(err != nil)
	is.Equal(status, 0)
	var got Object
	_, err = c.request(http.MethodGet, "ranks/urgent", nil, &got)
	is.NoErr(err)
	is.Equal(string(got.Spec), `"a"`)
}

func TestStaleReads(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	s.Put("ranks", "urgent", "a")
	s.SetFaults(Faults{StaleReads: true})
	s.Put("ranks", "urgent", "b")
	for range 2 {
		var old, current Object
		var list page
		_, err := c.request(http.MethodGet, "ranks/urgent?serializable=1", nil, &old)
		is.NoErr(err)
		_, err = c.request(http.MethodGet, "ranks?serializable=1", nil, &list)
		is.NoErr(err)
		_, err = c.request(http.MethodGet, "ranks/urgent", nil, &current)
		is.NoErr(err)
		is.Equal(list.Items[0], old)
		is.Equal(list.AsOf, old.Meta.Revision)
		is.Equal(string(old.Spec) == `"a"`, s.Faults().StaleReads)
		is.Equal(string(current.Spec), `"b"`) // StaleReads does not affect this read
		s.SetFaults(Faults{})
	}
}

func TestCutListenerHoldsRequests(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	listener, err := s.AddListener(c.ctx, "127.0.0.1:0")
	is.NoErr(err)
	listener.SetCut(true)
	cutClient := newTestClient(c.ctx, listener)
	done := make(chan error, 1)
	go func() {
		_, _, err := cutClient.writeRank(http.MethodPost, "urgent", 0, "a")
		done <- err
	}()
	_, _, err = c.writeRank(http.MethodPost, "normal", 0, "a")
	is.NoErr(err)
	select {
	case err := <-done:
		t.Fatal("a request passed the cut listener", err)
	case <-time.After(50 * time.Millisecond):
	}
	listener.SetCut(false)
	is.NoErr(<-done)
}

func TestRestoreReusesRevisionsInNextEra(t *testing.T) {
	is := is.New(t)
	s, c := startServer(t)
	s.Put("ranks", "urgent", "a")
	backup := s.Backup()
	lost := s.Put("ranks", "urgent", "b")
	era := func() uint64 {
		n, err := runOnStore(s.ctx, s.store, func() uint64 { return s.store.objects.era })
		is.NoErr(err)
		return n
	}
	eraBefore := era()
	s.Restore(backup)
	var got Object
	_, err := c.request(http.MethodGet, "ranks/urgent", nil, &got)
	is.NoErr(err)
	is.Equal(string(got.Spec), `"a"`)
	is.Equal(era(), eraBefore+1)
	status, err := c.request(http.MethodGet, fmt.Sprintf("ranks?watch=%d&waitMs=1", lost.Meta.Revision), nil, nil)
	is.NoErr(err)
	is.Equal(status, http.StatusGone)
	is.Equal(s.Put("ranks", "urgent", "c").Meta.Revision, lost.Meta.Revision)
}
