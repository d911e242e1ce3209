package limits_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabfield.example/core/limits"
	"baobabfield.example/core/types"
)

const testWorkspace = types.Workspace("w")

// pair is a host and the allocator of testWorkspace, without a network.
type pair struct {
	host, allocator *limits.Machine
	now             types.Time
}

// newPair returns two hosts with a limit of 1,000 a second that have run for two seconds.
func newPair() *pair {
	hosts := []limits.Host{{ID: "host", Eligible: true}, {ID: "allocator", Eligible: true, Usable: true}}
	p := &pair{now: types.Time(time.Hour)}
	p.host, p.allocator = limits.New(limits.Settings{Host: "host", Seed: 1}), limits.New(limits.Settings{Host: "allocator", Seed: 2})
	for _, m := range []*limits.Machine{p.host, p.allocator} {
		m.SetHosts(p.now, hosts)
		m.Configure(p.now, []limits.Limit{{Workspace: testWorkspace, Rate: 1000, Burst: 1000}})
	}
	for range 2000 {
		p.step(time.Millisecond)
		p.exchange()
	}
	return p
}

// step passes time and demands operations at the host.
func (p *pair) step(d time.Duration) {
	p.now = p.now.Add(d)
	p.host.Admit(p.now, testWorkspace, 1)
	p.host.Tick(p.now)
	p.allocator.Tick(p.now)
}

// exchange delivers all messages.
func (p *pair) exchange() {
	for range 4 {
		p.deliver(p.host.TakeMessages(), "host")
		p.deliver(p.allocator.TakeMessages(), "allocator")
	}
}

func (p *pair) deliver(messages []limits.Message, from types.Host) {
	for _, msg := range messages {
		to := p.host
		if msg.To == "allocator" {
			to = p.allocator
		}
		receive(&hostSim{machine: to}, p.now, from, msg)
	}
}

func (p *pair) shareOfHost() float64 {
	share, _ := p.host.InUse(p.now, testWorkspace)
	return share
}

// takeReport steps until the host has sent a report with the given property.
func (p *pair) takeReport(has func(*limits.Report) bool) *limits.Report {
	for {
		p.step(time.Millisecond)
		messages := p.host.TakeMessages()
		for _, msg := range messages {
			if msg.Report != nil && msg.Report.Group == limits.GroupOf(testWorkspace) && has(msg.Report) {
				return msg.Report
			}
		}
		p.deliver(messages, "host")
		p.deliver(p.allocator.TakeMessages(), "allocator")
	}
}

func (p *pair) reply(r *limits.Report) *limits.Grants {
	p.allocator.HandleReport(p.now, "host", r)
	messages := p.allocator.TakeMessages()
	return messages[len(messages)-1].Grants
}

func anyReport(*limits.Report) bool { return true }

// A grant counts from the sending of the report. One that arrives after its time must not be used:
// the loans behind it may have expired.
func TestLateGrantIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		delay time.Duration
		used  bool
	}{{100 * time.Millisecond, true}, {600 * time.Millisecond, false}} {
		is := is.New(t)
		p := newPair()
		grants := p.reply(p.takeReport(anyReport))
		is.True(grants.Grants[0].Share > 0.5)
		p.now = p.now.Add(c.delay)
		p.host.HandleGrants(p.now, "allocator", grants)
		is.Equal(p.shareOfHost() > 0.5, c.used)
	}
}

// An allocator must grant no share and no token that is backed by a loan which expires earlier.
func TestGrantIsBackedByItsLoans(t *testing.T) {
	is := is.New(t)
	p := newPair()
	r := p.takeReport(func(r *limits.Report) bool { return r.LendFor > 0 })
	is.True(p.reply(r).Grants[0].Share > 0.5)
	p.now = p.now.Add(700 * time.Millisecond) // the loans last for less than a grant
	r.Seq, r.LendFor = r.Seq+1, 0
	r.Demands[0].Need, r.Demands[0].Held = 5, 2
	grant := p.reply(r).Grants[0]
	is.Equal(grant.Share, 0.0)
	is.Equal(grant.Tokens, 0)
	is.True(!grant.Keep)
}

// replyWithTokens delivers a reply to the host's next report with only single tokens, and returns the
// time of the report.
func (p *pair) replyWithTokens(process uint64, tokens int, tokensFor time.Duration) types.Time {
	r := p.takeReport(anyReport)
	p.host.HandleGrants(p.now, "allocator", &limits.Grants{
		Seq: r.Seq, Group: r.Group, AllocatorProcess: process, AllocatorClock: 1, ValidFor: time.Second, TokensFor: tokensFor,
		Grants: []limits.Grant{{Workspace: testWorkspace, Tokens: tokens, Keep: true}},
	})
	return p.now
}

func (p *pair) tokensOfHost(now types.Time) float64 {
	_, tokens := p.host.InUse(now, testWorkspace)
	return tokens
}

// newIdlePair returns a pair whose host has neither demand nor a share.
func newIdlePair() *pair {
	p := newPair()
	for range 3000 {
		p.now = p.now.Add(time.Millisecond)
		p.host.Tick(p.now)
		p.allocator.Tick(p.now)
		p.exchange()
	}
	return p
}

