package admin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"baobabfield.example/core/config"
	"baobabfield.example/core/timeline"
)

const testSecret = "correct-horse-battery"

// startServer starts a server. It calls answer for each request, one at a time.
func startServer(t *testing.T, answer func(Request)) *httptest.Server {
	t.Helper()
	is := is.New(t)
	token, err := NewToken("ana", testSecret)
	is.NoErr(err)
	requests := make(chan Request)
	handler, err := newHandler(Settings{Tokens: []Token{token}, AnswerTimeout: time.Minute}, requests)
	is.NoErr(err)
	server := httptest.NewServer(handler)
	go func() {
		for request := range requests {
			answer(request)
		}
	}()
	t.Cleanup(func() {
		server.Close()
		close(requests)
	})
	return server
}

// sendHTTPRequest sends an HTTP request and returns the status code and the body of
// the response.
func sendHTTPRequest(t *testing.T, method, url, secret, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, strings.TrimSpace(string(content))
}

// failOnRequest returns a handler that fails the test if a request reaches the tasks.
func failOnRequest(t *testing.T) func(Request) {
	return func(r Request) { t.Errorf("request %T reached the tasks", r) }
}

// TestRejectedRequestNamesTheValue checks that an invalid request does not reach the
// tasks, and that the error response names the invalid value.
func TestRejectedRequestNamesTheValue(t *testing.T) {
	server := startServer(t, failOnRequest(t))
	rank := `{"kind":"put_rank","rank":{"name":"r","order":0,"target":"1s","worth":1,"floor":%s}}`
	cases := []struct {
		name, method, path, secret, body string
		status                           int
		want                             string
	}{
		{"wrong token", "GET", "/v1/status", "not-the-right-secret", "", 401, `"object":"Authorization"`},
		{"empty token", "GET", "/v1/status", "", "", 401, `"code":"unauthorized"`},
		{"unknown path", "GET", "/v1/nothing", testSecret, "", 404, `"object":"/v1/nothing"`},
		{"wrong method", "DELETE", "/v1/status", testSecret, "", 405, `"object":"DELETE"`},
		{"bad limit", "GET", "/v1/timeline?limit=0", testSecret, "", 400, `"object":"limit"`},
		{"bad time", "GET", "/v1/timeline?since=noon", testSecret, "", 400, `"object":"since"`},
		{"bad state", "GET", "/v1/plans?state=lost", testSecret, "", 400, `"object":"state"`},
		{"bad story", "GET", "/v1/timeline?story=x", testSecret, "", 400, `"object":"story"`},
		{"bad floor", "POST", "/v1/plans", testSecret, strings.ReplaceAll(rank, "%s", "101"), 400, `"object":"rank.floor"`},
		{"unknown field", "POST", "/v1/plans", testSecret, `{"kind":"retire","colour":1}`, 400, `colour`},
		{"garbage", "POST", "/v1/plans", testSecret, `{`, 400, `"code":"malformed"`},
		{"too large", "POST", "/v1/plans", testSecret, strings.Repeat(" ", maxBodyBytes+1), 400, `more than 1048576 bytes`},
		{"other property", "POST", "/v1/plans", testSecret, `{"kind":"remove_rank","name":"r","service":{"name":"s","databases":[{"id":"d","endpoints":[{"id":"e","dataCentre":"c","address":"127.0.0.1:1"}]}],"slots":1,"connections":1}}`, 400, `"object":"service"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, body := sendHTTPRequest(t, c.method, server.URL+c.path, c.secret, c.body)
			is.Equal(status, c.status)
			if !strings.Contains(body, c.want) {
				t.Errorf("response %s does not contain %s", body, c.want)
			}
		})
	}
}

// TestChangeIsRecordedBeforeItIsMade guards against changes without an author in the
// time line. The request for the change has to carry the id of the recorded event.
func TestChangeIsRecordedBeforeItIsMade(t *testing.T) {
	is := is.New(t)
	var recorded timeline.Event
	var confirmed ConfirmPlanRequest
	server := startServer(t, func(request Request) {
		switch r := request.(type) {
		case RecordRequest:
			recorded = r.Event
			r.Reply <- Answer[timeline.EventID]{Value: timeline.EventID{Host: "h", Counter: 7}}
		case ConfirmPlanRequest:
			confirmed = r
			r.Reply <- Answer[config.Confirmed]{Value: config.Confirmed{State: config.ConfirmAccepted}}
		}
	})
	status, _ := sendHTTPRequest(t, "POST", server.URL+"/v1/plans/p-1/confirm", testSecret, "")
	is.Equal(status, http.StatusOK)
	is.Equal(recorded.Kind, timeline.KindAdminCall)
	is.Equal(recorded.Author, "ana")
	is.Equal(recorded.Object, "p-1")
	is.Equal(confirmed.Cause, timeline.EventID{Host: "h", Counter: 7})
	is.Equal(confirmed.Author, "ana")
}

func TestChangeIsNotMadeIfRecordingFails(t *testing.T) {
	is := is.New(t)
	server := startServer(t, func(request Request) {
		r, ok := request.(RecordRequest)
		if !ok {
			t.Errorf("request %T reached the tasks", request)
			return
		}
		r.Reply <- Answer[timeline.EventID]{Failure: Unavailable("the time line does not answer")}
	})
	status, body := sendHTTPRequest(t, "POST", server.URL+"/v1/leave", testSecret, "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "the time line does not answer"))
}

// TestHealthAndMetricsNeedNoToken checks the paths that load balancers and metrics
// scrapers request. They have no token of the admin API.
func TestHealthAndMetricsNeedNoToken(t *testing.T) {
	is := is.New(t)
	state := HostServing
	server := startServer(t, func(request Request) {
		if r, ok := request.(StatusRequest); ok {
			r.Reply <- Answer[Status]{Value: Status{State: state}}
		}
	})
	status, body := sendHTTPRequest(t, "GET", server.URL+"/healthz", "", "")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "serving")
	state = HostLeaving
	status, body = sendHTTPRequest(t, "GET", server.URL+"/healthz", "", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, "leaving")
	status, body = sendHTTPRequest(t, "GET", server.URL+"/metrics", "", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "process_"))
	sendHTTPRequest(t, "GET", server.URL+"/v1/status", testSecret, "")
	_, body = sendHTTPRequest(t, "GET", server.URL+"/metrics", "", "")
	is.True(strings.Contains(body, `baobab_admin_calls_total{operation="GetStatus",result="done"} 1`))
}

// requestStatus sends a status request whose wait ends only with ctx, since the
// timeout of the client is an hour.
func requestStatus(ctx context.Context, requests chan<- Request, timedOut Failure) error {
	client := &taskClient{requests: requests, timeout: time.Hour}
	_, err := sendRequest(ctx, client, timedOut, func(r Reply[Status]) Request { return StatusRequest{Reply: r} })
	return err
}

// TestUndeliveredRequestIsUnavailable checks that a request for a change is reported as
// not executed, rather than as unknown, if the tasks did not receive it.
func TestUndeliveredRequestIsUnavailable(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(toFailure(requestStatus(ctx, nil, changeTimedOut)).Code, FailureUnavailable)
}

// TestTimedOutChangeHasUnknownOutcome guards against a change that is reported as not
// executed although the tasks received the request and may still execute it.
func TestTimedOutChangeHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan Request)
	go func() {
		<-requests
		cancel()
	}()
	err := requestStatus(ctx, requests, changeTimedOut)
	is.True(isOutcomeUnknown(err))
}

func TestTokens(t *testing.T) {
	is := is.New(t)
	ana, err := ParseToken("ana:" + testSecret)
	is.NoErr(err)
	rui, err := ParseToken("rui:another-long:secret")
	is.NoErr(err)
	name, ok := findAuthor([]Token{ana, rui}, "another-long:secret")
	is.True(ok)
	is.Equal(name, "rui")
	_, ok = findAuthor([]Token{ana, rui}, "")
	is.True(!ok)

	for text, want := range map[string]string{
		"ana":            "author:secret",
		"ana:short":      `author "ana" has 5 characters`,
		":" + testSecret: "needs an author",
	} {
		_, err := ParseToken(text)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want))
	}
}

func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	token, err := NewToken("ana", testSecret)
	is.NoErr(err)
	valid := Settings{Tokens: []Token{token}, AnswerTimeout: time.Second}
	is.NoErr(valid.Check())
	for _, invalidate := range []func(*Settings){
		func(s *Settings) { s.Tokens = nil },
		func(s *Settings) { s.AnswerTimeout = 0 },
	} {
		invalid := valid
		invalidate(&invalid)
		is.True(invalid.Check() != nil)
	}
}

func TestFailuresKeepTheirCode(t *testing.T) {
	is := is.New(t)
	wrapped := errors.Wrap(NotFound("plan", "p-9"), "show")
	status := errorStatus(toFailure(wrapped))
	is.Equal(status.StatusCode, http.StatusNotFound)
	is.Equal(status.Response.Object, "p-9")
	is.Equal(toFailure(errors.New("broken")).Code, FailureUnavailable)
}

// TestRolloutMarksLaggingHosts guards against a host that counts as current because it
// has the newest version, although it lacks an older object. An unreachable host is not
// lagging, and its version is ignored.
func TestRolloutMarksLaggingHosts(t *testing.T) {
	is := is.New(t)
	rollout := encodeRollout([]HostVersion{
		{Host: "a", Reachable: true, Version: 9, Digest: 1},
		{Host: "b", Reachable: true, Version: 9, Digest: 1},
		{Host: "c", Reachable: true, Version: 9, Digest: 2}, // has the newest version but lacks an older object
		{Host: "d", Reachable: true, Version: 8, Digest: 3},
		{Host: "e", Version: 12},
	})
	is.Equal(rollout.Newest, uint64(9))
	var lagging []bool
	for _, host := range rollout.Hosts {
		lagging = append(lagging, host.Lagging)
	}
	is.Equal(lagging, []bool{false, false, true, true, false})
}
