package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"baobabfield.example/standin/fleet"
)

// The workspaces of a seed by index. unknownWorkspace is that of a caller whose key no
// configuration ever holds.
const (
	limitedWorkspace = iota
	farBelowWorkspace
	unlimitedWorkspace
	workspaceCount
	unknownWorkspace = -1
)

const (
	// keyMark is a part of every key. No endpoint, log or metric may contain it.
	keyMark    = "soaksecret"
	unknownKey = keyMark + "-unknown"
	// workspaceConfigBound is the bound for configurations in the settings of hosts with workspaces.
	workspaceConfigBound = 5 * time.Second
	// quotaSpan, quotaOvershoot and quotaSlack are those of the requirement on limits.
	quotaSpan      = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	// quotaMemory is the time for which a lowered limit may still admit what the earlier one did:
	// the bound for configurations, one span, and the longest fault.
	quotaMemory = workspaceConfigBound + quotaSpan + 2*time.Second
	// limitRecovery is the time after a fault or a start in which a workspace below its limit may be
	// refused: loans last up to 1.2 s, and a new process waits 0.75 s until it uses its share.
	limitRecovery = 2 * time.Second
	// storeCut is the time for which hosts restarted after a withdrawal cannot reach the store.
	storeCut = 1500 * time.Millisecond
	// startupAttempts bounds the time in which a host has to give a definite reply to a key.
	startupAttempts = 5 * time.Second
)

// Faults that concern no host or all hosts, in place of a host's name.
const (
	noHost   = "none"
	allHosts = "all"
)

// workspaceLog holds the keys and limits of a seed's workspaces over time, the faults, and what
// callers saw. The goroutine of run owns its state; the others send it functions. All methods do
// nothing, and callers have no key, if the log is nil.
type workspaceLog struct {
	inbox chan func()
	// done is closed at the end of the test.
	done chan struct{}
	// rng belongs to the goroutine that injects faults. It is separate from that of the cluster, so
	// that a seed's other faults stay the same.
	rng        *rand.Rand
	keys       []*keyHistory
	limits     [workspaceCount][]limitChange
	faults     []faultSpan
	sent       map[string]sentOperation
	violations []string
}

// keyHistory is a key. A time is zero until the store has the change.
type keyHistory struct {
	text                 string
	workspace            int
	withdrawn            bool
	addedAt, withdrawnAt time.Time
}

// limitChange is a limit from a time on; a zero rate is no limit.
type limitChange struct {
	rate, burst float64
	at          time.Time
}

type faultSpan struct {
	host        string
	from, until time.Time
}

// sentOperation is the operation of a statement that a caller sent.
type sentOperation struct {
	caller, host, key string
	at                time.Time
}

// newWorkspaceLog returns the workspaces of a seed: those of every odd one, nil for the others.
func newWorkspaceLog(t *testing.T, seed uint64) *workspaceLog {
	if seed%2 == 0 {
		return nil
	}
	w := &workspaceLog{inbox: make(chan func()), done: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 4)), sent: map[string]sentOperation{}}
	w.limits = [workspaceCount][]limitChange{{{rate: 25, burst: 12}}, {{rate: 800, burst: 400}}, {{}}}
	for i := range workspaceCount {
		w.addKey(i)
		w.addKey(i)
	}
	w.stampChanges()
	t.Cleanup(func() { close(w.done) })
	go w.run()
	return w
}

func (w *workspaceLog) run() {
	for {
		select {
		case task := <-w.inbox:
			task()
		case <-w.done:
			return
		}
	}
}

// do runs a function on the goroutine of run and waits for it.
func (w *workspaceLog) do(task func()) {
	if w == nil {
		return
	}
	finished := make(chan struct{})
	select {
	case w.inbox <- func() { task(); close(finished) }:
		<-finished
	case <-w.done:
	}
}

func workspaceName(i int) string {
	if i == unknownWorkspace {
		return ""
	}
	return fmt.Sprintf("workspace-%d", i)
}

func (w *workspaceLog) addKey(workspace int) {
	w.keys = append(w.keys, &keyHistory{text: fmt.Sprintf("%s-%d-%d", keyMark, workspace, len(w.keys)), workspace: workspace})
}

// stampChanges sets the times of the changes that the store has since the last call.
func (w *workspaceLog) stampChanges() {
	now := time.Now()
	for _, k := range w.keys {
		if k.addedAt.IsZero() {
			k.addedAt = now
		}
		if k.withdrawn && k.withdrawnAt.IsZero() {
			k.withdrawnAt = now
		}
	}
	for _, changes := range w.limits {
		if last := &changes[len(changes)-1]; last.at.IsZero() {
			last.at = now
		}
	}
}

