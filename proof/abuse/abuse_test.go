package abuse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/platform/platformtest"
)

// longHeadBytes is the length of a head over the limit.
const longHeadBytes = 1 << 20

// shortLines is a part of a head without end.
var shortLines = strings.TrimPrefix(withShortLines("GET ", 8<<10), "GET ")

func completeHead(i int) client {
	return client{start: withShortLines(requestStart("/slow/x", i), maxHeaderBytes) + "\n"}
}

func unfinishedHead(i int) client {
	return client{start: withShortLines(requestStart("/slow/x", i), maxHeaderBytes)}
}

func unfinishedHeadOfOneName(i int) client {
	return client{start: withOneName(requestStart("/slow/x", i), maxHeaderBytes)}
}

func longHead(i int) client {
	return client{start: requestStart("/slow/x", i), piece: shortLines, count: longHeadBytes / len(shortLines)}
}

func endlessLine(i int) client {
	return client{start: requestStart("/slow/x", i) + "a: ", piece: strings.Repeat("x", 64<<10), count: 64}
}

func endlessLines(i int) client {
	return client{start: requestStart("/slow/x", i), piece: shortLines, count: 4 * longHeadBytes / len(shortLines)}
}

// checkCrowd checks a node while a crowd is connected to its port for callers.
func checkCrowd(t *testing.T, size int, newClient func(i int) client) {
	t.Helper()
	n := startNode(t, maxFDs)
	open(t, n.callers, size, newClient).hold()
	n.checkAlive(maxFDs)
}

// checkPort checks a node while a crowd is connected to another port.
func checkPort(t *testing.T, address func(n *node) string) {
	t.Helper()
	n := startNode(t, maxFDs)
	head := func(int) client {
		return client{start: withShortLines("GET /api/ready HTTP/1.1\r\nHost: h\r\n", 60<<10)}
	}
	open(t, address(n), crowdSize, head).hold()
	n.checkAlive(maxFDs)
}

// Heads of legal size with as many lines as fit ended the process.
func TestCompleteHeadsOfManyLines(t *testing.T) { checkCrowd(t, crowdSize, completeHead) }

// Heads of legal size whose last line never comes ended the process.
func TestUnfinishedHeadsOfManyLines(t *testing.T) { checkCrowd(t, largeCrowdSize, unfinishedHead) }

// So did those with one name in all lines.
func TestUnfinishedHeadsOfOneName(t *testing.T) {
	checkCrowd(t, largeCrowdSize, unfinishedHeadOfOneName)
}

// Heads over the limit ended the process.
func TestLongHeadsOfShortLines(t *testing.T) { checkCrowd(t, smallCrowdSize, longHead) }

// A header line without end from many clients ended the process.
func TestEndlessHeaderLine(t *testing.T) { checkCrowd(t, crowdSize, endlessLine) }

// Header lines without end ended the process.
func TestEndlessHeaderLines(t *testing.T) { checkCrowd(t, crowdSize, endlessLines) }

// Empty lines without end before a request must not keep a connection.
func TestEndlessEmptyLines(t *testing.T) {
	checkCrowd(t, crowdSize, func(int) client { return client{piece: strings.Repeat("\r\n", 1024), count: 512} })
}

// Empty lines without end must not keep a connection behind a request either.
func TestEndlessEmptyLinesBehindRequest(t *testing.T) {
	checkCrowd(t, crowdSize, func(i int) client {
		return client{start: requestStart("/quick/x", i) + "\r\n", piece: strings.Repeat("\r\n", 1024), count: 512}
	})
}

// A head on a kept connection is bounded as the first one is.
func TestUnfinishedHeadsBehindRequest(t *testing.T) {
	checkCrowd(t, largeCrowdSize, func(i int) client {
		return client{start: requestStart("/quick/x", i) + "\r\n" + unfinishedHead(i).start}
	})
}

// A head behind a body in chunks is bounded as the first one is.
func TestUnfinishedHeadsBehindUpload(t *testing.T) {
	checkCrowd(t, largeCrowdSize, func(i int) client {
		upload := strings.Replace(requestStart("/quick/x", i), "GET", "POST", 1) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		return client{start: upload + unfinishedHead(i).start}
	})
}

// Heads sent ahead in one piece are bounded together.
func TestCompleteHeadsSentAhead(t *testing.T) {
	checkCrowd(t, crowdSize, func(i int) client {
		return client{start: requestStart("/slow/x", i) + "\r\n" + strings.Repeat(completeHead(i).start, 4)}
	})
}

