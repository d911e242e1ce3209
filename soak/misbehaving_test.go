package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// crowdSize is the number of misbehaving callers of a test.
	crowdSize = 200
	// memoryLimitMB is the memory limit in the settings of the hosts under test and the bound that
	// the tests check. It is that of the smallest hosts.
	memoryLimitMB = 136
	// manyFiles and fewFiles are the limits of descriptors. With manyFiles, which the smallest hosts
	// have, all callers are accepted; they exceed fewFiles.
	manyFiles = 3010
	fewFiles  = 160
	// ordinaryMemoryMB is what a host of that size uses in ordinary service. The processes of the
	// tests use less, so a crowd may add only the rest of the limit to what they use before it.
	ordinaryMemoryMB = 50
	// largestMessageBytes is the largest valid message, including its CR LF.
	largestMessageBytes = 1 << 20
	// crowdPeriod is the time for which a crowd goes on unless its connections are closed.
	crowdPeriod = 4 * time.Second
	// answerLimit ends a test whose host does not answer.
	answerLimit = 12 * time.Second
)

// crowdEnvironment shortens the time limits of the hosts, so that the tests end soon.
var crowdEnvironment = []string{"BAOBAB_MESSAGE_TIMEOUT=1s", "BAOBAB_REPLY_TIMEOUT=1s"}

// crowdKey is the key of the callers of a crowd.
const crowdKey = "key-of-the-crowd"

// crowdHosts is the number of hosts. Host 0 serves the crowd; the other one owns some of the
// endpoints, so that statements also pass between hosts.
const crowdHosts = 2

// crowdTest is a cluster whose host 0 serves a crowd of misbehaving callers.
type crowdTest struct {
	*cluster
	// ordinaryKB is the peak memory of each host before the crowd.
	ordinaryKB []int
	// maxDescriptors is the largest number of open descriptors that was seen at a host.
	maxDescriptors int
}

// withCrowd runs a test with many descriptors and with few.
func withCrowd(t *testing.T, run func(c *crowdTest)) {
	t.Helper()
	binary := buildHost(t)
	t.Cleanup(func() { _ = os.Remove(binary) })
	for _, files := range []int{manyFiles, fewFiles} {
		t.Run(fmt.Sprintf("files=%d", files), func(t *testing.T) { run(newCrowdTest(t, binary, files)) })
	}
}

// newCrowdTest starts a cluster and waits until host 0 serves.
func newCrowdTest(t *testing.T, binary string, files int) *crowdTest {
	t.Helper()
	limits := hostLimits{memoryMB: memoryLimitMB, maxFiles: files, environment: crowdEnvironment}
	c := &crowdTest{cluster: newLimitedCluster(t, 1, binary, crowdHosts, limits, nil)}
	c.awaitAnswer()
	for _, p := range c.hosts {
		kb, ok := peakMemoryKB(p.cmd.Process.Pid)
		if !ok {
			t.Fatalf("%s has ended before the crowd", p.name)
		}
		c.ordinaryKB = append(c.ordinaryKB, kb)
	}
	return c
}

// run runs a crowd of callers, each with a connection of its own that ends after crowdPeriod.
// It checks that the hosts live within their limits and that host 0 answers an ordinary request
// afterwards.
func (c *crowdTest) run(size int, behave func(conn net.Conn, caller int)) {
	c.t.Helper()
	ended := make(chan struct{}, size)
	for i := range size {
		go func() {
			defer func() { ended <- struct{}{} }()
			conn, err := net.DialTimeout("tcp", c.hosts[0].frontendAddress, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(crowdPeriod))
			if _, err := io.WriteString(conn, "STARTUP bounded_staleness "+crowdKey+"\r\n"); err == nil {
				behave(conn, i)
			}
		}()
	}
	sample := time.NewTicker(50 * time.Millisecond)
	defer sample.Stop()
	for running := size; running > 0; {
		select {
		case <-ended:
			running--
		case <-sample.C:
			c.sampleDescriptors()
		}
	}
	c.awaitAnswer()
	c.checkHosts()
}

