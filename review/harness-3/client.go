package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// client is one session of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
	rec  *record
	name string
	next int
}

func connect(rec *record, name, address, database string) (*client, error) {
	return connectAs(rec, name, address, database, name)
}

// connectAs opens a session with a key.
func connectAs(rec *record, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReader(conn), rec: rec, name: name}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := c.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("session of %s: %s", name, strings.TrimSpace(line))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// answered is the answer to a statement. Code is empty for a success.
type answered struct {
	id, code, signature, position string
}

// query sends a statement and waits for its answer.
func (c *client) query(text string) (answered, error) {
	c.next++
	a := answered{id: fmt.Sprintf("%s-%d", c.name, c.next)}
	c.rec.add("client %s sends QUERY %s %s", c.name, a.id, text)
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		return a, err
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		kind, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch kind {
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code = rest
		case "READY":
			_, a.position, _ = strings.Cut(rest, " ")
			result := "ok, signed " + a.signature
			if a.code != "" {
				result = "error " + a.code
			}
			c.rec.add("client %s gets for %s: %s, READY %s", c.name, a.id, result, rest)
			return a, nil
		}
	}
}