// Trailers of uploads with as many lines as fit are bounded as heads are.
func TestTrailersOfManyLines(t *testing.T) {
	checkCrowd(t, largeCrowdSize, func(i int) client {
		upload := strings.Replace(requestStart("/slow/x", i), "GET", "POST", 1) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
		return client{start: upload + withShortLines("", 4000) + "\r\n\r\n"}
	})
}

// Connections without a request left no descriptors for ordinary requests.
func TestConnectionsWithoutRequest(t *testing.T) {
	n := startNode(t, fewFDs)
	open(t, n.callers, silentSize, func(int) client { return client{} }).hold()
	n.checkAlive(fewFDs)
}

// Connections that are kept idle after a request left no descriptors either.
func TestIdleConnections(t *testing.T) {
	n := startNode(t, fewFDs)
	open(t, n.callers, silentSize, func(i int) client { return client{start: requestStart("/quick/x", i) + "\r\n"} }).hold()
	n.checkAlive(fewFDs)
}

// A crowd that comes back must not add to what the one before has left.
func TestCrowdComesBack(t *testing.T) {
	n := startNode(t, maxFDs)
	for range 4 {
		c := open(t, n.callers, crowdSize, completeHead)
		c.hold()
		c.close()
		n.checkAlive(maxFDs)
	}
}

// A reload while a crowd is connected keeps the bounds.
func TestReloadWithCrowd(t *testing.T) {
	n := startNode(t, maxFDs)
	c := open(t, n.callers, largeCrowdSize, unfinishedHead)
	n.signal(syscall.SIGHUP)
	c.hold()
	n.checkAlive(maxFDs)
}

// A plan that changes the limits while heads are being received keeps the bounds.
func TestLimitsChangeWithCrowd(t *testing.T) {
	n := startNode(t, maxFDs)
	c := open(t, n.callers, largeCrowdSize, unfinishedHead)
	for version, limit := range []int{2 * maxHeaderBytes, maxHeaderBytes / 2, maxHeaderBytes} {
		n.store.Put(platformtest.OperatorTopic, "config", plan(version+2, limit))
		time.Sleep(holdTime / 2)
	}
	c.hold()
	n.checkAlive(maxFDs)
}

// Long IDs of requests must not fill the memory when the log is not read.
func TestLongIDsInUnreadLog(t *testing.T) {
	n := startLoggingNode(t, maxFDs, unreadLog(t))
	open(t, n.callers, crowdSize, func(i int) client {
		start := requestStart("/quick/x", i)
		id := strings.Repeat("\x80", maxHeaderBytes-len(start)-100)
		return client{piece: strings.Replace(start, "crowd-", id, 1) + "\r\n", count: 20}
	}).hold()
	n.checkAlive(maxFDs)
}

// A planned stop while a crowd is connected ends in time, and cuts no ordinary request.
func TestPlannedStopWithCrowd(t *testing.T) {
	n := startNode(t, maxFDs)
	open(t, n.callers, largeCrowdSize, unfinishedHead).hold()
	n.checkLimits(maxFDs)
	statuses := make(chan int, 1)
	go func() { statuses <- n.get(n.callers, "/slow/x") }()
	time.Sleep(holdTime / 4)
	n.signal(syscall.SIGTERM)
	if got := <-statuses; got != http.StatusOK {
		t.Errorf("request before the stop: got status %d, want 200", got)
	}
	select {
	case err := <-n.ended:
		if err != nil {
			t.Errorf("planned stop: got %v, want no error", err)
		}
	case <-time.After(graceSeconds * time.Second):
		t.Error("planned stop: got a process that runs, want an end within the grace period")
	}
}

// Heads at the port between nodes are bounded.
func TestUnfinishedHeadsAtPeerPort(t *testing.T) {
	checkPort(t, func(n *node) string { return n.peers })
}

// Heads at the port for readiness checks are bounded.
func TestUnfinishedHeadsAtReadinessPort(t *testing.T) {
	checkPort(t, func(n *node) string { return n.readiness })
}

// Heads at the port for metrics are bounded.
func TestUnfinishedHeadsAtMetricsPort(t *testing.T) {
	checkPort(t, func(n *node) string { return n.metrics })
}

// A single request within the limits is served in calm, however many lines it has.
func TestSingleHeadOfManyLinesIsServed(t *testing.T) {
	n := startNode(t, maxFDs)
	for _, head := range []string{withShortLines(requestStart("/quick/x", 1), maxHeaderBytes), withOneName(requestStart("/quick/x", 2), maxHeaderBytes)} {
		conn, err := net.Dial("tcp", n.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(answerTimeout))
		if _, err := io.WriteString(conn, head+"\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("head of %d lines: got %v %v, want status 200", strings.Count(head, "\n"), resp, err)
		}
	}
	n.checkAlive(maxFDs)
}