// sampleDescriptors counts the open descriptors of the hosts.
func (c *crowdTest) sampleDescriptors() {
	for _, p := range c.hosts {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			c.maxDescriptors = max(c.maxDescriptors, len(entries))
		}
	}
}

// checkHosts checks that all hosts live and have stayed within their limits.
func (c *crowdTest) checkHosts() {
	c.t.Helper()
	report := reporter(c.t)
	for i, p := range c.hosts {
		peakKB, ok := peakMemoryKB(p.cmd.Process.Pid)
		if !ok {
			report(p.name, "has ended")
			continue
		}
		limitKB := c.ordinaryKB[i] + (memoryLimitMB-ordinaryMemoryMB)<<10
		c.t.Logf("%s: peak memory %d MB, limit %d MB", p.name, peakKB>>10, limitKB>>10)
		if peakKB > limitKB {
			report(fmt.Sprintf("%s: peak memory %d MB exceeds the limit", p.name, peakKB>>10))
		}
	}
	c.t.Logf("most open descriptors: %d", c.maxDescriptors)
	if c.maxDescriptors > c.limits.maxFiles {
		report(fmt.Sprintf("%d descriptors were open, the limit is %d", c.maxDescriptors, c.limits.maxFiles))
	}
}

// maxLogLineBytes bounds a line of a host's log.
const maxLogLineBytes = 4 << 10

// checkClosed checks that host 0 has logged why it closed callers, and that no line of its log is
// long or contains the key of the crowd.
func (c *crowdTest) checkClosed(reason string) {
	c.t.Helper()
	c.awaitLogLine(c.hosts[0].name, "caller closed", "reason", reason)
	buf, err := os.ReadFile(c.hosts[0].settingsPath + ".log")
	if err != nil {
		c.t.Fatal(err)
	}
	for line := range bytes.Lines(buf) {
		if len(line) > maxLogLineBytes || bytes.Contains(line, []byte(crowdKey)) {
			c.t.Errorf("log line of %d bytes is too long or contains a key: %.200q", len(line), line)
		}
	}
}

// peakMemoryKB returns the largest resident set size of a process so far. ok is false if the
// process has ended.
func peakMemoryKB(pid int) (kb int, ok bool) {
	buf, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(buf)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err = strconv.Atoi(fields[1])
			return kb, err == nil
		}
	}
	return 0, false
}

// awaitAnswer sends ordinary requests to host 0 until one succeeds.
func (c *crowdTest) awaitAnswer() {
	c.t.Helper()
	var last string
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var ok bool
		if last, ok = c.request(); ok {
			return
		}
	}
	c.t.Fatalf("host 0 has not answered an ordinary request within %v: %s", answerLimit, last)
}

// request sends one ordinary request to host 0 on a new connection.
func (c *crowdTest) request() (result string, ok bool) {
	conn, err := net.DialTimeout("tcp", c.hosts[0].frontendAddress, time.Second)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, "STARTUP bounded_staleness ordinary\r\nQUERY ordinary READ 1\r\n"); err != nil {
		return err.Error(), false
	}
	r := bufio.NewReaderSize(conn, 1<<10)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return err.Error(), false
		}
		if strings.HasPrefix(line, "COMPLETE ") || strings.HasPrefix(line, "ERROR ") {
			return line, strings.HasPrefix(line, "COMPLETE ")
		}
	}
}

// message returns a statement of the given length including its CR LF.
func message(id, verb string, size int) []byte {
	head := "QUERY " + id + " " + verb + " "
	return []byte(head + strings.Repeat("x", size-len(head)-2) + "\r\n")
}

// writePieces writes a message in pieces with a pause after each, and reports whether all were
// written.
func writePieces(conn net.Conn, buf []byte, piece int, pause time.Duration) bool {
	for len(buf) > 0 {
		n := min(piece, len(buf))
		if _, err := conn.Write(buf[:n]); err != nil {
			return false
		}
		buf = buf[n:]
		time.Sleep(pause)
	}
	return true
}

// readReplies reads and drops all that the host sends.
func readReplies(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// Guards against memory that grows with the number of the largest valid messages under way.
func TestManyLargeMessagesInOnePiece(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.run(crowdSize, func(conn net.Conn, caller int) {
			if _, err := conn.Write(message(fmt.Sprint("m", caller), "READ", largestMessageBytes)); err == nil {
				readReplies(conn)
			}
		})
	})
}

