package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
)

// relay forwards TCP connections to one address. It can hold back the traffic of some sources, as a
// partition does: nothing is delivered while it lasts, and new connections get no answer.
type relay struct {
	listener net.Listener
	target   string
	// named is set if the first message of a client holds its name, as that of a mesh session does.
	named bool
	mu    sync.Mutex
	cond  *sync.Cond
	cut   func(source string) bool
	conns map[net.Conn]string
}

func newRelay(target string, named bool) *relay {
	r := &relay{listener: w0(net.Listen("tcp", "127.0.0.1:0")), target: target, named: named, conns: map[net.Conn]string{}}
	r.cond = sync.NewCond(&r.mu)
	go func() {
		for {
			c, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setCut holds back the sources for which cut returns true; nil for none. At the end of a cut the
// connections that it held up are closed without delivering anything.
func (r *relay) setCut(cut func(source string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cut == nil && r.cut != nil {
		for c, source := range r.conns {
			if r.cut(source) {
				_ = c.Close()
			}
		}
	}
	r.cut = cut
	r.cond.Broadcast()
}

func (r *relay) isCut(source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut != nil && r.cut(source)
}

// awaitUncut waits until a source is not cut off.
func (r *relay) awaitUncut(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut != nil && r.cut(source) {
		r.cond.Wait()
	}
}

func (r *relay) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	r.awaitUncut("") // a cut of all sources answers nothing
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	source, first := "", []byte(nil)
	if r.named {
		// The acceptor sends 16 bytes first, and the client answers with its name.
		nonce := make([]byte, 16)
		if _, err := io.ReadFull(server, nonce); err != nil {
			return
		}
		if _, err := client.Write(nonce); err != nil {
			return
		}
		first = make([]byte, 2)
		if _, err := io.ReadFull(client, first); err != nil {
			return
		}
		name := make([]byte, binary.BigEndian.Uint16(first))
		if _, err := io.ReadFull(client, name); err != nil {
			return
		}
		source, first = string(name), append(first, name...)
	}
	r.mu.Lock()
	r.conns[client], r.conns[server] = source, source
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, client)
		delete(r.conns, server)
		r.mu.Unlock()
	}()
	r.awaitUncut(source)
	if _, err := server.Write(first); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if r.isCut(source) {
				r.awaitUncut(source)
				break
			}
			if err != nil {
				break
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
		done <- struct{}{}
	}
	go forward(server, client)
	go forward(client, server)
	<-done
	<-done
}