// tenants returns the workspaces as the configuration has them.
func (w *workspaceLog) tenants() (out []map[string]any) {
	w.do(func() {
		for i, changes := range w.limits {
			keys := []string{}
			for _, k := range w.keys {
				if k.workspace == i && !k.withdrawn {
					keys = append(keys, k.text)
				}
			}
			limit := changes[len(changes)-1]
			out = append(out, map[string]any{"name": workspaceName(i), "apiKeys": keys, "ratePerS": limit.rate, "burst": limit.burst})
		}
	})
	return out
}

// recordFault records a fault that begins now and ends after a duration.
func (w *workspaceLog) recordFault(host string, duration time.Duration) {
	w.do(func() { w.faults = append(w.faults, faultSpan{host, time.Now(), time.Now().Add(duration)}) })
}

// isUndisturbed reports whether a host had no fault in the bound for configurations before a time.
func (w *workspaceLog) isUndisturbed(host string, at time.Time) bool {
	return !slices.ContainsFunc(w.faults, func(f faultSpan) bool {
		return (f.host == host || f.host == allHosts) && !f.from.After(at) && f.until.Add(workspaceConfigBound).After(at)
	})
}

func (w *workspaceLog) history(key string) *keyHistory {
	if i := slices.IndexFunc(w.keys, func(k *keyHistory) bool { return k.text == key }); i >= 0 {
		return w.keys[i]
	}
	return nil
}

// keyOf returns the key that a caller uses for a new connection. One in six is a withdrawn one.
func (w *workspaceLog) keyOf(s *session) string {
	if w == nil {
		return s.name
	}
	key, withdrawn := unknownKey, s.rng.IntN(6) == 0
	w.do(func() {
		var choices []string
		for _, k := range w.keys {
			if k.workspace == s.workspace && (!k.withdrawn || withdrawn) {
				choices = append(choices, k.text)
			}
		}
		if len(choices) > 0 {
			key = choices[s.rng.IntN(len(choices))]
		}
	})
	return key
}

// recordSent records a statement of an operation that began at a time.
func (w *workspaceLog) recordSent(s *session, id string, at time.Time) {
	sent := sentOperation{s.name, s.host, s.key, at}
	w.do(func() { w.sent[id] = sent })
}

// recordReply checks the reply to a STARTUP or the error of a statement that was sent at a time.
func (w *workspaceLog) recordReply(s *session, sentAt time.Time, line string) {
	host, key, workspace := s.host, s.key, s.workspace
	w.do(func() {
		report := func(problem string) {
			w.violations = append(w.violations, fmt.Sprintf("%s at %s with key %q at %s: %s: %q",
				s.name, host, key, time.Now().Format(time.StampMilli), problem, line))
		}
		now, k := time.Now(), w.history(key)
		switch {
		case strings.Contains(line, keyMark):
			report("reply with a key")
		case strings.HasPrefix(line, "READY") && k == nil:
			report("unknown key accepted")
		case strings.HasPrefix(line, "ERROR AUTHFAIL") && k != nil && !k.withdrawn && !k.addedAt.IsZero() &&
			sentAt.After(k.addedAt.Add(workspaceConfigBound)) && w.isUndisturbed(host, sentAt):
			report("valid key refused")
		case workspace == farBelowWorkspace && strings.Contains(line, "rate limit reached") &&
			!slices.ContainsFunc(w.faults, func(f faultSpan) bool { return f.until.Add(limitRecovery).After(now) }):
			report("workspace below its limit refused without a fault")
		}
	})
}

// checkExecutions checks what ran at the endpoints against the limits and the withdrawn keys.
func (w *workspaceLog) checkExecutions(executions []fleet.Execution) {
	type operation struct {
		caller string
		at     time.Time
	}
	counted := map[operation]bool{}
	times := map[string][]time.Time{}
	for _, e := range executions {
		sent := w.sent[e.ID]
		if k := w.history(sent.key); k != nil && k.withdrawn && !k.withdrawnAt.IsZero() &&
			sent.at.After(k.withdrawnAt.Add(workspaceConfigBound)) && w.isUndisturbed(sent.host, sent.at) {
			w.violations = append(w.violations, fmt.Sprintf("statement %s of %s ran at %v, sent %v after its key was withdrawn",
				e.ID, sent.host, e.At, sent.at.Sub(k.withdrawnAt)))
		}
		if o := (operation{sent.caller, sent.at}); !counted[o] {
			counted[o] = true
			times[e.Workspace] = append(times[e.Workspace], e.At)
		}
	}
	for i := range workspaceCount {
		w.checkLimit(i, times[workspaceName(i)])
	}
}