// Guards against memory that grows with the number of messages that arrive in parts.
func TestManyLargeMessagesInSmallPieces(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.run(crowdSize, func(conn net.Conn, caller int) {
			if writePieces(conn, message(fmt.Sprint("m", caller), "READ", largestMessageBytes), 16<<10, 10*time.Millisecond) {
				readReplies(conn)
			}
		})
	})
}

// Guards against messages that are kept although they exceed the limit.
func TestMessagesFarBeyondLimit(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		part := bytes.Repeat([]byte("x"), 256<<10)
		c.run(crowdSize, func(conn net.Conn, _ int) {
			for range 8 * largestMessageBytes / len(part) {
				if _, err := conn.Write(part); err != nil {
					return
				}
			}
			readReplies(conn)
		})
		c.checkClosed("invalid message")
	})
}

// Guards against a backlog that is bounded only by the number of its statements.
func TestManyLargeStatementsSentAheadOnOneConnection(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.run(1, func(conn net.Conn, _ int) {
			for i := range 400 {
				if _, err := conn.Write(message(fmt.Sprint("m", i), "READ", largestMessageBytes)); err != nil {
					return
				}
			}
		})
	})
}

// Guards against backlogs and replies that are bounded only for one connection.
func TestStatementsSentAheadByManyConnections(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.run(crowdSize, func(conn net.Conn, caller int) {
			for i := range 60 {
				if _, err := conn.Write(message(fmt.Sprintf("m%d.%d", caller, i), "READ", 32<<10)); err != nil {
					return
				}
			}
			time.Sleep(crowdPeriod)
		})
	})
}

// Guards against a session whose prepared statements grow without bound.
func TestManyLargePreparedStatements(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.run(4, func(conn net.Conn, _ int) {
			r := bufio.NewReader(conn)
			for i := range 400 {
				if _, err := conn.Write(message("m", fmt.Sprintf("PREPARE p%d READ", i), 256<<10)); err != nil {
					return
				}
				for range 2 {
					if _, err := r.ReadString('\n'); err != nil {
						return
					}
				}
			}
		})
	})
}

// Guards against callers that hold memory and a place with a message that they never finish.
func TestSendersThatStopHalfway(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		half := message("m", "READ", largestMessageBytes)[:largestMessageBytes/2]
		c.run(crowdSize, func(conn net.Conn, _ int) {
			if _, err := conn.Write(half); err == nil {
				readReplies(conn)
			}
		})
		c.checkClosed("message not finished in time")
	})
}

// Guards against callers whose every byte renews the time that they have for a message.
func TestSlowSenders(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		buf := message("m", "READ", largestMessageBytes)
		c.run(crowdSize, func(conn net.Conn, _ int) {
			if _, err := conn.Write(buf[:largestMessageBytes*3/4]); err == nil {
				writePieces(conn, buf[largestMessageBytes*3/4:], 1, 50*time.Millisecond)
			}
		})
		c.checkClosed("message not finished in time")
	})
}

// Guards against sessions that stay idle after a large startup message and leave no memory for the
// messages of others.
func TestIdleSessionsWithLargeStartup(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		const sessions = 60
		startup := []byte("STARTUP bounded_staleness " + strings.Repeat("k", largestMessageBytes/2) + "\r\n")
		deadline := time.Now().Add(crowdPeriod)
		for range sessions {
			conn, err := net.DialTimeout("tcp", c.hosts[0].frontendAddress, time.Second)
			if err != nil {
				c.t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(deadline)
			if _, err := conn.Write(startup); err == nil {
				_, _ = bufio.NewReader(conn).ReadString('\n')
			}
		}
		c.awaitLargeAnswer()
		c.awaitAnswer()
		c.checkHosts()
	})
}

// largeReplies makes all databases return rows of 512 KiB.
func (c *crowdTest) largeReplies() {
	for _, i := range c.instances {
		i.SetReadRowBytes(512 << 10)
	}
}

