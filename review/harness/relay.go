package main

import (
	"io"
	"net"
	"sync"
)

// relay forwards connections to an instance. While it is cut, no byte passes in either direction
// and new connections get no answer.
type relay struct {
	target string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// newRelay listens on loopback and returns the relay and its address.
func newRelay(target string) (*relay, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	r := &relay{target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, l.Addr().String(), nil
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// setCut cuts the path to the instance, or heals it. Connections that were open during the cut
// end when it heals.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		for _, c := range r.conns {
			_ = c.Close()
		}
		r.conns = nil
	}
}

func (r *relay) serve(c net.Conn) {
	r.mu.Lock()
	r.conns = append(r.conns, c)
	r.mu.Unlock()
	if r.isCut() {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, to)
	r.mu.Unlock()
	go r.copy(to, c)
	r.copy(c, to)
}

// copy passes bytes on. What arrives during a cut is dropped.
func (r *relay) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err == io.EOF && r.isCut() {
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if r.isCut() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