// checkLimit checks the number of operations of a workspace in each span, given the ascending times
// at which they ran.
func (w *workspaceLog) checkLimit(workspace int, times []time.Time) {
	for first, next := 0, 0; first < len(times); first++ {
		for next < len(times) && times[next].Sub(times[first]) < quotaSpan {
			next++
		}
		if allowed, limited := w.allowance(workspace, times[first]); limited && float64(next-first) > allowed {
			w.violations = append(w.violations, fmt.Sprintf("%d operations of %s ran in the span from %v, at most %.0f are allowed",
				next-first, workspaceName(workspace), times[first], allowed))
			return
		}
	}
}

// allowance returns the largest number of operations in the span from a time. Of the limits that
// may be in force at some host, the largest one counts.
func (w *workspaceLog) allowance(workspace int, from time.Time) (allowed float64, limited bool) {
	changes := w.limits[workspace]
	for i, l := range changes {
		if i+1 < len(changes) && changes[i+1].at.Add(quotaMemory).Before(from) || i > 0 && l.at.Add(-time.Second).After(from.Add(quotaSpan)) {
			continue
		}
		allowed, limited = max(allowed, (l.rate*quotaSpan.Seconds()+l.burst)*(1+quotaOvershoot)+quotaSlack), l.rate > 0
	}
	return allowed, limited
}

// configBound is the bound for configurations in the settings of the hosts.
func (c *cluster) configBound() time.Duration {
	if c.workspaces != nil {
		return workspaceConfigBound
	}
	return configBound
}

// hostOf returns the name of the host whose store or mesh a relay serves.
func (c *cluster) hostOf(r *relay) string {
	for _, p := range c.hosts {
		if r == p.storeRelay || r == p.meshRelay {
			return p.name
		}
	}
	return noHost
}

// changeConfiguration changes keys or limits and stores the next version of the configuration.
func (c *cluster) changeConfiguration(change func()) {
	c.workspaces.do(change)
	c.storeConfiguration()
	c.workspaces.do(c.workspaces.stampChanges)
}

// changeWorkspaces withdraws and adds keys, changes a limit or restarts hosts after a withdrawal,
// in half of the calls.
func (c *cluster) changeWorkspaces() {
	w := c.workspaces
	if w == nil {
		return
	}
	switch w.rng.IntN(8) {
	case 0, 1:
		c.replaceKey()
	case 2:
		rate := []float64{10, 25, 50}[w.rng.IntN(3)]
		c.changeConfiguration(func() {
			w.limits[limitedWorkspace] = append(w.limits[limitedWorkspace], limitChange{rate: rate, burst: rate / 2})
		})
	case 3:
		c.restartAfterWithdrawal()
	}
}

// replaceKey adds a key of a workspace and withdraws its oldest one.
func (c *cluster) replaceKey() {
	w, workspace := c.workspaces, c.workspaces.rng.IntN(workspaceCount)
	c.changeConfiguration(func() {
		w.addKey(workspace)
		i := slices.IndexFunc(w.keys, func(k *keyHistory) bool { return k.workspace == workspace && !k.withdrawn })
		w.keys[i].withdrawn = true
	})
}

// restartAfterWithdrawal withdraws a key and restarts two hosts, which cannot reach the store for
// storeCut.
func (c *cluster) restartAfterWithdrawal() {
	w := c.workspaces
	if w == nil {
		return
	}
	first := w.rng.IntN(len(c.hosts))
	restarted := []*hostProcess{c.hosts[first], c.hosts[(first+1)%len(c.hosts)]}
	for _, p := range restarted {
		w.recordFault(p.name, storeCut)
		p.storeRelay.modeChanges <- modeDiscardAll
		p.storeRelay.resetRequests <- struct{}{}
	}
	c.replaceKey()
	for _, p := range restarted {
		p.tryChange(func() { p.kill(); p.start() })
		time.AfterFunc(storeCut, func() { p.storeRelay.modeChanges <- modeForward; p.storeRelay.resetRequests <- struct{}{} })
	}
}

// addCaller declares the workspace of a caller to the endpoints.
func (c *cluster) addCaller(s *session) {
	if c.workspaces != nil {
		c.fleet.ForbidText(keyMark)
		c.fleet.RecordWorkspace(s.name, workspaceName(s.workspace))
	}
}