// Tokens of two allocators must not be held together: each allocator counts only its own, until its own end.
func TestTokensOfAnotherAllocatorReplaceEarlierOnes(t *testing.T) {
	is := is.New(t)
	p := newIdlePair()
	p.replyWithTokens(7, 3000, time.Second)
	is.True(p.tokensOfHost(p.now) >= 2999)
	p.replyWithTokens(8, 2000, time.Second) // at most 300 of the first ones have been used
	is.True(p.tokensOfHost(p.now) <= 2000)
}

// An allocator of an earlier build counts its tokens for 150 ms only.
func TestTokensOfAnEarlierBuildExpireEarly(t *testing.T) {
	for _, c := range []struct {
		tokensFor time.Duration
		held      bool
	}{{0, false}, {time.Second, true}} {
		is := is.New(t)
		p := newIdlePair()
		sentAt := p.replyWithTokens(7, 30, c.tokensFor)
		is.True(p.tokensOfHost(sentAt.Add(140*time.Millisecond)) >= 29)
		is.Equal(p.tokensOfHost(sentAt.Add(160*time.Millisecond)) >= 29, c.held)
		is.True(p.tokensOfHost(sentAt.Add(600*time.Millisecond)) < 29)
	}
}

// A new process must not use its static share while the loans of an earlier one may be in use, and
// must begin with an empty bucket.
func TestNewProcessWaitsWithItsShare(t *testing.T) {
	is := is.New(t)
	now := types.Time(time.Hour)
	m := limits.New(limits.Settings{Host: "host", Seed: 1})
	m.SetHosts(now, []limits.Host{{ID: "host", Eligible: true}})
	m.Configure(now, []limits.Limit{{Workspace: testWorkspace, Rate: 1000, Burst: 1000}})
	is.Equal(m.Admit(now, testWorkspace, 1).Verdict, limits.Refused)
	m.Tick(now.Add(700 * time.Millisecond))
	is.Equal(m.Admit(now.Add(700*time.Millisecond), testWorkspace, 2).Verdict, limits.Refused)
	share, tokens := m.InUse(now.Add(760*time.Millisecond), testWorkspace)
	is.Equal(share, 1.0)
	is.True(tokens < 11)
	is.Equal(m.Admit(now.Add(800*time.Millisecond), testWorkspace, 3).Verdict, limits.Admitted)
}

// Operations that did not run must not use up the limit.
func TestRefundedOperationsDoNotCount(t *testing.T) {
	is := is.New(t)
	now := types.Time(time.Hour)
	m := limits.New(limits.Settings{Host: "host", Seed: 1})
	m.SetHosts(now, []limits.Host{{ID: "host", Eligible: true}})
	m.Configure(now, []limits.Limit{{Workspace: testWorkspace, Rate: 10, Burst: 0}})
	now = now.Add(5 * time.Second)
	for i := range 1000 {
		is.Equal(m.Admit(now, testWorkspace, uint64(i)).Verdict, limits.Admitted)
		m.Refund(now, testWorkspace)
	}
}

// A workspace with rate 0 has no limit, also after it had one.
func TestRateZeroMeansNoLimit(t *testing.T) {
	is := is.New(t)
	p := newPair()
	p.now = p.now.Add(time.Millisecond)
	p.host.Configure(p.now, []limits.Limit{{Workspace: testWorkspace}})
	is.True(!p.host.Active())
	for i := range 10000 {
		is.Equal(p.host.Admit(p.now, testWorkspace, uint64(i)).Verdict, limits.Admitted)
	}
}

// A lowered limit must bind at once, and a raised one be used soon.
func TestChangedLimitIsUsed(t *testing.T) {
	is := is.New(t)
	p := newPair()
	admitted := func(rate float64, d time.Duration) int {
		for _, m := range []*limits.Machine{p.host, p.allocator} {
			m.Configure(p.now, []limits.Limit{{Workspace: testWorkspace, Rate: rate}})
		}
		n := 0
		for range d / (500 * time.Microsecond) {
			p.now = p.now.Add(500 * time.Microsecond)
			if p.host.Admit(p.now, testWorkspace, 1).Verdict == limits.Admitted {
				n++
			}
			p.host.Tick(p.now)
			p.allocator.Tick(p.now)
			for _, r := range p.host.TakeResolutions() {
				if r.Decision.Verdict == limits.Admitted {
					n++
				}
			}
			p.exchange()
		}
		return n
	}
	is.True(admitted(100, 5*time.Second) < 5*100+16+10)
	n := admitted(1000, 5*time.Second)
	t.Logf("%d operations admitted in 5 s after the limit rose to 1000", n)
	is.True(n > 4500)
}

// A restarted allocator must not use a loan that was given to its earlier process, which may have granted
// the share to others.
func TestLoanToEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	p := newPair()
	r := p.takeReport(func(r *limits.Report) bool { return r.LendFor > 0 })
	p.allocator = limits.New(limits.Settings{Host: "allocator", Seed: 3})
	p.allocator.SetHosts(p.now, []limits.Host{{ID: "host", Eligible: true}, {ID: "allocator", Eligible: true, Usable: true}})
	p.allocator.Configure(p.now, []limits.Limit{{Workspace: testWorkspace, Rate: 1000, Burst: 1000}})
	p.reply(&limits.Report{Seq: r.Seq - 1, Group: r.Group})
	is.Equal(p.reply(r).Grants[0].Share, 0.0)
}
