package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// answerTimeout is how long a client waits for an answer: the longest deadline of the site.
const answerTimeout = 8 * time.Second

// client is a caller's session.
type client struct {
	w    *world
	name string
	conn net.Conn
	r    *bufio.Reader
}

// answer is a whole answer to a statement.
type answer struct {
	rows      []string
	signature string
	// code is that of an error; empty for a success.
	code  string
	text  string
	state string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connect opens a session.
func (w *world) connect(name, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{w: w, name: name, conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = conn.Write([]byte("STARTUP " + database + " user\r\n")); err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY") {
			err = fmt.Errorf("startup is answered with %q", strings.TrimSpace(line))
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a statement and reads its whole answer.
func (c *client) query(id, text string) (answer, error) {
	c.w.record.add("client %s: sent %s %s", c.name, id, text)
	a, err := c.exchange(id, text)
	switch {
	case err != nil:
		c.w.record.add("client %s: no answer to %s: %v", c.name, id, err)
	case a.code != "":
		c.w.record.add("client %s: %s answered ERROR %s %s", c.name, id, a.code, a.text)
	default:
		c.w.record.add("client %s: %s answered rows %v, signature %s", c.name, id, a.rows, a.signature)
	}
	return a, err
}

func (c *client) exchange(id, text string) (answer, error) {
	var a answer
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return a, err
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch kind {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

// isPromise reports whether an error promises that nothing of the attempt is kept.
func isPromise(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN":
		return true
	}
	return false
}
