package pool_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"baobabfield.example/core/pool"
	"baobabfield.example/core/statement"
	"baobabfield.example/core/types"
)

// BenchmarkFullQueue measures a request that arrives at a full queue and one that ends, for
// different numbers of workspaces.
func BenchmarkFullQueue(b *testing.B) {
	for _, workspaces := range []int{1, 84} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			now := startTime
			nextConn := pool.ConnID(0)
			p := pool.New(pool.Config{Slots: 4, MaxConnections: 67}, func() pool.ConnID { nextConn++; return nextConn })
			var running []pool.ConnID
			apply := func() {
				for effects := p.TakeEffects(); len(effects) > 0; effects = p.TakeEffects() {
					for _, e := range effects {
						switch e := e.(type) {
						case pool.Dial:
							p.HandleConnected(now, e.Conn)
						case pool.Send:
							running = append(running, e.Conn)
						}
					}
				}
			}
			submit := func(i int) {
				far := now.Add(time.Hour)
				p.Submit(now, pool.Request{ID: pool.RequestID(i), Rank: i % 3, Workspace: types.Workspace(fmt.Sprint(i % workspaces)), Query: read("x"), Due: far, Deadline: far})
				apply()
			}
			for i := range 512 {
				submit(i)
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				submit(i)
				id := running[0]
				running = running[1:]
				p.HandleReply(now, id, statement.Reply{})
				apply()
				p.NextWake()
			}
		})
	}
}

// BenchmarkWaitsForConnections measures a request that ends while those of many workspaces wait for
// connections at their limit.
func BenchmarkWaitsForConnections(b *testing.B) {
	now := startTime
	nextConn := pool.ConnID(0)
	p := pool.New(pool.Config{Slots: 4, MaxConnections: 67, ByWorkspace: true}, func() pool.ConnID { nextConn++; return nextConn })
	workspaces := map[pool.ConnID]int{}
	var running []pool.ConnID
	next := 0
	submit := func(workspace int) {
		next++
		due, deadline := now.Add(time.Minute), now.Add(time.Hour)
		p.Submit(now, pool.Request{ID: pool.RequestID(next), Workspace: types.Workspace(fmt.Sprint(workspace)), Query: read("x"), Due: due, Deadline: deadline})
	}
	apply := func() {
		for effects := p.TakeEffects(); len(effects) > 0; effects = p.TakeEffects() {
			for _, e := range effects {
				switch e := e.(type) {
				case pool.Dial:
					workspaces[e.Conn], _ = strconv.Atoi(string(e.Workspace))
					now = now.Add(12 * time.Millisecond)
					p.HandleConnected(now, e.Conn)
				case pool.Send:
					running = append(running, e.Conn)
				}
			}
		}
	}
	for i := range 500 {
		submit(i % 84)
		apply()
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id := running[0]
		running = running[1:]
		p.HandleReply(now, id, statement.Reply{})
		apply()
		submit(workspaces[id])
		apply()
	}
}
