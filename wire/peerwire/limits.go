package peerwire

import (
	"fmt"
	"time"

	"baobabfield.example/core/limits"
	"baobabfield.example/core/proxy"
	"baobabfield.example/core/types"
	"baobabfield.example/wire/meshpb"
)

const (
	// maxLimitTokens and maxLimitRate bound the numbers in messages about limits, so that a
	// faulty host cannot make sums of them overflow. Higher numbers, which follow from a very high
	// limit, are lowered before they are sent: an invalid number ends the whole message, with those
	// of all other workspaces.
	maxLimitTokens = 1 << 24
	maxLimitRate   = 1e9
)

func encodeLimitReport(r *proxy.LimitReport) *meshpb.LimitReport {
	out := &meshpb.LimitReport{
		Number: r.Seq, Group: uint32(r.Group), AllocatorProcess: r.AllocatorProcess, AllocatorClockNs: int64(r.AllocatorClock),
		LendUs: uint64(r.LendFor.Microseconds()), Share: r.Share, Hosts: uint32(r.Hosts),
	}
	for _, d := range r.Demands {
		out.Demands = append(out.Demands, &meshpb.LimitDemand{
			Workspace: string(d.Workspace), Rate: float32(min(d.Rate, maxLimitRate)), Need: limitTokens(d.Need), Returned: limitTokens(d.Returned),
			Ahead: limitTokens(d.Ahead), Held: limitTokens(d.Held),
		})
	}
	return out
}

func encodeLimitGrant(g *proxy.LimitGrant) *meshpb.LimitGrant {
	out := &meshpb.LimitGrant{
		Number: g.Seq, Group: uint32(g.Group), AllocatorProcess: g.AllocatorProcess, AllocatorClockNs: int64(g.AllocatorClock),
		ValidUs: uint64(g.ValidFor.Microseconds()), Hosts: uint32(g.Hosts), TokensUs: uint64(g.TokensFor.Microseconds()),
	}
	for _, w := range g.Grants {
		// The sum of the lent shares can exceed 1 by a rounding error.
		out.Grants = append(out.Grants, &meshpb.WorkspaceGrant{Workspace: string(w.Workspace), Share: min(w.Share, 1), Tokens: limitTokens(w.Tokens), Keep: w.Keep})
	}
	return out
}

func decodeLimitReport(r *meshpb.LimitReport) (proxy.Message, error) {
	if !isShare(r.GetShare()) {
		return nil, fmt.Errorf("limit report %d has invalid share %v", r.GetNumber(), r.GetShare())
	}
	out := proxy.LimitReport{
		Seq: r.GetNumber(), Group: int(r.GetGroup()), AllocatorProcess: r.GetAllocatorProcess(), AllocatorClock: types.Time(r.GetAllocatorClockNs()),
		LendFor: limitTime(r.GetLendUs()), Share: r.GetShare(), Hosts: int(r.GetHosts()),
	}
	for _, d := range r.GetDemands() {
		rate := float64(d.GetRate())
		if !(rate >= 0 && rate <= maxLimitRate) || max(d.GetNeed(), d.GetReturned(), d.GetAhead(), d.GetHeld()) > maxLimitTokens {
			return nil, fmt.Errorf("limit report %d has an invalid demand: rate %v, need %d, returned %d, ahead %d, held %d",
				r.GetNumber(), rate, d.GetNeed(), d.GetReturned(), d.GetAhead(), d.GetHeld())
		}
		out.Demands = append(out.Demands, limits.Demand{
			Workspace: types.Workspace(d.GetWorkspace()), Rate: rate, Need: int(d.GetNeed()), Returned: int(d.GetReturned()),
			Ahead: int(d.GetAhead()), Held: int(d.GetHeld()),
		})
	}
	return out, nil
}

func decodeLimitGrant(g *meshpb.LimitGrant) (proxy.Message, error) {
	out := proxy.LimitGrant{
		Seq: g.GetNumber(), Group: int(g.GetGroup()), AllocatorProcess: g.GetAllocatorProcess(), AllocatorClock: types.Time(g.GetAllocatorClockNs()),
		ValidFor: limitTime(g.GetValidUs()), Hosts: int(g.GetHosts()), TokensFor: limitTime(g.GetTokensUs()),
	}
	for _, w := range g.GetGrants() {
		if !isShare(w.GetShare()) || w.GetTokens() > maxLimitTokens {
			return nil, fmt.Errorf("limit grant %d has invalid share %v or tokens %d", g.GetNumber(), w.GetShare(), w.GetTokens())
		}
		out.Grants = append(out.Grants, limits.Grant{Workspace: types.Workspace(w.GetWorkspace()), Share: w.GetShare(), Tokens: int(w.GetTokens()), Keep: w.GetKeep()})
	}
	return out, nil
}

func limitTokens(n int) uint32 { return uint32(max(0, min(n, maxLimitTokens))) }

// isShare reports whether a number is a fraction; it is false for NaN.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// limitTime converts a time in microseconds. Longer ones than a minute are shortened, since no
// loan or grant is that long.
func limitTime(us uint64) time.Duration {
	return microseconds(min(us, uint64(time.Minute.Microseconds())))
}