// checkWorkspaces waits until all hosts are undisturbed and the last configuration has to be in
// force. It then checks every key at every host, the logs, the metrics and what ran, and returns
// the violations.
func (c *cluster) checkWorkspaces() []string {
	w := c.workspaces
	if w == nil {
		return nil
	}
	var settledAt time.Time
	var keys []keyHistory
	w.do(func() {
		for _, f := range w.faults {
			settledAt = later(settledAt, f.until)
		}
		for _, k := range w.keys {
			settledAt = later(settledAt, later(k.addedAt, k.withdrawnAt))
			keys = append(keys, *k)
		}
	})
	keys = append(keys, keyHistory{text: unknownKey, withdrawn: true})
	// Sessions that are still open with a withdrawn key send further statements.
	time.Sleep(time.Until(settledAt.Add(workspaceConfigBound + 500*time.Millisecond)))
	var problems []string
	for _, p := range c.hosts {
		for _, k := range keys {
			problems = append(problems, p.checkKey(k)...)
		}
		problems = append(problems, p.checkNoKeyShown()...)
	}
	executions := c.fleet.Executions()
	w.do(func() {
		w.checkExecutions(executions)
		problems = append(problems, w.violations...)
	})
	return problems
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// checkKey checks that a host accepts a key of the configuration and refuses any other. Other
// replies than these two are repeated.
func (p *hostProcess) checkKey(k keyHistory) []string {
	want, opposite := "READY", "ERROR AUTHFAIL"
	if k.withdrawn {
		want, opposite = opposite, want
	}
	for deadline := time.Now().Add(startupAttempts); ; time.Sleep(50 * time.Millisecond) {
		reply := p.startup("bounded_staleness", k.text)
		if strings.HasPrefix(reply, want) {
			return nil
		}
		if strings.HasPrefix(reply, opposite) || time.Now().After(deadline) {
			return []string{fmt.Sprintf("%s replies %q to key %q, withdrawn: %t", p.name, reply, k.text, k.withdrawn)}
		}
	}
}

// checkNoKeyShown checks that the log and the metrics of a host hold no key.
func (p *hostProcess) checkNoKeyShown() (problems []string) {
	log, err := os.ReadFile(p.settingsPath + ".log")
	if err != nil || bytes.Contains(log, []byte(keyMark)) {
		problems = append(problems, fmt.Sprintf("log of %s holds a key or cannot be read: %v", p.name, err))
	}
	response, err := (&http.Client{Timeout: startupAttempts}).Get("http://" + p.metricsAddress + "/metrics")
	if err != nil {
		return append(problems, fmt.Sprintf("metrics of %s: %v", p.name, err))
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Contains(text, []byte("baobab_")) || bytes.Contains(text, []byte(keyMark)) {
		problems = append(problems, fmt.Sprintf("metrics of %s hold a key or are not complete: %v", p.name, err))
	}
	return problems
}

// Guards against a check that counts statements instead of operations, or that applies a lowered
// limit before it has to be in force or a raised one after it has been lowered again.
func TestExecutionsAreCheckedAgainstLimits(t *testing.T) {
	start := time.Unix(1000, 0)
	lowered := start.Add(20 * time.Second)
	const high, low = 80, 36 // (rate x 5 + burst) x 1.1 + 20, rounded down
	for _, tt := range []struct {
		from       time.Time
		operations int
		want       int
	}{
		{start, high, 0},
		{start, high + 1, 1},
		{lowered.Add(quotaMemory - time.Second), high, 0},
		{lowered.Add(quotaMemory + time.Second), low, 0},
		{lowered.Add(quotaMemory + time.Second), low + 1, 1},
	} {
		w := &workspaceLog{sent: map[string]sentOperation{}}
		w.limits[limitedWorkspace] = []limitChange{{rate: 10, burst: 5, at: start}, {rate: 2, burst: 5, at: lowered}}
		var executions []fleet.Execution
		for i := range 2 * tt.operations {
			id, at := fmt.Sprintf("s1.%d", i), tt.from.Add(time.Duration(i/2)*time.Millisecond)
			w.sent[id] = sentOperation{caller: "s1", at: at}
			executions = append(executions, fleet.Execution{ID: id, Workspace: workspaceName(limitedWorkspace), At: at})
		}
		w.checkExecutions(executions)
		if len(w.violations) != tt.want {
			t.Errorf("%d operations from %v: %q, want %d violations", tt.operations, tt.from, w.violations, tt.want)
		}
	}
}