// sendReads sends small reads ahead.
func sendReads(conn net.Conn, count int) bool {
	for i := range count {
		if _, err := fmt.Fprintf(conn, "QUERY m%d READ 1\r\n", i); err != nil {
			return false
		}
	}
	return true
}

// Guards against large replies that wait in memory for callers that do not read them.
func TestCallersThatReadNothing(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.largeReplies()
		c.run(crowdSize, func(conn net.Conn, _ int) {
			if sendReads(conn, 60) {
				time.Sleep(crowdPeriod)
			}
		})
	})
}

// Guards against callers whose every read renews the time that they have for a reply.
func TestSlowReaders(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.largeReplies()
		c.run(crowdSize, func(conn net.Conn, _ int) {
			if !sendReads(conn, 60) {
				return
			}
			for buf := make([]byte, 1<<10); ; time.Sleep(20 * time.Millisecond) {
				if _, err := conn.Read(buf); err != nil {
					return
				}
			}
		})
	})
}

// Guards against templates that outlive their sessions: every one of them is executed, so that it
// is prepared at a database, and then deallocated.
func TestManyExecutedTemplates(t *testing.T) {
	withCrowd(t, func(c *crowdTest) {
		c.run(4, func(conn net.Conn, caller int) {
			r := bufio.NewReader(conn)
			for i := range 400 {
				template := message("m", fmt.Sprintf("PREPARE p READ %d.%d", caller, i), 128<<10)
				if _, err := conn.Write(append(template, "QUERY m EXECUTE p 1\r\nQUERY m DEALLOC p\r\n"...)); err != nil {
					return
				}
				for ready := 0; ready < 3; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if strings.HasPrefix(line, "READY ") {
						ready++
					}
				}
			}
		})
	})
}

// Guards against limits that a valid caller meets: with the default settings every caller gets
// a reply to each of 64 statements of the largest size that it sends ahead of the first reply.
func TestLargestValidMessagesAreServedByDefault(t *testing.T) {
	binary := buildHost(t)
	t.Cleanup(func() { _ = os.Remove(binary) })
	c := &crowdTest{cluster: newLimitedCluster(t, 1, binary, crowdHosts, hostLimits{memoryMB: memoryLimitMB, maxFiles: manyFiles}, nil)}
	c.awaitAnswer()
	c.awaitLargeAnswer()
	const callers, ahead = 2, 64
	replies := make(chan int, callers)
	for i := range callers {
		go func() { replies <- c.countReplies(i, ahead) }()
	}
	for range callers {
		if n := <-replies; n != ahead {
			t.Errorf("a caller got %d replies to %d statements", n, ahead)
		}
	}
}

// awaitLargeAnswer sends single messages of the largest size until one succeeds.
func (c *crowdTest) awaitLargeAnswer() {
	c.t.Helper()
	line := ""
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); {
		conn, err := net.DialTimeout("tcp", c.hosts[0].frontendAddress, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err = conn.Write(append([]byte("STARTUP primary large\r\n"), message("large", "READ", largestMessageBytes)...))
		for r := bufio.NewReader(conn); err == nil && !strings.HasPrefix(line, "COMPLETE ") && !strings.HasPrefix(line, "ERROR "); {
			line, err = r.ReadString('\n')
		}
		_ = conn.Close()
		if strings.HasPrefix(line, "COMPLETE ") {
			return
		}
	}
	c.t.Fatalf("a message of %d bytes has not been answered within %v: %s", largestMessageBytes, answerLimit, line)
}

// countReplies sends statements of the largest size ahead, and returns the number of replies.
func (c *crowdTest) countReplies(caller, ahead int) int {
	conn, err := net.DialTimeout("tcp", c.hosts[0].frontendAddress, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerLimit))
	go func() {
		_, _ = io.WriteString(conn, "STARTUP primary ahead\r\n")
		for i := range ahead {
			if _, err := conn.Write(message(fmt.Sprintf("m%d.%d", caller, i), "READ", largestMessageBytes)); err != nil {
				return
			}
		}
	}()
	replies := -1 // the first READY accepts the session
	for r := bufio.NewReader(conn); replies < ahead; {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		if strings.HasPrefix(line, "READY ") {
			replies++
		}
	}
	return replies
}
