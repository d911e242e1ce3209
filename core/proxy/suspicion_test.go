package proxy_test

import (
	"testing"
	"time"

	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
)

// keepAnsweringFirstSuspicion makes a host receive, all the time, an answer to its first query
// about a silent primary. It says that the endpoint is the primary. The number of the answer is
// that of the query if numbered is set, and otherwise left out, as by earlier builds.
func (sim *simulation) keepAnsweringFirstSuspicion(suspecting types.Host, numbered bool) {
	var first *proxy.ReachabilityRequest
	sim.isLost = func(from types.Host, msg proxy.Message) bool {
		if req, ok := msg.(proxy.ReachabilityRequest); ok && from == suspecting && first == nil {
			first = &req
		}
		return false
	}
	var answer func()
	answer = func() {
		if first != nil {
			resp := proxy.ReachabilityResponse{Service: first.Service, Endpoint: first.Endpoint, IsPrimary: true}
			if numbered {
				resp.Seq = first.Seq
			}
			sim.deliver(sim.hosts[suspecting], proxy.PeerMessage{From: "h-b0", Message: resp})
		}
		sim.schedule(20*time.Millisecond, answer)
	}
	sim.schedule(0, answer)
}

// countLogs returns the number of a host's log lines of an event.
func (sim *simulation) countLogs(h types.Host, event string) int {
	n := 0
	for _, l := range sim.hosts[h].logs {
		if l.Event == event {
			n++
		}
	}
	return n
}

// A primary that others reached some seconds ago, but not now, is not left to them.
func TestAnswerToEarlierSuspicionDoesNotKeepPrimary(t *testing.T) {
	for _, c := range []struct {
		name       string
		numbered   bool
		handedOver bool
	}{
		{"answer to an earlier query", true, false},
		{"answer of an earlier build", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 61, 1)
			openAll(sim)
			sim.runFor(time.Second)
			sim.keepAnsweringFirstSuspicion("h-a0", c.numbered)
			link := [2]string{"h-a0", "e-a"}
			sim.cuts[link] = true
			sim.runFor(time.Second)
			delete(sim.cuts, link)
			sim.runFor(3 * time.Second)
			before := sim.countLogs("h-a0", "primary handed over to other hosts")
			for _, h := range sim.sortedHosts() {
				sim.cuts[[2]string{string(h.id), "e-a"}] = true
			}
			sim.runFor(5 * time.Second)
			sim.reportViolations()
			handedOver := sim.countLogs("h-a0", "primary handed over to other hosts") > before
			if before == 0 || handedOver != c.handedOver {
				t.Errorf("handed over %d times while the primary was reachable; afterwards %v, want %v", before, handedOver, c.handedOver)
			}
		})
	}
}
